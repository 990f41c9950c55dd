package recovery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// minorWeight is how much the measure that is not preferred still counts.
	minorWeight = 0.05
	// zoneRisk is added, as a part of the expected time, for each other target
	// of the candidate's zone that died just before.
	zoneRisk = 0.5
	// nearBest is how far behind the best a candidate may be and still be
	// drawn, so that many losses at once don't all go to one target.
	nearBest = 1.1
	// raceFrom is the expected time from which two attempts are raced.
	raceFrom = 250 * time.Millisecond
	// secondBehind is how far behind the best the second of a race may be.
	secondBehind = 1.5
	// slotTurn is the part of a generation's length, in tokens, that a waiting
	// one waits for a slot at a full target with one slot.
	slotTurn = 500
	// unknownPace and unknownPrefill stand for what a report leaves out.
	unknownPace    = 50 * time.Millisecond
	unknownPrefill = time.Millisecond
)

// candidate is a target that could take the next attempt.
type candidate struct {
	target id.Target
	place  member.Place
	pace   time.Duration
	// expected is the time until the next token there.
	expected time.Duration
	// recompute is the number of tokens that are computed again.
	recompute int
	// score is lowest for the best candidate.
	score float64
}

type candidateList []candidate

// candidates returns the targets that can go on with the text, best first. A
// target on the host that just died is left out while there is another.
func candidates(view *View, loss *Loss, policy *Policy, now time.Time) candidateList {
	var found, shared candidateList
	for i := range view.Targets {
		r := &view.Targets[i]
		if !usable(view, loss, policy, r, now) || !sameText(r, loss.Spec) {
			continue
		}
		c := weigh(view, loss, policy, r)
		if loss.Kind != Refused && r.Place.Host != "" && r.Place.Host == loss.Place.Host {
			shared = append(shared, c)
			continue
		}
		found = append(found, c)
	}
	if len(found) == 0 {
		found = shared
	}
	found.sort()
	return found
}

// anyVersion returns the best target for a new text.
func anyVersion(view *View, loss *Loss, policy *Policy, now time.Time) (candidate, bool) {
	fresh := *loss
	fresh.HeldTokens = 0
	var found candidateList
	for i := range view.Targets {
		r := &view.Targets[i]
		if usable(view, loss, policy, r, now) && serves(r, loss.Spec) {
			found = append(found, weigh(&View{}, &fresh, policy, r))
		}
	}
	found.sort()
	if len(found) == 0 {
		return candidate{}, false
	}
	return found[0], true
}

// usable reports whether a target may be given work. The lost target counts
// again once it runs anew.
func usable(view *View, loss *Loss, policy *Policy, r *member.TargetReport, now time.Time) bool {
	switch {
	case r.State != member.Ready || r.Role == member.Prefill:
		return false
	case now.Sub(r.At) > policy.MaxReportAge:
		return false
	case r.Target == loss.Target && r.Incarnation <= loss.Incarnation:
		return false
	}
	return view.Avoid == nil || !view.Avoid(r.Target)
}

func serves(r *member.TargetReport, spec *generation.Spec) bool {
	if r.Model != spec.Model {
		return false
	}
	return spec.Adapter == "" || slices.Contains(r.Adapters, spec.Adapter)
}

func sameText(r *member.TargetReport, spec *generation.Spec) bool {
	return r.Version == spec.Version && serves(r, spec)
}

// weigh returns what to expect of a target.
func weigh(view *View, loss *Loss, policy *Policy, r *member.TargetReport) candidate {
	c := candidate{target: r.Target, place: r.Place, pace: r.Pace}
	prefill := r.PrefillPerToken
	c.pace = cmp.Or(c.pace, unknownPace)
	prefill = cmp.Or(prefill, unknownPrefill)
	c.recompute = loss.Spec.PromptTokens() + loss.HeldTokens
	if view.Cached != nil {
		c.recompute = max(0, c.recompute-view.Cached(r.Target))
	}
	c.expected = queueWait(policy, loss.Spec, r, c.pace) +
		time.Duration(r.QueuedPrefill+c.recompute)*prefill + c.pace
	cost := time.Duration(c.recompute) * prefill
	waiting := c.expected
	if r.Place.Zone == loss.Place.Zone {
		waiting += time.Duration(zoneRisk * float64(loss.ZoneFailures) * float64(c.expected))
	}
	c.score = score(policy.Prefer, waiting, cost)
	return c
}

func score(prefer generation.Preference, waiting, cost time.Duration) float64 {
	if prefer == generation.PreferCost {
		return cost.Seconds() + minorWeight*waiting.Seconds()
	}
	return waiting.Seconds() + minorWeight*cost.Seconds()
}

// queueWait returns the expected wait for a slot. An answer that prefers cost
// leaves the headroom to others, unless it is short work.
func queueWait(policy *Policy, spec *generation.Spec, r *member.TargetReport, pace time.Duration) time.Duration {
	slots := max(1, r.Slots)
	open := slots
	if policy.Prefer == generation.PreferCost && spec.Class != generation.Short {
		open = max(1, slots-int(policy.Headroom*float64(slots)))
	}
	ahead := r.Queued + max(0, r.Running-open+1)
	return time.Duration(ahead) * pace * slotTurn / time.Duration(slots)
}

func (l candidateList) sort() {
	slices.SortFunc(l, func(a, b candidate) int {
		switch {
		case a.score != b.score && a.score < b.score:
			return -1
		case a.score != b.score:
			return 1
		case a.target < b.target:
			return -1
		}
		return 1
	})
}

// best draws one of the candidates that are near the best.
func (l candidateList) best(rng *rand.Rand) candidate {
	n := 1
	for n < len(l) && l[n].score <= l[0].score*nearBest {
		n++
	}
	return l[rng.IntN(n)]
}

// second returns the best candidate for a race with first: on another host,
// and not far behind.
func (l candidateList) second(first candidate) (candidate, bool) {
	for _, c := range l {
		if c.target == first.target || (c.place.Host != "" && c.place.Host == first.place.Host) {
			continue
		}
		if float64(c.expected) <= secondBehind*float64(first.expected) {
			return c, true
		}
	}
	return candidate{}, false
}
