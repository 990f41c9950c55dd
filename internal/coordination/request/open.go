package request

import (
	"context"
	"errors"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// leavingRetry is the Retry-After of a leaving entry. By then the platform's
// load balancer has chosen another entry.
const leavingRetry = time.Second

// open opens the answer at the request's home entry. It opens the answer here if
// this entry is the home, if the request may not be relayed to the home, or if no
// other entry is reachable.
func (co *Coordinator) open(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, error) {
	if relay.AnnouncesOwnership {
		return co.receiveAnnouncement(ctx, c, relay)
	}
	var unreachable []id.Entry
	for {
		home := id.HomeEntry(relay.Request, exclude(co.peers.Live(), unreachable))
		if home == "" || home == co.cfg.Self || !relay.Via.allows(home) {
			return co.openLocal(ctx, c, relay)
		}
		reader, err := co.relayTo(ctx, c, home, relay)
		if !fault.Is(err, Lost) {
			return reader, err
		}
		co.peers.ReportUnreachable(home)
		unreachable = append(unreachable, home)
	}
}

// relayTo opens the answer at another entry. The returned reader reopens it at
// the next home entry when that one becomes unreachable.
func (co *Coordinator) relayTo(ctx context.Context, c *contract.Contract, home id.Entry, relay RelayRequest) (*answer.Reader, error) {
	next := relay
	next.Via = append(append(Via(nil), relay.Via...), co.cfg.Self)
	reader, err := co.peers.Relay(ctx, home, next)
	if err != nil {
		return nil, err
	}
	co.cfg.Log.Emit(event.RequestForwarded, "request", relay.Request, "contract", c.Name, "home", home)
	r := &relayedReader{coordinator: co, contract: c, relay: relay, home: home, reader: reader}
	r.relay.Lineage = reader.Lineage
	return &answer.Reader{
		Request: reader.Request, Lineage: reader.Lineage, Spec: reader.Spec,
		Next: r.next, Close: r.close,
	}, nil
}

// relayedReader reads an answer owned by another entry.
type relayedReader struct {
	coordinator *Coordinator
	contract    *contract.Contract
	relay       RelayRequest
	home        id.Entry
	reader      *answer.Reader
}

func (r *relayedReader) next(ctx context.Context) (answer.Part, error) {
	for {
		part, err := r.reader.Next(ctx)
		if err == nil {
			r.relay.Lineage = part.Lineage
			r.relay.From = part.First + id.TokenIndex(len(part.Tokens))
			return part, nil
		}
		if !fault.Is(err, Lost) || ctx.Err() != nil {
			return part, err
		}
		if err := r.reopen(ctx); err != nil {
			return answer.Part{}, err
		}
	}
}

// reopen reports the current home entry as unreachable and opens the answer at
// the next one.
func (r *relayedReader) reopen(ctx context.Context) error {
	r.reader.Close()
	r.coordinator.peers.ReportUnreachable(r.home)
	reader, err := r.coordinator.open(ctx, r.contract, r.relay)
	if err != nil {
		return err
	}
	r.reader = reader
	return nil
}

func (r *relayedReader) close() { r.reader.Close() }

// openLocal opens the answer with this entry as its owner.
func (co *Coordinator) openLocal(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, error) {
	if a := co.answers.find(relay.Request); a != nil && (relay.Spec == nil || a.State() != StateFailed) {
		return co.join(a, relay)
	}
	reader, found, err := co.findPrevious(ctx, c, relay)
	if err != nil || reader != nil {
		return reader, err
	}
	if found == nil && relay.Spec == nil {
		return nil, co.missingRefusal(relay.Request)
	}
	if found == nil && relay.From > 0 {
		return nil, lostRefusal(relay.Request)
	}
	return co.startOrAdopt(c, relay, found)
}

// startOrAdopt starts a new answer, or continues an attempt left by another
// owner.
func (co *Coordinator) startOrAdopt(c *contract.Contract, relay RelayRequest, found *FoundAttempt) (*answer.Reader, error) {
	if found == nil && co.leaving.Load() {
		refusal := answer.NewRefusal(answer.CauseLeaving, "this entry is leaving")
		refusal.RetryAfter = leavingRetry
		return nil, refusal
	}
	now := co.cfg.Clock.Now()
	candidate := co.newRecord(relay, found, now)
	a, reserved := co.answers.reserve(relay.Request, candidate)
	if !reserved {
		return co.join(a, relay)
	}
	ticket, refusal := co.admit(c, a, found)
	if refusal != nil {
		a.end(refusal, now)
		co.answers.remove(relay.Request, a)
		return nil, refusal
	}
	mirror := co.announceOwnership(a, relay, found)
	co.start(a, c, ticket, found, mirror)
	return co.join(a, relay)
}

// announceOwnership announces to the next entry in the request's order that
// this one owns a keyed request. Two entries whose membership views differ
// detect each other there. It returns a reader if another entry already owns
// the request.
func (co *Coordinator) announceOwnership(a *Answer, relay RelayRequest, found *FoundAttempt) *answer.Reader {
	next := id.HomeEntry(relay.Request, exclude(co.peers.Live(), []id.Entry{co.cfg.Self}))
	if !relay.Request.Keyed() || found != nil || next == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(co.ctx, announceTimeout)
	defer cancel()
	reader, err := co.peers.Relay(ctx, next, RelayRequest{
		Contract: relay.Contract, Request: relay.Request, AnnouncesOwnership: true, Via: Via{co.cfg.Self},
	})
	if err != nil {
		// No other entry owns it, or the next entry is unreachable.
		return nil
	}
	if !a.restart(reader.Lineage, reader.Spec.Version) {
		reader.Close()
		return nil
	}
	return reader
}

// receiveAnnouncement handles another entry's announcement that it owns the
// request. If this entry or a third one owns it, it returns a reader of the
// existing answer. Otherwise it records the announcement and returns a
// not-found refusal.
func (co *Coordinator) receiveAnnouncement(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, error) {
	if len(relay.Via) == 0 {
		return nil, answer.NewRefusal(answer.CauseInvalid, "a pledge names no entry")
	}
	from := relay.Via[0]
	a, other := co.answers.recordOwner(relay.Request, from, co.cfg.Self, co.cfg.Clock.Now())
	if a != nil {
		return co.join(a, relay)
	}
	if other == "" || !relay.Via.allows(other) {
		return nil, notFoundRefusal(relay.Request)
	}
	reader, err := co.relayTo(ctx, c, other, relay)
	if err != nil {
		co.answers.removeOwner(relay.Request, other)
		co.answers.recordOwner(relay.Request, from, co.cfg.Self, co.cfg.Clock.Now())
		return nil, notFoundRefusal(relay.Request)
	}
	return reader, nil
}

// newRecord returns the record of a new answer, or of one continued from found.
func (co *Coordinator) newRecord(relay RelayRequest, found *FoundAttempt, now time.Time) *Answer {
	epoch := id.Epoch(now.UnixMilli())
	if found == nil {
		return newAnswer(*relay.Spec, relay.Request.Keyed(), epoch, now)
	}
	a := newAnswer(*found.Spec, true, max(epoch, found.Epoch+1), now)
	a.restore(found)
	return a
}

// admit applies quarantine and the contract's limits. An answer taken over from
// a lost owner was admitted there and is not refused.
func (co *Coordinator) admit(c *contract.Contract, a *Answer, found *FoundAttempt) (Ticket, *answer.Refusal) {
	if found != nil {
		return Ticket{Done: func(int) {}}, nil
	}
	if refusal := co.admission.CheckQuarantine(&a.spec); refusal != nil {
		return Ticket{}, refusal
	}
	return co.admission.Admit(c, estimatedTokens(&a.spec))
}

// join returns a reader of an answer that this entry owns.
func (co *Coordinator) join(a *Answer, relay RelayRequest) (*answer.Reader, error) {
	spec := a.Spec()
	switch {
	case spec.Contract != relay.Contract:
		return nil, notFoundRefusal(relay.Request)
	case relay.Spec != nil && !sameRequest(relay.Spec, &spec):
		return nil, conflictRefusal(relay.Request, "the idempotency key belongs to another request")
	case relay.Lineage != "" && relay.From > 0 && relay.Lineage != spec.Lineage:
		return nil, conflictRefusal(relay.Request, "the answer was generated anew; what was read before is void")
	case relay.From > a.tokenCount():
		return nil, answer.NewRefusal(answer.CauseInvalid, "the answer has %d tokens so far, not %d", a.tokenCount(), relay.From)
	}
	if relay.Spec != nil && relay.Spec.Lineage != spec.Lineage {
		co.cfg.Log.Emit(event.RequestJoined, "request", spec.Request, "contract", spec.Contract)
	}
	r := a.newReader(relay.From, relay.Buffered)
	return &answer.Reader{
		Request: spec.Request, Lineage: spec.Lineage, Spec: spec,
		Next:  r.read,
		Close: func() { r.close(co.cfg.Clock.Now()) },
	}, nil
}

// sameRequest reports whether two requests with the same key have the same
// content.
func sameRequest(a, b *generation.Spec) bool {
	return a.RequestFingerprint == b.RequestFingerprint && a.Fingerprint() == b.Fingerprint()
}

func conflictRefusal(r id.Request, detail string) *answer.Refusal {
	return &answer.Refusal{Outcome: answer.Failed, Cause: answer.CauseConflict, Detail: detail, Request: r}
}

func lostRefusal(r id.Request) *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Failed, Cause: answer.CauseLost, Request: r,
		Detail: "the processes that held the answer are gone; ask again under a new key",
	}
}

// isRefusal reports whether err is a refusal with this cause.
func isRefusal(err error, cause answer.Cause) bool {
	var refusal *answer.Refusal
	return errors.As(err, &refusal) && refusal.Cause == cause
}

func exclude(entries, excluded []id.Entry) []id.Entry {
	if len(excluded) == 0 {
		return entries
	}
	var out []id.Entry
	for _, e := range entries {
		if !contains(excluded, e) {
			out = append(out, e)
		}
	}
	return out
}

func contains(entries []id.Entry, e id.Entry) bool {
	for _, v := range entries {
		if v == e {
			return true
		}
	}
	return false
}
