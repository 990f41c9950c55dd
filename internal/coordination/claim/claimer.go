package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// CallFunc sends a call or a fence for a claim to its target process, and
// returns the outcome with the reply of a call that is done. An error means
// that no answer came, and stands for Unknown.
type CallFunc func(ctx context.Context, c Claim) (Outcome, *Reply, error)

// Invocation is one ask for a call.
type Invocation struct {
	Request id.Request
	// GeneratedID says that Request was made for this ask: its caller sent no key.
	GeneratedID bool
	// Fingerprint is the call's fingerprint; 0 compares nothing.
	Fingerprint id.Fingerprint
	Owner       id.Entry
	Target      id.Target
	Incarnation id.Incarnation
	// Call sends the call with the claim's target and incarnation. The target
	// process must refuse it, as NotRun, when it is another incarnation or has
	// fenced the request.
	Call CallFunc
}

// Result is what became of a call.
type Result struct {
	Outcome Outcome
	// Conflict says that the key belongs to another call. Nothing was done, and
	// Outcome is Unknown.
	Conflict bool
	// Reply is set when the outcome is Done and the reply is known.
	Reply *Reply
	// Claim is the claim that decided.
	Claim Claim
	// Err is the last error on the way, for the log; nil when there was none.
	Err error
}

// Claimer runs asks against the key-value service and the target processes.
// Its fields are set before the first use. It is safe for concurrent use.
type Claimer struct {
	// Get and Commit call the key-value service.
	Get    func(ctx context.Context, key string) (store.Item, error)
	Commit func(ctx context.Context, txn store.Txn) (store.Result, error)
	// Fence asks the target process of a claim what became of the call.
	Fence CallFunc
	// Lease returns the lease that ends claims; nil keeps them for ever. It
	// must outlast the time in which a caller may come back with a key.
	Lease func() store.LeaseID
	// Clock is the clock for the time in claims.
	Clock clockwork.Clock
	// SettleTimeout bounds the write of an outcome; zero means a second.
	SettleTimeout time.Duration
}

const defaultSettleTimeout = time.Second

// run is one ask under way.
type run struct {
	*Claimer
	ask   Machine
	work  *Invocation
	reply *Reply
	// revision is the key-value service's revision of the claim held.
	revision int64
	conflict bool
	err      error
}

// Do claims a call, sends it and says what became of it. When the caller gives
// up before the call is sent, it is not sent.
func (c *Claimer) Do(ctx context.Context, work Invocation) Result {
	return c.run(ctx, NewMachine(c.claim(&work), work.GeneratedID), &work)
}

// Refuse ends an ask that was refused before it could claim. It says NotRun
// only when that is proved: a caller that comes back with its key and meets a
// limit may have had its call run before. Work needs no target.
func (c *Claimer) Refuse(ctx context.Context, work Invocation) Result {
	return c.run(ctx, NewRefusalMachine(c.claim(&work), work.GeneratedID), &work)
}

func (c *Claimer) claim(work *Invocation) Claim {
	return Claim{
		Request: work.Request, Owner: work.Owner, Nonce: rand.Uint64(),
		Target: work.Target, Incarnation: work.Incarnation, Fingerprint: work.Fingerprint, CreatedAtMs: c.Clock.Now().UnixMilli(),
	}
}

func (c *Claimer) run(ctx context.Context, ask Machine, work *Invocation) Result {
	r := &run{Claimer: c, ask: ask, work: work}
	for r.ask.Action != Answer {
		event, found := r.act(ctx)
		if r.conflict {
			return Result{Outcome: Unknown, Conflict: true, Claim: found, Err: r.err}
		}
		r.ask = r.ask.Next(event, found)
	}
	return Result{Outcome: r.ask.Outcome, Reply: r.reply, Claim: r.ask.CurrentClaim, Err: r.err}
}

func (r *run) act(ctx context.Context) (Event, Claim) {
	switch r.ask.Action {
	case Create:
		return r.create(ctx)
	case Read:
		item, err := r.Get(ctx, r.ask.OwnClaim.Key())
		if err != nil {
			r.err = err
			return ResponseLost, Claim{}
		}
		return r.read(item)
	case Dispatch:
		if err := ctx.Err(); err != nil {
			r.err = err
			return RepliedNotRun, Claim{}
		}
		return r.call(ctx, r.work.Call, r.ask.OwnClaim), Claim{}
	case Fence:
		return r.call(ctx, r.Claimer.Fence, r.ask.CurrentClaim), Claim{}
	default:
		r.settle(ctx)
		return Settled, Claim{}
	}
}

func (r *run) create(ctx context.Context) (Event, Claim) {
	key := r.ask.OwnClaim.Key()
	record := Record{Claim: r.ask.OwnClaim}
	result, err := r.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: record.Encode(), Lease: r.lease()}},
	})
	switch {
	case err != nil:
		r.err = err
		return storeEvent(err), Claim{}
	case result.Succeeded:
		r.revision = result.Revision
		return Created, Claim{}
	}
	for _, item := range result.Current {
		if item.Key == key {
			return r.read(item)
		}
	}
	return ResponseLost, Claim{}
}

func (r *run) lease() store.LeaseID {
	if r.Lease == nil {
		return 0
	}
	return r.Lease()
}

// storeEvent tells the errors that prove that nothing was written from all
// others.
func storeEvent(err error) Event {
	kind, ok := fault.KindOf[store.Kind](err)
	if ok && (kind == store.Unavailable || kind == store.Throttled || kind == store.Invalid) {
		return NotWritten
	}
	return ResponseLost
}

// read takes in the claim that stands. One that cannot be read proves nothing.
func (r *run) read(item store.Item) (Event, Claim) {
	if !item.Exists() {
		return Absent, Claim{}
	}
	record, err := Decode(item.Value)
	if err != nil {
		r.err = err
		return Found, Claim{State: Claimed}
	}
	r.revision = item.ModRevision
	r.reply = record.Reply
	r.conflict = record.Fingerprint != r.ask.OwnClaim.Fingerprint && record.Fingerprint != 0 && r.ask.OwnClaim.Fingerprint != 0
	return Found, record.Claim
}

func (r *run) call(ctx context.Context, f CallFunc, c Claim) Event {
	outcome, reply, err := f(ctx, c)
	if err != nil {
		r.err = err
		return RepliedUnknown
	}
	switch outcome {
	case Done:
		r.reply = reply
		return RepliedDone
	case NotRun:
		return RepliedNotRun
	}
	return RepliedUnknown
}

// settle writes the outcome, so that other asks need not reach the target
// process. The outcome is proved without it.
func (r *run) settle(ctx context.Context) {
	timeout := r.SettleTimeout
	if timeout == 0 {
		timeout = defaultSettleTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	record := Record{Claim: r.ask.CurrentClaim}
	record.State = StateNotRun
	if r.ask.Outcome == Done {
		record.State, record.Reply = StateDone, r.reply
	}
	key := record.Key()
	_, err := r.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, ModRevision: r.revision}},
		Puts:     []store.Put{{Key: key, Value: record.Encode(), Lease: r.lease()}},
	})
	if err != nil {
		r.err = err
	}
}
