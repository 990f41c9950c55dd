package rollout

import "time"

const (
	// canaryPart and goingOnPart are the parts of the share that new requests use during the
	// canary stage, and that streams which the new version began may use.
	canaryPart  = 0.5
	goingOnPart = 0.8
	// tolerancePart is the part of the tolerance that is divided over the entries. The rest is
	// for entries that start again, and for the time in which a finding spreads.
	tolerancePart = 0.5
)

// Ledger counts what one entry has sent to a service since it knew of the order.
type Ledger struct {
	sent, toNew int
}

// Sent records one attempt to send a request to the service.
func (l *Ledger) Sent(toNew bool) {
	l.sent++
	if toNew {
		l.toNew++
	}
}

// Totals returns the number of attempts, and of those at the new version.
func (l *Ledger) Totals() (sent, toNew int) { return l.sent, l.toNew }

// Bound is the bound on what an unproven version gets, over all entries.
type Bound struct {
	// Share is the largest share of all requests, and Tolerance a number beyond it.
	Share     float64
	Tolerance int
	// Entries is the number of entries that share Tolerance, and Rank the place of this one
	// among them, from 0.
	Entries, Rank int
}

const (
	// toleranceAtOnce is the part of the divided tolerance that may be used from the beginning.
	// The rest follows evenly until toleranceUntil of the time budget, so that a version that
	// turns bad late is found also where there are few requests.
	toleranceAtOnce = 0.4
	toleranceUntil  = 0.7
)

// ToleranceAt returns how much of a tolerance may be used some time after the order.
func ToleranceAt(tolerance int, since, budget time.Duration) int {
	passed := min(1, max(0, since.Seconds()/(toleranceUntil*budget.Seconds())))
	return int(float64(tolerance) * (toleranceAtOnce + (1-toleranceAtOnce)*passed))
}

// quota returns how many requests of the tolerance are this entry's. Those that are left over
// are given out by rank.
func (b *Bound) quota() float64 {
	divided := int(tolerancePart * float64(b.Tolerance))
	entries := max(1, b.Entries)
	quota := divided / entries
	if b.Rank < divided%entries {
		quota++
	}
	return float64(quota)
}

// Allows reports whether the next request may be sent to the new version during the canary
// stage. goesOn says that the request goes on with a stream which the version began.
func (l *Ledger) Allows(b Bound, goesOn bool) bool {
	part := canaryPart
	if goesOn {
		part = goingOnPart
	}
	return float64(l.toNew+1) <= part*b.Share*float64(l.sent+1)+b.quota()
}
