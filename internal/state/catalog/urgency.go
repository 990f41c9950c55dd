package catalog

import (
	"cmp"
	"slices"
)

// urgency is what decides how urgent a request is: its priority first, then that of its route,
// which an account's priority overrides.
type urgency struct {
	priority, route int
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(u.route, o.route))
}

// indexUrgencies lists the urgencies that requests can have, the most urgent first.
func (c *Config) indexUrgencies() {
	c.urgencies = nil
	for i := range c.Routes {
		r := &c.Routes[i]
		c.urgencies = append(c.urgencies, urgency{r.Priority, r.Priority})
		for j := range c.Accounts {
			c.urgencies = append(c.urgencies, urgency{c.PriorityOf(r, &c.Accounts[j]), r.Priority})
		}
	}
	slices.SortFunc(c.urgencies, urgency.compare)
	c.urgencies = slices.Compact(c.urgencies)
}

// UrgencyOf returns the place of an account's request on the route in the order of the urgencies
// of the configuration; 0 is the most urgent. Of requests with the same priority, those
// are more urgent whose route has a more urgent one: accounts with a priority of their own
// send urgent and less urgent requests too.
func (c *Config) UrgencyOf(r *Route, a *ClientAccount) int {
	at, _ := slices.BinarySearchFunc(c.urgencies, urgency{c.PriorityOf(r, a), r.Priority}, urgency.compare)
	return at
}
