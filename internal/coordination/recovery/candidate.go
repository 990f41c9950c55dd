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
	// minorWeight is the weight of the criterion that is not preferred: cost for
	// latency, and latency for cost.
	minorWeight = 0.05
	// zoneRisk is added, as a share of the expected time, for each other target
	// in the candidate's zone that failed just before.
	zoneRisk = 0.5
	// maxScoreRatio is the ratio to the best score up to which a candidate may be
	// drawn, so that many simultaneous losses don't all go to one target.
	maxScoreRatio = 1.1
	// minHedgeTime is the expected time to the next token from which a second
	// attempt is started.
	minHedgeTime = 250 * time.Millisecond
	// maxSecondRatio is the ratio to the first target's expected time up to
	// which a target may get the second attempt.
	maxSecondRatio = 1.5
	// tokensPerSlotWait is the number of tokens, each taking the target's pace,
	// that a waiting generation waits for a slot at a full target with one slot.
	tokensPerSlotWait = 500
	// defaultPace and defaultPrefill are used if a report does not give the
	// value.
	defaultPace    = 50 * time.Millisecond
	defaultPrefill = time.Millisecond
)

// candidate is a target that could get the next attempt.
type candidate struct {
	target id.Target
	place  member.Place
	pace   time.Duration
	// expected is the expected time until the next token.
	expected time.Duration
	// recompute is the number of tokens that would be computed again.
	recompute int
	// score is lowest for the best candidate.
	score float64
}

type candidateList []candidate

// candidates returns the targets that can continue the text, best first. Unless
// the attempt was refused, targets on its host are left out if there are others.
func candidates(view *View, loss *Loss, policy *Policy, now time.Time) candidateList {
	var found, shared candidateList
	for i := range view.Targets {
		r := &view.Targets[i]
		if !usable(view, loss, policy, r, now) || !canContinue(r, loss.Spec) {
			continue
		}
		c := evaluate(view, loss, policy, r)
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

// anyVersion returns the best target for a new text, whatever its model
// version.
func anyVersion(view *View, loss *Loss, policy *Policy, now time.Time) (candidate, bool) {
	fresh := *loss
	fresh.HeldTokens = 0
	var found candidateList
	for i := range view.Targets {
		r := &view.Targets[i]
		if usable(view, loss, policy, r, now) && serves(r, loss.Spec) {
			found = append(found, evaluate(&View{}, &fresh, policy, r))
		}
	}
	found.sort()
	if len(found) == 0 {
		return candidate{}, false
	}
	return found[0], true
}

// usable reports whether a target may get an attempt. The lost target may once
// it has started again.
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

func canContinue(r *member.TargetReport, spec *generation.Spec) bool {
	return r.Version == spec.Version && serves(r, spec)
}

// evaluate returns the candidate for a target, with its expected time and
// score.
func evaluate(view *View, loss *Loss, policy *Policy, r *member.TargetReport) candidate {
	c := candidate{target: r.Target, place: r.Place, pace: r.Pace}
	prefill := r.PrefillPerToken
	c.pace = cmp.Or(c.pace, defaultPace)
	prefill = cmp.Or(prefill, defaultPrefill)
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
// counts the headroom as occupied, unless its class is Short.
func queueWait(policy *Policy, spec *generation.Spec, r *member.TargetReport, pace time.Duration) time.Duration {
	slots := max(1, r.Slots)
	available := slots
	if policy.Prefer == generation.PreferCost && spec.Class != generation.Short {
		available = max(1, slots-int(policy.Headroom*float64(slots)))
	}
	ahead := r.Queued + max(0, r.Running-available+1)
	return time.Duration(ahead) * pace * tokensPerSlotWait / time.Duration(slots)
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

// pick returns a random one of the candidates that score close to the best.
func (l candidateList) pick(rng *rand.Rand) candidate {
	n := 1
	for n < len(l) && l[n].score <= l[0].score*maxScoreRatio {
		n++
	}
	return l[rng.IntN(n)]
}

// second returns the best candidate for an attempt that hedges first: on
// another host, and not much slower.
func (l candidateList) second(first candidate) (candidate, bool) {
	for _, c := range l {
		if c.target == first.target || (c.place.Host != "" && c.place.Host == first.place.Host) {
			continue
		}
		if float64(c.expected) <= maxSecondRatio*float64(first.expected) {
			return c, true
		}
	}
	return candidate{}, false
}
