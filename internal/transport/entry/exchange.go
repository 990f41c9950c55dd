package entry

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// startExchange makes the exchange with other processes, once the process's
// address is known.
func (p *Process) startExchange() {
	cfg := spread.Config{
		Entry: p.settings.Name, Incarnation: p.incarnation, Place: member.Place(p.settings.Place),
		Address: p.PeerAddress(), Seeds: p.deps.Seeds(),
	}
	p.spreader = spread.New(cfg, p.view, p.random, p.deps.Clock.Now())
	p.spreader.ApplySnapshot(p.deps.Current.Snapshot())
	p.exchanger = &peer.Exchanger{
		Spreader: p.spreader, Pool: p.pool, Clock: p.deps.Clock,
		BeforeRound: p.beforeRound, OnUpdate: p.afterNews,
	}
}

// beforeRound tells the spreader what this process is and knows.
func (p *Process) beforeRound() {
	p.spreader.SetSeeds(p.seeds())
	p.spreader.SetState(p.state())
	p.spreadKills()
}

// joinPatience is how long a starting entry looks for others before it takes
// itself for the first.
const joinPatience = 2 * time.Second

// state returns what this entry says of itself: it owns nothing before it has
// a configuration and has heard of the others.
func (p *Process) state() member.State {
	now := p.deps.Clock.Now()
	alone := now.Sub(time.UnixMilli(int64(p.incarnation))) > joinPatience
	switch {
	case p.leaving.Load():
		return member.Leaving
	case p.deps.Current.Revision() == 0:
		return member.Joining
	case p.spreader.Joined() || alone || len(p.seeds()) == 0:
		return member.Ready
	}
	return member.Joining
}

// seeds returns the addresses of other processes that are known without them.
func (p *Process) seeds() []string {
	var out []string
	for _, address := range append(p.deps.Seeds(), p.storedSeeds()...) {
		if address != p.PeerAddress() {
			out = append(out, address)
		}
	}
	return out
}

// afterNews puts a newer configuration in force.
func (p *Process) afterNews() {
	s := p.spreader.Snapshot()
	if p.deps.Current.Update(s) {
		p.policy.Configure(&s.Deployment)
		p.emit(event.RevisionInForce, "revision", s.Revision)
	}
	p.tellRefused(p.spreader.ConfigError())
}

// tellRefused logs once that a revision could not be put in force.
func (p *Process) tellRefused(err error) {
	p.mu.Lock()
	news := err != nil && !p.confRefused
	p.confRefused = err != nil
	p.mu.Unlock()
	if news {
		p.emit(event.RevisionRefused, "error", err)
	}
}

// spreadKills passes quarantines on in both directions.
func (p *Process) spreadKills() {
	now := p.deps.Clock.Now()
	for _, r := range p.policy.Quarantines(now) {
		if r.Remaining > 0 {
			p.spreader.Quarantine(spread.Quarantine{
				Fingerprint: r.Fingerprint, Until: now.Add(r.Remaining), Deaths: targetsOf(r.Observations),
			}, now)
		}
	}
}

// screen refuses a request that kills targets, by what this entry saw and by
// what others have told it.
func (p *Process) screen(spec *generation.Spec) *answer.Refusal {
	if refusal := p.policy.CheckQuarantine(spec); refusal != nil {
		return refusal
	}
	now := p.deps.Clock.Now()
	q, refused := p.spreader.Quarantined(spec.Fingerprint(), now)
	if !refused {
		return nil
	}
	refusal := answer.NewRefusal(answer.CauseQuarantined, "this request ended %d targets and is refused for a time", len(q.Deaths))
	refusal.RetryAfter = q.Until.Sub(now)
	return refusal
}

func targetsOf(marks []quarantine.Observation) []id.Target {
	out := make([]id.Target, len(marks))
	for i, m := range marks {
		out[i] = m.Target
	}
	return out
}

// swapServer answers other processes' rounds.
type swapServer struct {
	peerpb.UnimplementedExchangeServer

	process *Process
}

// Swap takes the sender's news and answers with this process's.
func (s *swapServer) Swap(ctx context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.process.exchanger.Serve(ctx, m)
}

// tell logs a change of the view.
func (p *Process) tell(c *member.Change) {
	switch c.Kind {
	case member.ZoneLost:
		p.emit(event.ZoneLost, "zone", c.Zone, "members", c.Members)
	case member.ZoneRecovered:
		p.emit(event.ZoneRecovered, "zone", c.Zone)
	default:
		p.emit(event.MemberChanged, "target", c.Target, "peer", c.Entry, "zone", c.Zone,
			"from", c.From, "to", c.To, "suspicion", c.Suspicion)
	}
}
