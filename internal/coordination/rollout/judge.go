package rollout

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// badScore is the log-likelihood ratio from which a version counts as bad, and doubtScore
	// the one from which it does not count as good.
	badScore   = 8.0
	doubtScore = 3.0
	// minSigns is the least number of bad answers of a bad version.
	minSigns = 4
	// rateMargin is added to the rate of the old versions.
	rateMargin = 0.03
	// minOldAnswers is the number of old answers on a route from which its own times and
	// failures are the measure. Before that, ordinaryRate is assumed and no time is slow.
	minOldAnswers = 20
	ordinaryRate  = 0.15
	// slowBuckets is how many buckets above the old median an answer is slow: 2.8 times.
	slowBuckets = 3
	// recentTime is the time constant with which old answers count as recent.
	recentTime = 3 * time.Second
	// minAnswers, and minRouteAnswers on each route with routeShare of the old answers, are
	// the answers from which a version can be judged good.
	minAnswers      = 20
	minRouteAnswers = 8
	routeShare      = 0.1
)

// excessRates are the rates of additional bad answers that are tested for.
var excessRates = [...]float64{0.12, 0.4}

// sign is what makes an answer bad.
type sign int

const (
	failures sign = iota
	failuresOrSlow
	signs
)

// scores are the log-likelihood ratios of the signs and rates, and the bad answers in them.
type scores struct {
	score [signs][len(excessRates)]float64
	bad   [signs][len(excessRates)]int
}

// add adds answers to the score of a sign.
func (s *scores) add(of sign, bad, total int, oldRate float64) {
	for i, excess := range excessRates {
		rate := oldRate + excess*(1-oldRate)
		s.score[of][i] += float64(bad)*math.Log(rate/oldRate) + float64(total-bad)*math.Log((1-rate)/(1-oldRate))
		s.bad[of][i] += bad
	}
}

// restart has the scores that have fallen to 0 start over.
func (s *scores) restart() {
	for of := range signs {
		for i := range excessRates {
			if s.score[of][i] <= 0 {
				s.score[of][i], s.bad[of][i] = 0, 0
			}
		}
	}
}

// highest returns the highest score, and whether one says that the version is bad.
func (s *scores) highest() (score float64, bad bool) {
	for of := range signs {
		for i := range excessRates {
			score = max(score, s.score[of][i])
			bad = bad || (s.score[of][i] >= badScore && s.bad[of][i] >= minSigns)
		}
	}
	return score, bad
}

// evidence is what is known of one route.
type evidence struct {
	// seenOld and seenNew are the answers that have been taken in. Those of the new version
	// are taken in as slow or not once the old version's times are known.
	seenOld Tally
	seenNew [signs]Tally
	// recent are the old answers and bad ones of the last seconds.
	recentTotal float64
	recentBad   [signs]float64
	scores      scores
}

// AllRoutes stands for all routes of a service together.
const AllRoutes = "*"

// Finding is what the answers say about the new version.
type Finding struct {
	// Bad is set if it is worse than the old versions, on Route. Score is the highest
	// log-likelihood ratio.
	Bad   bool
	Route string
	Score float64
	// Good is set if it can be trusted.
	Good bool
	// Answers counts the answers of the new version.
	Answers int
}

// Judge compares the answers of a new version with those of the old ones.
type Judge struct {
	routes map[string]*evidence
	// all are the scores of all routes together.
	all   scores
	at    time.Time
	found *Finding
}

// NewJudge returns a judge that knows no answer.
func NewJudge() *Judge { return &Judge{routes: map[string]*evidence{}} }

// Observe takes in all answers so far, summed over entries, and returns the finding. A
// version that was found bad stays so.
func (j *Judge) Observe(now time.Time, counts Counts) Finding {
	decay := 1.0
	if !j.at.IsZero() {
		decay = math.Exp(-now.Sub(j.at).Seconds() / recentTime.Seconds())
	}
	j.at = now
	f := Finding{}
	for _, route := range sortedRoutes(counts) {
		c := counts[route]
		e := j.routes[route]
		if e == nil {
			e = &evidence{}
			j.routes[route] = e
		}
		e.observe(c, decay, &j.all)
		f.note(&e.scores, route)
		if !strings.HasSuffix(route, paceSuffix) {
			f.Answers += c.New.Total()
		}
	}
	j.all.restart()
	f.note(&j.all, AllRoutes)
	if f.Bad && j.found == nil {
		found := f
		j.found = &found
	}
	if j.found != nil {
		return *j.found
	}
	f.Good = f.Score < doubtScore && enough(counts)
	return f
}

// note records the highest of some scores.
func (f *Finding) note(s *scores, route string) {
	score, bad := s.highest()
	if score > f.Score || (bad && !f.Bad) {
		f.Score, f.Route = max(f.Score, score), route
	}
	f.Bad = f.Bad || bad
}

func sortedRoutes(counts Counts) []string {
	var routes []string
	for route := range counts {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	return routes
}

// enough reports whether there are answers enough to trust a version without a finding.
func enough(counts Counts) bool {
	oldTotal, newTotal := 0, 0
	for route, c := range counts {
		if !strings.HasSuffix(route, paceSuffix) {
			oldTotal += c.Old.Total()
			newTotal += c.New.Total()
		}
	}
	if newTotal < minAnswers {
		return false
	}
	for route, c := range counts {
		matters := c.Old.Total() > 0 && float64(c.Old.Total()) >= routeShare*float64(oldTotal) && !strings.HasSuffix(route, paceSuffix)
		if matters && c.New.Total() < minRouteAnswers {
			return false
		}
	}
	return true
}

// observe takes in the answers of a route, for its own scores and for those of all routes.
func (e *evidence) observe(c *RouteCounts, decay float64, all *scores) {
	slowFrom := slowBucket(c.Old)
	old := since(c.Old, e.seenOld)
	e.seenOld = cloneTally(c.Old)
	e.recentTotal = decay*e.recentTotal + float64(old.Total())
	for s := range signs {
		e.recentBad[s] = decay*e.recentBad[s] + float64(badIn(old, s, slowFrom))
		if s == failuresOrSlow && slowFrom >= timeBuckets {
			continue
		}
		added := since(c.New, e.seenNew[s])
		e.seenNew[s] = cloneTally(c.New)
		bad, rate := badIn(added, s, slowFrom), e.oldRate(s, c.Old, slowFrom)
		e.scores.add(s, bad, added.Total(), rate)
		all.add(s, bad, added.Total(), rate)
	}
	e.scores.restart()
}

// since returns the answers that have been added to those seen.
func since(now, seen Tally) Tally {
	added := cloneTally(now)
	added.add(seen, -1)
	return added
}

// oldRate returns the rate of bad answers that is ordinary on the route.
func (e *evidence) oldRate(s sign, old Tally, slowFrom int) float64 {
	total := float64(old.Total())
	if total < minOldAnswers {
		return ordinaryRate
	}
	rate := float64(badIn(old, s, slowFrom)) / total
	rate += math.Sqrt(rate * (1 - rate) / total)
	if e.recentTotal >= minOldAnswers {
		rate = max(rate, e.recentBad[s]/e.recentTotal)
	}
	return min(0.9, rate+rateMargin)
}

// slowBucket returns the bucket from which an answer is slow.
func slowBucket(old Tally) int {
	total := old.Total() - old.Failed - old.Untimed
	if total < minOldAnswers {
		return timeBuckets
	}
	below := 0
	for b, n := range old.Times {
		below += n
		if 2*below >= total {
			return b + slowBuckets
		}
	}
	return timeBuckets
}

func badIn(t Tally, s sign, slowFrom int) int {
	n := t.Failed
	if s == failuresOrSlow && slowFrom < len(t.Times) {
		for _, count := range t.Times[slowFrom:] {
			n += count
		}
	}
	return n
}

func cloneTally(t Tally) Tally {
	return Tally{Failed: t.Failed, Untimed: t.Untimed, Times: slices.Clone(t.Times)}
}
