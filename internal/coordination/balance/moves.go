package balance

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Moves are the attempts that leave targets of lost zones.
type Moves struct {
	// Taken holds the claims of those that were cancelled, in order, and Left counts those
	// that wait on.
	Taken []retry.Claim
	Left  int
}

// SetClaim says what decides the attempt's turn when its target's zone is lost. Attempts without
// a claim are cancelled as soon as the zone counts as lost.
func (a *Attempt) SetClaim(c retry.Claim) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.claim = &c
}

// mayMove reports whether an attempt with a claim waits for a target of a service whose zone is
// lost.
func (b *Balancer) mayMove(now time.Time, a *Attempt, service id.Service) bool {
	return a.target.Service == service && a.claim != nil && a.cancel != nil && !a.moved &&
		b.zoneRecord(a.target).mayBeLost(now, b.look(now, a.target))
}

// TakeMoves cancels the first most attempts, by their claims, of those that wait for targets of
// a service whose zones are lost, and that were asked in vain whether they live.
func (b *Balancer) TakeMoves(now time.Time, service id.Service, most int) Moves {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stranded []*Attempt
	unclear := 0
	for a := range b.waiting {
		switch {
		case !b.mayMove(now, a, service):
		case b.look(now, a.target).unansweredNow(now):
			stranded = append(stranded, a)
		default:
			unclear++
		}
	}
	slices.SortFunc(stranded, func(x, y *Attempt) int { return x.claim.Compare(*y.claim) })
	most = min(max(0, most), len(stranded))
	moves := Moves{Left: len(stranded) - most + unclear}
	for _, a := range stranded[:most] {
		a.moved = true
		moves.Taken = append(moves.Taken, *a.claim)
		a.cancel()
	}
	return moves
}

// FreeSlots returns how many more requests the targets run at once that are ready and not
// suspected, as far as all entries have told.
func (b *Balancer) FreeSlots(now time.Time, targets catalog.Targets) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := 0
	for _, t := range targets {
		if t.State == catalog.Ready && !b.suspected(now, t) {
			free += max(0, t.Slots-b.total(b.record(now, t), t).Running)
		}
	}
	return free
}
