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

// startExchange creates the spreader and the exchanger, which exchange state with
// other processes. The process must listen, because its address is part of that
// state.
func (p *Process) startExchange() {
	cfg := spread.Config{
		Entry: p.settings.Name, Incarnation: p.incarnation, Place: member.Place(p.settings.Place),
		Address: p.PeerAddress(), Seeds: p.deps.Seeds(),
	}
	p.spreader = spread.New(cfg, p.view, p.random, p.deps.Clock.Now())
	p.spreader.ApplySnapshot(p.deps.Current.Snapshot())
	p.exchanger = &peer.Exchanger{
		Spreader: p.spreader, Pool: p.pool, Clock: p.deps.Clock,
		BeforeRound: p.beforeRound, OnUpdate: p.applyConfig,
	}
}

// beforeRound updates the spreader's seeds, this entry's state and the
// quarantines before each round of the exchange.
func (p *Process) beforeRound() {
	p.spreader.SetSeeds(p.seeds())
	p.spreader.SetState(p.state())
	p.publishQuarantines()
}

// joinTimeout is how long a starting entry looks for other entries before it
// assumes that it is the first one.
const joinTimeout = 2 * time.Second

// state returns the state that this entry reports. It is Joining, and so owns no
// requests, until the entry has a configuration and has joined the other members.
// After joinTimeout, or if there are no seeds, the entry assumes that it is alone.
func (p *Process) state() member.State {
	now := p.deps.Clock.Now()
	alone := now.Sub(time.UnixMilli(int64(p.incarnation))) > joinTimeout
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

// seeds returns the addresses of other processes, from the settings and from the
// key-value service.
func (p *Process) seeds() []string {
	var out []string
	for _, address := range append(p.deps.Seeds(), p.storedSeeds()...) {
		if address != p.PeerAddress() {
			out = append(out, address)
		}
	}
	return out
}

// applyConfig puts the spreader's configuration in force if it is newer.
func (p *Process) applyConfig() {
	s := p.spreader.Snapshot()
	if p.deps.Current.Update(s) {
		p.policy.Configure(&s.Deployment)
		p.emit(event.RevisionInForce, "revision", s.Revision)
	}
	p.logConfigError(p.spreader.ConfigError())
}

// logConfigError logs that a revision could not be put in force, once until the
// error is resolved.
func (p *Process) logConfigError(err error) {
	p.mu.Lock()
	first := err != nil && !p.configRejected
	p.configRejected = err != nil
	p.mu.Unlock()
	if first {
		p.emit(event.RevisionRefused, "error", err)
	}
}

// publishQuarantines passes the quarantines that this entry decided on to the
// spreader, which sends them to the other entries.
func (p *Process) publishQuarantines() {
	now := p.deps.Clock.Now()
	for _, r := range p.policy.Quarantines(now) {
		if r.Remaining > 0 {
			p.spreader.Quarantine(spread.Quarantine{
				Fingerprint: r.Fingerprint, Until: now.Add(r.Remaining), Deaths: targetsOf(r.Observations),
			}, now)
		}
	}
}

// checkQuarantine refuses a request that is quarantined because it crashed
// targets, as seen by this entry or reported by others.
func (p *Process) checkQuarantine(spec *generation.Spec) *answer.Refusal {
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

func targetsOf(observations []quarantine.Observation) []id.Target {
	out := make([]id.Target, len(observations))
	for i, o := range observations {
		out[i] = o.Target
	}
	return out
}

// exchangeServer serves the exchange requests of other processes.
type exchangeServer struct {
	peerpb.UnimplementedExchangeServer

	process *Process
}

// Swap applies the sender's update and replies with this process's update.
func (s *exchangeServer) Swap(ctx context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return s.process.exchanger.Serve(ctx, m)
}

// logChange logs a change in the view of members.
func (p *Process) logChange(c *member.Change) {
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
