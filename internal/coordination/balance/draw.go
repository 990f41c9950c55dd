package balance

import (
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

const (
	// maxTemperature is the difference in cost, in shares of a plain service's slots, at
	// which a target is chosen e times less often, if the other entries' reports are as
	// old as fullTemperatureAge.
	maxTemperature     = 0.5
	fullTemperatureAge = time.Second
	// currentAge is the age up to which reports count as current.
	currentAge = 200 * time.Millisecond
	// fullTemperatureWorks is the age, in times that the work takes, at which the temperature
	// is full for services that are placed by finish.
	fullTemperatureWorks = 2
)

// drawService draws a target of a plain service, with a probability that falls with its
// cost. Requests of such services end long before the other entries' next reports, so if
// all entries took the target that is cheapest by the last ones, they would overload it
// until then. While the reports are current, it returns best, the cheapest target.
func (b *Balancer) drawService(request Request, targets catalog.Targets, costs map[*catalog.Target]float64, best *catalog.Target) *catalog.Target {
	temperature := b.temperature(best, request.Kind)
	if temperature == 0 {
		return best
	}
	weight := func(t *catalog.Target) float64 {
		cost, known := costs[t]
		if !known {
			return 0
		}
		return math.Exp((costs[best] - cost) / temperature)
	}
	total := 0.0
	for _, t := range targets {
		total += weight(t)
	}
	remaining := b.random() * total
	for _, t := range targets {
		remaining -= weight(t)
		if remaining < 0 {
			return t
		}
	}
	return best
}

// temperature returns by how much more a target may cost that is still chosen often.
func (b *Balancer) temperature(t *catalog.Target, kind string) float64 {
	if b.ReportAge == nil {
		return 0
	}
	age := b.ReportAge()
	if b.byFinish(t.Service) {
		work := b.usualSeconds(workKind{t.Service, kind}, usualWork)
		return maxTemperature * min(1, age.Seconds()/(fullTemperatureWorks*work))
	}
	if age <= currentAge {
		return 0
	}
	return maxTemperature * min(1, age.Seconds()/fullTemperatureAge.Seconds())
}
