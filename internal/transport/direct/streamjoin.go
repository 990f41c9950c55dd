package direct

import (
	"errors"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/continuity"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

var (
	// errSkips and errEndsEarly end attempts whose events do not go on where the client's end. The
	// target serves, so it does not count as lost.
	errSkips     = errors.New("the resumption skips events, or does not show where it goes on")
	errEndsEarly = errors.New("the resumption ends before the client's last event")
)

// resumable reports whether a run may go on after the client's last event.
func (s *stream) resumable() bool { return s.c.route.Resumable && s.order.Resumable() }

// passOn forwards an event if it follows the client's last one. Otherwise it returns the outcome of
// the attempt.
func (s *stream) passOn(a *upstream.Answer, next *eventstream.Event) (balance.Outcome, error) {
	if next.Empty {
		return s.passOnEmpty(a, next)
	}
	switch s.order.Judge(next.ID) {
	case continuity.Skips:
		return balance.Rerouted, errSkips
	case continuity.Repeated:
		s.c.log(event.FrameDropped, "eventID", next.ID)
		return balance.Succeeded, nil
	case continuity.Next:
	}
	if err := s.writeEvent(a, next); err != nil {
		return balance.ClientCancelled, err
	}
	return balance.Succeeded, nil
}

// passOnEmpty forwards an event that is no part of the answer. At the beginning of a resumption it may
// repeat one that the client has, so it is dropped.
func (s *stream) passOnEmpty(a *upstream.Answer, next *eventstream.Event) (balance.Outcome, error) {
	if s.order.Joins() {
		return balance.Succeeded, nil
	}
	if err := s.write(a, next); err != nil {
		return balance.ClientCancelled, err
	}
	if err := s.out.Flush(); err != nil {
		return balance.ClientCancelled, err
	}
	return balance.Succeeded, nil
}
