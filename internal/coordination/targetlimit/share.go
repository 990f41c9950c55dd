package targetlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// equalPart is the part of a limit that is shared equally, for entries whose
	// traffic has just begun.
	equalPart = 0.1
	// extraUsers is how many more entries than its requests per second use a limit.
	extraUsers = 3
)

// Demand says who shares a limit, and how much each of them has to send.
type Demand struct {
	Self id.Entry
	// Own is the number of requests for the service that this entry had lately, and
	// Others those of each of the entries that it hears from.
	Own    int
	Others map[id.Entry]int
	// Usable is the part of a common limit that these entries may use.
	Usable float64
}

// ShareOf returns this entry's share of the limit that a target has named: its part of the
// demand of those entries that use the limit, or 0 if it is not one of them. Entries that
// know the same demand have shares that add up to Usable.
func ShareOf(target id.Target, named PerSecond, d Demand) float64 {
	users := usersOf(target, named, d)
	if !slices.Contains(users, d.Self) {
		return 0
	}
	total := d.Own
	for _, user := range users {
		total += d.Others[user]
	}
	equal := 1 / float64(len(users))
	if total == 0 {
		return d.Usable * equal
	}
	return d.Usable * ((1-equalPart)*float64(d.Own)/float64(total) + equalPart*equal)
}

// usersOf returns the entries that use a limit, chosen by rendezvous hashing.
func usersOf(target id.Target, named PerSecond, d Demand) []id.Entry {
	entries := append(slices.Collect(maps.Keys(d.Others)), d.Self)
	n := int(math.Floor(max(0, min(float64(named), float64(len(entries)))))) + extraUsers
	if len(entries) <= n {
		return entries
	}
	slices.SortFunc(entries, func(a, b id.Entry) int {
		return cmp.Or(cmp.Compare(score(target, b), score(target, a)), cmp.Compare(a, b))
	})
	return entries[:n]
}

func score(target id.Target, entry id.Entry) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(entry))
}
