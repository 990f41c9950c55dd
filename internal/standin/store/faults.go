package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// faults are the failures in force.
type faults struct {
	mu      sync.Mutex
	latency time.Duration
	outage  bool
	// hung is closed when a hang ends; nil when calls are answered.
	hung chan struct{}
	// loseAnswers and loseRequests count the writes whose answer is lost, after
	// and before they take effect.
	loseAnswers, loseRequests int
	// holdWrites counts the writes to hold, and held carries out those that
	// were.
	holdWrites int
	held       []func()
	// onOutage is set by a Server.
	onOutage func(on bool) error
}

func (f *faults) setOnOutage(onOutage func(on bool) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onOutage = onOutage
}

// counts are the calls since the service was made.
type counts struct {
	ranges, txns, watches, grants, keepAlives, revokes atomic.Int64
	watching                                           atomic.Int64
}

// Calls are the calls that reached the service, also those that a fault then
// hit.
type Calls struct {
	Ranges     int64 `json:"ranges"`
	Txns       int64 `json:"txns"`
	Watches    int64 `json:"watches"`
	Grants     int64 `json:"grants"`
	KeepAlives int64 `json:"keepAlives"`
	Revokes    int64 `json:"revokes"`
	// OpenWatches is the number of watches that wait.
	OpenWatches int64 `json:"watching"`
}

// Writes returns the calls that the service's write rate counts.
func (c Calls) Writes() int64 { return c.Txns + c.Grants + c.KeepAlives + c.Revokes }

// Reads returns the calls that the service's read rate counts.
func (c Calls) Reads() int64 { return c.Ranges + c.Watches }

// Calls returns the counters as they stand.
func (s *Service) Calls() Calls {
	return Calls{
		Ranges:      s.counts.ranges.Load(),
		Txns:        s.counts.txns.Load(),
		Watches:     s.counts.watches.Load(),
		Grants:      s.counts.grants.Load(),
		KeepAlives:  s.counts.keepAlives.Load(),
		Revokes:     s.counts.revokes.Load(),
		OpenWatches: s.counts.watching.Load(),
	}
}

// SetLatency sets the time of each call.
func (s *Service) SetLatency(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.latency = d
}

// SetOutage makes the service unreachable and cuts its watches, or ends this.
// A Server closes its listener meanwhile; it fails when the address is taken
// at the end.
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

// SetHang makes calls wait for an answer without taking effect, or ends this.
func (s *Service) SetHang(on bool) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	switch {
	case on && s.faults.hung == nil:
		s.faults.hung = make(chan struct{})
	case !on && s.faults.hung != nil:
		close(s.faults.hung)
		s.faults.hung = nil
	}
}

// DropResponses makes the next n writes take effect and loses their answers.
func (s *Service) DropResponses(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseAnswers = n
}

// DropRequests loses the next n writes on their way, so that they take no
// effect; a caller cannot tell this from a lost answer.
func (s *Service) DropRequests(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.loseRequests = n
}

// HoldWrites makes the next n writes get stuck on their way: their callers get
// no answer, and they take effect only with ReleaseWrites.
func (s *Service) HoldWrites(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.holdWrites = n
}

// ReleaseWrites lets the writes that were held arrive.
func (s *Service) ReleaseWrites() {
	s.faults.mu.Lock()
	held := s.faults.held
	s.faults.held = nil
	s.faults.mu.Unlock()
	for _, arrive := range held {
		arrive()
	}
}

// losesRequest reports whether the current write is lost or held before it
// takes effect.
func (s *Service) losesRequest(apply func()) bool {
	if s.take(&s.faults.loseRequests) {
		return true
	}
	if !s.take(&s.faults.holdWrites) {
		return false
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.held = append(s.faults.held, apply)
	return true
}

func (s *Service) down() bool {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.outage
}

// losesAnswer reports whether the current write's answer is lost.
func (s *Service) losesAnswer() bool { return s.take(&s.faults.loseAnswers) }

func (s *Service) take(n *int) bool {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// delay waits for the latency and the end of a hang.
func (s *Service) delay(ctx context.Context) error {
	s.faults.mu.Lock()
	latency, hung := s.faults.latency, s.faults.hung
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
	if hung == nil {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-hung:
		return nil
	}
}
