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

// CallFunc sends a call or a fence for a claim to its target process. It returns the
// outcome, with the reply if the outcome is Done. An error means that no answer
// arrived; it counts as Unknown.
type CallFunc func(ctx context.Context, c Claim) (Outcome, *Reply, error)

// Invocation is one caller's request to run a call.
type Invocation struct {
	Request id.Request
	// GeneratedID says that Request was generated for this invocation, because the
	// caller sent no key.
	GeneratedID bool
	// Fingerprint identifies the call's content; 0 disables the comparison with the
	// stored claim.
	Fingerprint id.Fingerprint
	Owner       id.Entry
	Target      id.Target
	Incarnation id.Incarnation
	// Call sends the call to the claim's target with the claim's incarnation. The
	// target process must answer NotRun if it is another incarnation or has fenced
	// the request.
	Call CallFunc
}

// Result is the result of an invocation.
type Result struct {
	Outcome Outcome
	// Conflict says that the key belongs to a different call. Nothing was done, and
	// Outcome is Unknown.
	Conflict bool
	// Reply is set when the outcome is Done and the reply is known.
	Reply *Reply
	// Claim is the claim that determined the outcome.
	Claim Claim
	// Err is the last error that occurred, for the log; nil if there was none.
	Err error
}

// Claimer runs invocations against the key-value service and the target processes. Its
// fields must be set before the first use. It is safe for concurrent use.
type Claimer struct {
	// Get and Commit read from and write to the key-value service.
	Get    func(ctx context.Context, key string) (store.Item, error)
	Commit func(ctx context.Context, txn store.Txn) (store.Result, error)
	// Fence requests the call's outcome from the target process of a claim, and makes it
	// refuse the call if it has not seen it.
	Fence CallFunc
	// Lease returns the lease to which claims are bound; if nil, claims never
	// expire. The lease must outlast the time in which a caller may retry a key.
	Lease func() store.LeaseID
	// Clock gives the creation time of claims.
	Clock clockwork.Clock
	// SettleTimeout bounds the write of an outcome; zero means one second.
	SettleTimeout time.Duration
}

const defaultSettleTimeout = time.Second

// execution is an invocation in progress.
type execution struct {
	*Claimer
	machine    Machine
	invocation *Invocation
	reply      *Reply
	// revision is the current claim's revision in the key-value service.
	revision int64
	conflict bool
	err      error
}

// Do claims a call, sends it and returns its outcome. If ctx ends before the call is
// sent, the call is not sent.
func (c *Claimer) Do(ctx context.Context, inv Invocation) Result {
	return c.execute(ctx, NewMachine(c.newClaim(&inv), inv.GeneratedID), &inv)
}

// Refuse ends an invocation that was refused before it could be claimed. Its outcome is
// NotRun only if that is proved, because the call of a caller that retries with its key
// and exceeds a limit may have run before. The invocation needs no target.
func (c *Claimer) Refuse(ctx context.Context, inv Invocation) Result {
	return c.execute(ctx, NewRefusalMachine(c.newClaim(&inv), inv.GeneratedID), &inv)
}

func (c *Claimer) newClaim(inv *Invocation) Claim {
	return Claim{
		Request: inv.Request, Owner: inv.Owner, Nonce: rand.Uint64(),
		Target: inv.Target, Incarnation: inv.Incarnation, Fingerprint: inv.Fingerprint, CreatedAtMs: c.Clock.Now().UnixMilli(),
	}
}

func (c *Claimer) execute(ctx context.Context, machine Machine, inv *Invocation) Result {
	x := &execution{Claimer: c, machine: machine, invocation: inv}
	for x.machine.Action != Answer {
		event, found := x.perform(ctx)
		if x.conflict {
			return Result{Outcome: Unknown, Conflict: true, Claim: found, Err: x.err}
		}
		x.machine = x.machine.Next(event, found)
	}
	return Result{Outcome: x.machine.Outcome, Reply: x.reply, Claim: x.machine.CurrentClaim, Err: x.err}
}

func (x *execution) perform(ctx context.Context) (Event, Claim) {
	switch x.machine.Action {
	case Create:
		return x.create(ctx)
	case Read:
		item, err := x.Get(ctx, x.machine.OwnClaim.Key())
		if err != nil {
			x.err = err
			return ResponseLost, Claim{}
		}
		return x.loadClaim(item)
	case Dispatch:
		if err := ctx.Err(); err != nil {
			x.err = err
			return RepliedNotRun, Claim{}
		}
		return x.call(ctx, x.invocation.Call, x.machine.OwnClaim), Claim{}
	case Fence:
		return x.call(ctx, x.Claimer.Fence, x.machine.CurrentClaim), Claim{}
	default:
		x.settle(ctx)
		return Settled, Claim{}
	}
}

func (x *execution) create(ctx context.Context) (Event, Claim) {
	key := x.machine.OwnClaim.Key()
	record := Record{Claim: x.machine.OwnClaim}
	result, err := x.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key}},
		Puts:     []store.Put{{Key: key, Value: record.Encode(), Lease: x.lease()}},
	})
	switch {
	case err != nil:
		x.err = err
		return storeEvent(err), Claim{}
	case result.Succeeded:
		x.revision = result.Revision
		return Created, Claim{}
	}
	for _, item := range result.Current {
		if item.Key == key {
			return x.loadClaim(item)
		}
	}
	return ResponseLost, Claim{}
}

func (x *execution) lease() store.LeaseID {
	if x.Lease == nil {
		return 0
	}
	return x.Lease()
}

// storeEvent returns NotWritten for errors which prove that nothing was written, and
// ResponseLost for all others.
func storeEvent(err error) Event {
	kind, ok := fault.KindOf[store.Kind](err)
	if ok && (kind == store.Unavailable || kind == store.Throttled || kind == store.Invalid) {
		return NotWritten
	}
	return ResponseLost
}

// loadClaim decodes the stored claim. A claim that cannot be decoded proves nothing, so
// it counts as one of another invocation that may have been sent.
func (x *execution) loadClaim(item store.Item) (Event, Claim) {
	if !item.Exists() {
		return Absent, Claim{}
	}
	record, err := Decode(item.Value)
	if err != nil {
		x.err = err
		return Found, Claim{State: Claimed}
	}
	x.revision = item.ModRevision
	x.reply = record.Reply
	x.conflict = record.Fingerprint != x.machine.OwnClaim.Fingerprint && record.Fingerprint != 0 && x.machine.OwnClaim.Fingerprint != 0
	return Found, record.Claim
}

func (x *execution) call(ctx context.Context, f CallFunc, c Claim) Event {
	outcome, reply, err := f(ctx, c)
	if err != nil {
		x.err = err
		return RepliedUnknown
	}
	switch outcome {
	case Done:
		x.reply = reply
		return RepliedDone
	case NotRun:
		return RepliedNotRun
	}
	return RepliedUnknown
}

// settle writes the outcome, so that other invocations do not need to reach the target
// process. The outcome is proved without this write.
func (x *execution) settle(ctx context.Context) {
	timeout := x.SettleTimeout
	if timeout == 0 {
		timeout = defaultSettleTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	record := Record{Claim: x.machine.CurrentClaim}
	record.State = StateNotRun
	if x.machine.Outcome == Done {
		record.State, record.Reply = StateDone, x.reply
	}
	key := record.Key()
	_, err := x.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, ModRevision: x.revision}},
		Puts:     []store.Put{{Key: key, Value: record.Encode(), Lease: x.lease()}},
	})
	if err != nil {
		x.err = err
	}
}
