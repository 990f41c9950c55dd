package direct

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// copyCheckInterval is how often the engine that holds a run's copy is
	// checked.
	copyCheckInterval = 200 * time.Millisecond
	// copyRefreshInterval is how often a copy is updated that the running engine
	// does not update by itself. A copy must not have been discarded when the loss of
	// that engine is noticed, and what it lacks is computed again.
	copyRefreshInterval = 1500 * time.Millisecond
	// copyCallTimeout limits a call that copies a run or frees a copy.
	copyCallTimeout = time.Second
)

// copyTracker tracks where a stream's run is copied to. The running engine
// updates the first copy by itself. If the engine that holds the copy is lost,
// the entry has the run copied to another one. It is safe for concurrent use.
type copyTracker struct {
	mu     sync.Mutex
	holder *catalog.Target
	ref    direct.CopyRef
	// reported is the copy that was last reported to other entries.
	reported direct.CopyRef
	// requested is set if the copy was made by a call of this entry.
	requested bool
	// run numbers the stream's runs, so that the result of a call for an earlier
	// run is ignored. calling is set while a call is in progress.
	run       int
	calling   bool
	checkedAt time.Time
	calledAt  time.Time
}

// runStarted records that a new run is copied to the holder, which may be nil.
func (t *copyTracker) runStarted(holder *catalog.Target, run direct.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.run++
	t.calling = false
	t.holder, t.ref, t.requested = holder, direct.CopyRef{}, false
	if holder != nil {
		t.ref = direct.CopyRef{Address: holder.Address, Handle: string(run)}
	}
}

// setInherited records the copy of a run that served another connection.
func (t *copyTracker) setInherited(holder *catalog.Target, ref direct.CopyRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder, t.ref = holder, ref
}

// unreported returns the current copy and whether it has changed since the last
// call.
func (t *copyTracker) unreported() (holder *catalog.Target, ref direct.CopyRef, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.holder != nil && t.ref != t.reported
	t.reported = t.ref
	return t.holder, t.ref, changed
}

// take returns the holder and the copy and clears both.
func (t *copyTracker) take() (*catalog.Target, direct.CopyRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	holder, ref := t.holder, t.ref
	t.holder, t.ref = nil, direct.CopyRef{}
	return holder, ref
}

// checkDue returns the holder and reports whether it is time to check it again.
func (t *copyTracker) checkDue(now time.Time) (holder *catalog.Target, requested bool, calledAt time.Time, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calling || now.Sub(t.checkedAt) < copyCheckInterval {
		return nil, false, time.Time{}, false
	}
	t.checkedAt = now
	return t.holder, t.requested, t.calledAt, true
}

// callStarted records that a call is in progress and returns the run that it is
// for.
func (t *copyTracker) callStarted(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calling, t.calledAt = true, now
	return t.run
}

// callEnded records the result of a call, unless another run has started since.
func (t *copyTracker) callEnded(run int, holder *catalog.Target, ref direct.CopyRef, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run != t.run {
		return
	}
	t.calling = false
	if err == nil {
		t.holder, t.ref, t.requested = holder, ref, true
	}
}

// copyHolder returns the engine that holds a copy of the lost run, and the copy,
// if that engine accepts requests now. Each copy is used only once.
func (s *stream) copyHolder(now time.Time, targets catalog.Targets) (*catalog.Target, direct.CopyRef) {
	held, ref := s.copyTracker.take()
	if held == nil {
		return nil, direct.CopyRef{}
	}
	t := targets.Find(held.ID)
	if t == nil || t.State != catalog.Ready || s.c.tried[t.ID] || s.c.e.balancer.Suspected(now, t) {
		return nil, direct.CopyRef{}
	}
	return t, ref
}

// reportCopy records for the other entries where the run is copied to.
func (s *stream) reportCopy() {
	holder, ref, changed := s.copyTracker.unreported()
	if changed {
		s.c.e.handover.SetLocal(handover.Run{Key: s.id.Key, Began: s.id.Began, Holder: holder.ID, Address: ref.Address, Handle: ref.Handle})
	}
}

// maintainCopy has the run copied to another engine if the holder of the copy is
// lost, and refreshes copies that the engine does not update by itself.
func (s *stream) maintainCopy(ctx context.Context, run *balance.Attempt, source *catalog.Target) {
	c := s.c
	now := c.now()
	holder, requested, calledAt, due := s.copyTracker.checkDue(now)
	if !due || c.e.withdrawn.Paused(now, source.Key()) || c.requirements.Engine == nil || !c.requirements.Engine.SupportsBackup {
		return
	}
	targets := c.targets()
	lost := holder == nil || targets.Find(holder.ID) == nil || c.e.balancer.Suspected(now, holder)
	switch {
	case lost:
		holder = c.e.balancer.BackupFor(now, c.requirements, targets, source, c.tried)
		run.MoveBackup(now, holder)
	case !requested || now.Sub(calledAt) < copyRefreshInterval:
		return
	}
	if holder == nil {
		return
	}
	go s.copyTo(ctx, run, s.copyTracker.callStarted(now), source, holder)
}

// copyTo has the running engine copy the run to the holder. number is that of the run.
func (s *stream) copyTo(ctx context.Context, run *balance.Attempt, number int, source, holder *catalog.Target) {
	handle, err := s.c.e.requestCopy(ctx, source, holder, s.c.meta.Attempt)
	s.copyTracker.callEnded(number, holder, direct.CopyRef{Address: source.Address, Handle: handle}, err)
	if err != nil {
		run.RefuseBackup(s.c.now(), holder)
	}
	fields := []any{"target", source.ID, "holder", holder.ID, "zone", holder.Zone}
	if err != nil {
		fields = append(fields, "error", err)
	}
	s.c.log(event.CopyOrdered, fields...)
}

// requestCopy requests that a running engine copies a run, and returns the handle of the
// copy. The answer does not name the run, so the calls for a run have a connection of their
// own: on a shared one, the answer to an earlier call may arrive once more in place of this call's.
func (e *Entry) requestCopy(ctx context.Context, source, holder *catalog.Target, run direct.AttemptID) (string, error) {
	call, err := e.deps.Dialect.CopyCall(run, holder.Address)
	if err != nil {
		return "", err
	}
	e.limits.charge(e.deps.Clock.Now(), source)
	request := engineRequest(source.Address, call)
	request.Run = string(run)
	answer, err := e.sendToEngine(ctx, request)
	if err != nil {
		return "", err
	}
	meta := e.deps.Dialect.DecodeResponse(answer.status, answer.header)
	if meta.Attempt != "" && meta.Attempt != run {
		return "", errWrongAttempt
	}
	e.observeNotice(source, meta.Notice)
	return e.deps.Dialect.DecodeCopyHandle(answer.status, answer.body)
}

// freeCopy frees a copy that the entry requested, after the stream has ended. If
// the call fails, the engine frees the copy itself a little later.
func (s *stream) freeCopy() {
	s.copyTracker.mu.Lock()
	ref, requested := s.copyTracker.ref, s.copyTracker.requested
	s.copyTracker.mu.Unlock()
	if !requested {
		return
	}
	c := s.c
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyCallTimeout)
		defer cancel()
		answer, err := c.e.callEngine(ctx, ref.Address, c.e.deps.Dialect.FreeCopyCall(ref.Handle))
		if err != nil || answer.status != http.StatusOK {
			c.log(event.CopyNotFreed, "engine", ref.Address, "status", answer.status, "error", err)
		}
	}()
}

// callEngine calls an engine and returns its answer.
func (e *Entry) callEngine(ctx context.Context, address string, call direct.Call) (bufferedAnswer, error) {
	return e.sendToEngine(ctx, engineRequest(address, call))
}

// engineRequest returns a call as it is sent to the engine at an address.
func engineRequest(address string, call direct.Call) *upstream.Request {
	return &upstream.Request{Method: call.Method, URI: call.Path, Host: address, Header: call.Header, Body: call.Body}
}

// sendToEngine sends a request to the engine that it names as its host.
func (e *Entry) sendToEngine(ctx context.Context, request *upstream.Request) (bufferedAnswer, error) {
	deadline := e.deps.Clock.Now().Add(copyCallTimeout)
	answer, err := e.pool.Do(ctx, request.Host, request, deadline)
	if err != nil {
		return bufferedAnswer{}, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, smallBodyBytes))
	return bufferedAnswer{status: answer.Status, header: answer.Header, body: body}, err
}

// handoverKey returns a key of the request's content that is the same for all attempts of the client at
// this request.
func (c *call) handoverKey() handover.Key {
	if c.contentKey == "" {
		c.contentKey = handover.KeyOf(string(c.accountName()), c.r.Host, c.r.Method, c.r.RequestURI, string(c.meta.OwnPart()), string(c.body))
	}
	return c.contentKey
}

// handoverStream identifies the request's stream at all entries. A client that resumes one may not
// name the attempt that began it.
func (c *call) handoverStream() handover.Stream {
	began := c.meta.Attempt
	if c.resumesStream() {
		began = c.meta.Resumes
	}
	return handover.Stream{Key: c.handoverKey(), Began: id.Request(began)}
}

// inheritCopy takes over the copy of the run that served an earlier connection
// of the client, at this entry or another one.
func (s *stream) inheritCopy(now time.Time, targets catalog.Targets) {
	run, ok := s.c.e.handover.Take(now, s.id)
	if !ok {
		return
	}
	s.id = run.Stream()
	holder := targets.Find(run.Holder)
	s.c.log(event.RequestAdopted, "holder", run.Holder, "listed", holder != nil, "handle", run.Handle, "lastEvent", s.lastEventID)
	if holder != nil {
		s.copyTracker.setInherited(holder, direct.CopyRef{Address: run.Address, Handle: run.Handle})
	}
}

// endHandover removes a complete stream from the handover registry. An
// incomplete one stays there, so that another entry can resume it.
func (s *stream) endHandover() {
	for _, key := range s.c.originKeys() {
		s.c.e.streams.Touch(s.c.now(), key)
	}
	s.c.e.handover.EndLocal(s.c.now(), s.id, s.complete)
	if s.complete {
		s.freeCopy()
	}
}
