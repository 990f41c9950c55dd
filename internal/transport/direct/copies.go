package direct

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// copyCheckEvery is the time between two looks at the engine that holds a
	// run's copy.
	copyCheckEvery = 200 * time.Millisecond
	// copyEvery is the time between two calls that bring a copy up to date which
	// the running engine does not keep up to date by itself. It is well within
	// the time that an engine keeps such a copy.
	copyEvery = 3500 * time.Millisecond
	// copyTimeout bounds such a call.
	copyTimeout = time.Second
)

// copies tracks where a stream's run is copied to. The running engine keeps the
// first copy up to date. When that copy's holder is lost, the entry has the run
// copied to another engine. It is safe for concurrent use.
type copies struct {
	mu     sync.Mutex
	holder *catalog.Target
	from   direct.CopyRef
	// told is the copy that other entries were told of.
	told direct.CopyRef
	// ordered says that the copy was made by a call of the entry.
	ordered bool
	// run numbers the stream's runs, so that a call for an earlier one changes
	// nothing. busy says that a call is out.
	run     int
	busy    bool
	checked time.Time
	called  time.Time
}

// begin notes that a new run is copied to the holder, which may be nil.
func (k *copies) begin(holder *catalog.Target, run direct.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.run++
	k.busy = false
	k.holder, k.from, k.ordered = holder, direct.CopyRef{}, false
	if holder != nil {
		k.from = direct.CopyRef{Address: holder.Address, Handle: string(run)}
	}
}

// inherit notes the copy of a run that another connection had.
func (k *copies) inherit(holder *catalog.Target, from direct.CopyRef) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder, k.from = holder, from
}

// news returns the copy if it has changed since it was last asked for.
func (k *copies) news() (holder *catalog.Target, from direct.CopyRef, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed = k.holder != nil && k.from != k.told
	k.told = k.from
	return k.holder, k.from, changed
}

// take returns the holder and the copy, and forgets both.
func (k *copies) take() (*catalog.Target, direct.CopyRef) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder, from := k.holder, k.from
	k.holder, k.from = nil, direct.CopyRef{}
	return holder, from
}

// due reports whether it is time to look at the holder again, and returns it.
func (k *copies) due(now time.Time) (holder *catalog.Target, ordered bool, called time.Time, due bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy || now.Sub(k.checked) < copyCheckEvery {
		return nil, false, time.Time{}, false
	}
	k.checked = now
	return k.holder, k.ordered, k.called, true
}

// start notes that a call is out, and returns the run that it is for.
func (k *copies) start(now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy, k.called = true, now
	return k.run
}

// done notes the outcome of a call for a run, unless another one has begun.
func (k *copies) done(run int, holder *catalog.Target, from direct.CopyRef, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if run != k.run {
		return
	}
	k.busy = false
	if err == nil {
		k.holder, k.from, k.ordered = holder, from, true
	}
}

// tellCopy lets other entries know where the run is copied to.
func (s *stream) tellCopy() {
	holder, from, changed := s.copies.news()
	if changed {
		s.c.e.handover.SetLocal(handover.Run{Key: s.key, Holder: holder.ID, Address: from.Address, Handle: from.Handle})
	}
}

// keepCopy has the run copied to another engine once the copy's holder is lost.
func (s *stream) keepCopy(ctx context.Context, runner *catalog.Target) {
	c := s.c
	now := c.now()
	holder, ordered, called, due := s.copies.due(now)
	if !due || c.need.Engine == nil || !c.need.Engine.SupportsBackup {
		return
	}
	targets := c.targets()
	lost := holder == nil || targets.Find(holder.ID) == nil || c.e.balancer.Suspected(now, holder)
	switch {
	case lost:
		holder = c.e.balancer.BackupFor(now, c.need, targets, runner, c.tried)
	case !ordered || now.Sub(called) < copyEvery:
		return
	}
	if holder == nil {
		return
	}
	go s.copyTo(ctx, s.copies.start(now), runner, holder)
}

// copyTo has the running engine copy the run to the holder.
func (s *stream) copyTo(ctx context.Context, run int, runner, holder *catalog.Target) {
	handle, err := s.c.e.orderCopy(ctx, runner, holder, s.c.ask.Attempt)
	s.copies.done(run, holder, direct.CopyRef{Address: runner.Address, Handle: handle}, err)
	fields := []any{"target", runner.ID, "holder", holder.ID, "zone", holder.Zone}
	if err != nil {
		fields = append(fields, "error", err)
	}
	s.c.log(event.CopyOrdered, fields...)
}

// orderCopy asks a running engine for a copy and returns its handle.
func (e *Entry) orderCopy(ctx context.Context, runner, holder *catalog.Target, run direct.AttemptID) (string, error) {
	call, err := e.deps.Dialect.CopyCall(run, holder.Address)
	if err != nil {
		return "", err
	}
	status, body, err := e.callEngine(ctx, runner.Address, call)
	if err != nil {
		return "", err
	}
	return e.deps.Dialect.DecodeCopyHandle(status, body)
}

// freeCopy gives back the memory of a copy that the entry ordered, now that the
// stream has ended. Where the call fails, the engine frees it a little later.
func (s *stream) freeCopy() {
	s.copies.mu.Lock()
	from, ordered := s.copies.from, s.copies.ordered
	s.copies.mu.Unlock()
	if !ordered {
		return
	}
	c := s.c
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		status, _, err := c.e.callEngine(ctx, from.Address, c.e.deps.Dialect.FreeCopyCall(from.Handle))
		if err != nil || status != http.StatusOK {
			c.log(event.CopyNotFreed, "engine", from.Address, "status", status, "error", err)
		}
	}()
}

// callEngine carries out a call to an engine itself and returns its whole answer.
func (e *Entry) callEngine(ctx context.Context, address string, call direct.Call) (int, []byte, error) {
	deadline := e.deps.Clock.Now().Add(copyTimeout)
	answer, err := e.pool.Do(ctx, address, &upstream.Request{
		Method: call.Method, URI: call.Path, Host: address, Header: call.Header, Body: call.Body,
	}, deadline)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return answer.Status, body, err
}
