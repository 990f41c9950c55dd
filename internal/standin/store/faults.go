package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// faults are the active faults.
type faults struct {
	mu      sync.Mutex
	latency time.Duration
	outage  bool
	// hangEnd is closed at the end of a hang; it is nil when calls don't hang.
	hangEnd chan struct{}
	// dropResponses is the number of coming writes whose response is dropped after
	// they took effect, and dropRequests the number of those that are dropped before.
	dropResponses, dropRequests int
	// holdWrites is the number of coming writes to hold. Each function in heldWrites
	// applies a write that is held.
	holdWrites int
	heldWrites []func()
	// onOutage is called when an outage begins or ends; Server sets it.
	onOutage func(on bool) error
}

func (f *faults) setOnOutage(onOutage func(on bool) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onOutage = onOutage
}

// counts are the numbers of calls since the service was created.
type counts struct {
	ranges, txns, watches, grants, keepAlives, revokes atomic.Int64
	openWatches                                        atomic.Int64
}

// Calls are the numbers of calls that reached the service, including those that
// then failed because of a fault.
type Calls struct {
	Ranges     int64 `json:"ranges"`
	Txns       int64 `json:"txns"`
	Watches    int64 `json:"watches"`
	Grants     int64 `json:"grants"`
	KeepAlives int64 `json:"keepAlives"`
	Revokes    int64 `json:"revokes"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64 `json:"watching"`
}

// Writes returns the number of calls that count towards the service's write rate.
func (c Calls) Writes() int64 { return c.Txns + c.Grants + c.KeepAlives + c.Revokes }

// Reads returns the number of calls that count towards the service's read rate.
func (c Calls) Reads() int64 { return c.Ranges + c.Watches }

// Calls returns the current counters.
func (s *Service) Calls() Calls {
	return Calls{
		Ranges:      s.counts.ranges.Load(),
		Txns:        s.counts.txns.Load(),
		Watches:     s.counts.watches.Load(),
		Grants:      s.counts.grants.Load(),
		KeepAlives:  s.counts.keepAlives.Load(),
		Revokes:     s.counts.revokes.Load(),
		OpenWatches: s.counts.openWatches.Load(),
	}
}

// SetLatency sets the latency of every call.
func (s *Service) SetLatency(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.latency = d
}

// SetOutage starts or ends an outage. During an outage the service is unreachable;
// its watches are cancelled at the start. A Server closes its listener for the
// outage, and SetOutage(false) fails if the address is in use by then.
func (s *Service) SetOutage(on bool) error {
	s.faults.mu.Lock()
	changed := s.faults.outage != on
	s.faults.outage = on
	onOutage := s.faults.onOutage
	s.faults.mu.Unlock()
	if !changed {
		return nil
	}
	if on {
		s.CancelWatches()
	}
	if onOutage != nil {
		return onOutage(on)
	}
	return nil
}

// SetHang starts or ends a hang. During a hang calls wait without taking effect; those
// that still wait at its end proceed.
func (s *Service) SetHang(on bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	switch {
	case on && s.faults.hangEnd == nil:
		s.faults.hangEnd = make(chan struct{})
	case !on && s.faults.hangEnd != nil:
		close(s.faults.hangEnd)
		s.faults.hangEnd = nil
	}
}

// DropResponses drops the responses of the next n writes, which take effect.
func (s *Service) DropResponses(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.dropResponses = n
}

// DropRequests drops the requests of the next n writes, which take no effect. A
// caller can't distinguish this from a dropped response.
func (s *Service) DropRequests(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.dropRequests = n
}

// HoldWrites holds the next n writes: their callers get no response, and the writes
// take effect only when ReleaseWrites is called.
func (s *Service) HoldWrites(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.holdWrites = n
}

// ReleaseWrites applies the writes that are held.
func (s *Service) ReleaseWrites() {
	s.faults.mu.Lock()
	writes := s.faults.heldWrites
	s.faults.heldWrites = nil
	s.faults.mu.Unlock()
	for _, apply := range writes {
		apply()
	}
}

// dropsRequest reports whether the current write is dropped or held. ReleaseWrites
// calls apply for a write that is held.
func (s *Service) dropsRequest(apply func()) bool {
	if s.consume(&s.faults.dropRequests) {
		return true
	}
	if !s.consume(&s.faults.holdWrites) {
		return false
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.heldWrites = append(s.faults.heldWrites, apply)
	return true
}

func (s *Service) down() bool {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.outage
}

// dropsResponse reports whether the response of the current write is dropped.
func (s *Service) dropsResponse() bool { return s.consume(&s.faults.dropResponses) }

func (s *Service) consume(n *int) bool {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// delay waits for the latency and for the end of a hang.
func (s *Service) delay(ctx context.Context) error {
	s.faults.mu.Lock()
	latency, hangEnd := s.faults.latency, s.faults.hangEnd
	s.faults.mu.Unlock()
	if latency > 0 {
		timer := s.clock.NewTimer(latency)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
		}
	}
	if hangEnd == nil {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-hangEnd:
		return nil
	}
}
