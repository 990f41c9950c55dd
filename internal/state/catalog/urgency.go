package catalog

import (
	"cmp"
	"maps"
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
	ofAccounts := map[int]bool{}
	for i := range c.Accounts {
		if p := c.Accounts[i].Priority; p != nil {
			ofAccounts[*p] = true
		}
	}
	all := map[urgency]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		all[urgency{r.Priority, r.Priority}] = true
		for p := range ofAccounts {
			all[urgency{p, r.Priority}] = true
		}
	}
	c.urgencies = slices.SortedFunc(maps.Keys(all), urgency.compare)
}

// UrgencyOf returns the place of an account's request on the route in the order of the urgencies
// of the configuration; 0 is the most urgent. Of requests with the same priority, those
// are more urgent whose route has a more urgent one: accounts with a priority of their own
// send urgent and less urgent requests too.
func (c *Config) UrgencyOf(r *Route, a *ClientAccount) int {
	at, _ := slices.BinarySearchFunc(c.urgencies, urgency{c.PriorityOf(r, a), r.Priority}, urgency.compare)
	return at
}
