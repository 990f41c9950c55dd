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

// leavingRetry is when a caller that met a leaving entry may come back; the
// platform's balancer has another one by then.
const leavingRetry = time.Second

// open finds the request's home and opens the answer there.
func (d *Coordinator) open(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, error) {
	if relay.AnnouncesOwnership {
		return d.witness(ctx, c, relay)
	}
	var silent []id.Entry
	for {
		home := id.HomeEntry(relay.Request, without(d.peers.Live(), silent))
		if home == "" || home == d.cfg.Self || !relay.Via.open(home) {
			return d.openHere(ctx, c, relay)
		}
		reader, err := d.pass(ctx, c, home, relay)
		if !fault.Is(err, Lost) {
			return reader, err
		}
		d.peers.ReportUnreachable(home)
		silent = append(silent, home)
	}
}

// pass opens the answer at its home and goes on elsewhere when that is lost.
func (d *Coordinator) pass(ctx context.Context, c *contract.Contract, home id.Entry, relay RelayRequest) (*answer.Reader, error) {
	next := relay
	next.Via = append(append(Via(nil), relay.Via...), d.cfg.Self)
	reader, err := d.peers.Relay(ctx, home, next)
	if err != nil {
		return nil, err
	}
	d.cfg.Log.Emit(event.RequestForwarded, "request", relay.Request, "contract", c.Name, "home", home)
	p := &passed{desk: d, contract: c, relay: relay, home: home, reader: reader}
	p.relay.Lineage = reader.Lineage
	return &answer.Reader{
		Request: reader.Request, Lineage: reader.Lineage, Spec: reader.Spec,
		Next: p.next, Close: p.close,
	}, nil
}

// passed reads an answer that another entry owns.
type passed struct {
	desk     *Coordinator
	contract *contract.Contract
	relay    RelayRequest
	home     id.Entry
	reader   *answer.Reader
}

func (p *passed) next(ctx context.Context) (answer.Part, error) {
	for {
		part, err := p.reader.Next(ctx)
		if err == nil {
			p.relay.Lineage = part.Lineage
			p.relay.From = part.First + id.TokenIndex(len(part.Tokens))
			return part, nil
		}
		if !fault.Is(err, Lost) || ctx.Err() != nil {
			return part, err
		}
		if err := p.reopen(ctx); err != nil {
			return answer.Part{}, err
		}
	}
}

// reopen goes on at the next home after the present one was lost.
func (p *passed) reopen(ctx context.Context) error {
	p.reader.Close()
	p.desk.peers.ReportUnreachable(p.home)
	reader, err := p.desk.open(ctx, p.contract, p.relay)
	if err != nil {
		return err
	}
	p.reader = reader
	return nil
}

func (p *passed) close() { p.reader.Close() }

// openHere opens the answer as its home.
func (d *Coordinator) openHere(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, error) {
	if a := d.answers.find(relay.Request); a != nil && (relay.Spec == nil || a.State() != StateFailed) {
		return d.join(a, relay)
	}
	reader, found, err := d.inherit(ctx, c, relay)
	if err != nil || reader != nil {
		return reader, err
	}
	if found == nil && relay.Spec == nil {
		return nil, notFound(relay.Request)
	}
	if found == nil && relay.From > 0 {
		return nil, lost(relay.Request)
	}
	return d.begin(c, relay, found)
}

// begin starts a new answer, or goes on with what another owner left.
func (d *Coordinator) begin(c *contract.Contract, relay RelayRequest, found *FoundAttempt) (*answer.Reader, error) {
	if found == nil && d.leaving.Load() {
		refusal := answer.NewRefusal(answer.CauseLeaving, "this entry is leaving")
		refusal.RetryAfter = leavingRetry
		return nil, refusal
	}
	now := d.cfg.Clock.Now()
	fresh := d.fresh(relay, found, now)
	a, taken := d.answers.reserve(relay.Request, fresh)
	if !taken {
		return d.join(a, relay)
	}
	ticket, refusal := d.admit(c, a, found)
	if refusal != nil {
		a.end(refusal, now)
		d.answers.remove(relay.Request, a)
		return nil, refusal
	}
	mirror := d.pledge(a, relay, found)
	d.start(a, c, ticket, found, mirror)
	return d.join(a, relay)
}

// pledge tells the next entry in order that this one owns a keyed request, so
// that two entries whose views differ meet there. It returns a reader when
// another entry owns the request already.
func (d *Coordinator) pledge(a *Answer, relay RelayRequest, found *FoundAttempt) *answer.Reader {
	next := id.HomeEntry(relay.Request, without(d.peers.Live(), []id.Entry{d.cfg.Self}))
	if !relay.Request.Keyed() || found != nil || next == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(d.ctx, pledgeTimeout)
	defer cancel()
	reader, err := d.peers.Relay(ctx, next, RelayRequest{
		Contract: relay.Contract, Request: relay.Request, AnnouncesOwnership: true, Via: Via{d.cfg.Self},
	})
	if err != nil {
		// Nobody else owns it, or the next entry is silent too.
		return nil
	}
	if !a.restart(reader.Lineage, reader.Spec.Version) {
		reader.Close()
		return nil
	}
	return reader
}

// witness takes another entry's pledge. It reads the answer where it is when
// another entry, or this one, owns the request.
func (d *Coordinator) witness(ctx context.Context, c *contract.Contract, relay RelayRequest) (*answer.Reader, error) {
	if len(relay.Via) == 0 {
		return nil, answer.NewRefusal(answer.CauseInvalid, "a pledge names no entry")
	}
	from := relay.Via[0]
	a, other := d.answers.pledge(relay.Request, from, d.cfg.Self, d.cfg.Clock.Now())
	if a != nil {
		return d.join(a, relay)
	}
	if other == "" || !relay.Via.open(other) {
		return nil, notFound(relay.Request)
	}
	reader, err := d.pass(ctx, c, other, relay)
	if err != nil {
		d.answers.unpledge(relay.Request, other)
		d.answers.pledge(relay.Request, from, d.cfg.Self, d.cfg.Clock.Now())
		return nil, notFound(relay.Request)
	}
	return reader, nil
}

// fresh returns the record of a new answer or of one that was found.
func (d *Coordinator) fresh(relay RelayRequest, found *FoundAttempt, now time.Time) *Answer {
	epoch := id.Epoch(now.UnixMilli())
	if found == nil {
		return newAnswer(*relay.Spec, relay.Request.Keyed(), epoch, now)
	}
	a := newAnswer(*found.Spec, true, max(epoch, found.Epoch+1), now)
	a.seed(found)
	return a
}

// admit takes a place within the contract's limits. An answer that was under
// way when its owner died was admitted there and is not refused.
func (d *Coordinator) admit(c *contract.Contract, a *Answer, found *FoundAttempt) (Ticket, *answer.Refusal) {
	if found != nil {
		return Ticket{Done: func(int) {}}, nil
	}
	if refusal := d.gate.CheckQuarantine(&a.spec); refusal != nil {
		return Ticket{}, refusal
	}
	return d.gate.Admit(c, cost(&a.spec))
}

// join returns a reader of an answer that this entry owns.
func (d *Coordinator) join(a *Answer, relay RelayRequest) (*answer.Reader, error) {
	spec := a.Spec()
	switch {
	case spec.Contract != relay.Contract:
		return nil, notFound(relay.Request)
	case relay.Spec != nil && !sameAsk(relay.Spec, &spec):
		return nil, conflict(relay.Request, "the idempotency key belongs to another request")
	case relay.Lineage != "" && relay.From > 0 && relay.Lineage != spec.Lineage:
		return nil, conflict(relay.Request, "the answer was generated anew; what was read before is void")
	case relay.From > a.next():
		return nil, answer.NewRefusal(answer.CauseInvalid, "the answer has %d tokens so far, not %d", a.next(), relay.From)
	}
	if relay.Spec != nil && relay.Spec.Lineage != spec.Lineage {
		d.cfg.Log.Emit(event.RequestJoined, "request", spec.Request, "contract", spec.Contract)
	}
	r := a.open(relay.From, relay.Buffered)
	return &answer.Reader{
		Request: spec.Request, Lineage: spec.Lineage, Spec: spec,
		Next:  r.read,
		Close: func() { r.close(d.cfg.Clock.Now()) },
	}, nil
}

// sameAsk reports whether two requests of one key ask for the same.
func sameAsk(a, b *generation.Spec) bool {
	return a.RequestFingerprint == b.RequestFingerprint && a.Fingerprint() == b.Fingerprint()
}

func conflict(r id.Request, detail string) *answer.Refusal {
	return &answer.Refusal{Outcome: answer.Failed, Cause: answer.CauseConflict, Detail: detail, Request: r}
}

func lost(r id.Request) *answer.Refusal {
	return &answer.Refusal{
		Outcome: answer.Failed, Cause: answer.CauseLost, Request: r,
		Detail: "the processes that held the answer are gone; ask again under a new key",
	}
}

// isRefusal reports whether err is a refusal with the cause.
func isRefusal(err error, cause answer.Cause) bool {
	var refusal *answer.Refusal
	return errors.As(err, &refusal) && refusal.Cause == cause
}

func without(entries, silent []id.Entry) []id.Entry {
	if len(silent) == 0 {
		return entries
	}
	var out []id.Entry
	for _, e := range entries {
		if !contains(silent, e) {
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
