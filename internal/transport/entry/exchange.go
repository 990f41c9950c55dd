package entry

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	peermsg "foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/event"
)

// Timing of the exchange.
const (
	// exchangeEvery is the time between two rounds.
	exchangeEvery = 500 * time.Millisecond
	// exchangeTimeout bounds one swap.
	exchangeTimeout = time.Second
)

// exchange swaps news with other processes until the process ends.
func (p *Process) exchange() {
	ticker := p.deps.Clock.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for {
		p.round()
		select {
		case <-p.life.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// round swaps news with every seed.
func (p *Process) round() {
	var swaps sync.WaitGroup
	for _, address := range p.deps.Seeds() {
		if address != p.Address() {
			swaps.Go(func() { p.swap(address) })
		}
	}
	swaps.Wait()
}

func (p *Process) swap(address string) {
	ctx, cancel := context.WithTimeout(p.life, exchangeTimeout)
	defer cancel()
	conn, err := p.pool.Conn(address)
	if err != nil {
		return
	}
	now := p.deps.Clock.Now()
	reply, err := peerpb.NewExchangeClient(conn).Swap(ctx, &peerpb.ExchangeRequest{
		Stamp: p.stamp(), Self: peermsg.FromEntry(p.self(), now),
	})
	if err != nil {
		// Silence shows in the view, by the age of the last report.
		return
	}
	p.takeNews(reply.GetSelf(), reply.GetLoads(), reply.GetEntries())
}

// takeNews takes over what another process told.
func (p *Process) takeNews(self *peerpb.EntryReport, loads []*peerpb.Load, entries []*peerpb.EntryReport) {
	now := p.deps.Clock.Now()
	for _, m := range loads {
		if r, err := peermsg.ToLoad(m, now); err == nil {
			p.view.Target(*r, now)
		}
	}
	if self != nil {
		entries = append(entries, self)
	}
	for _, m := range entries {
		if r, err := peermsg.ToEntry(m, now); err == nil && r.Entry != p.settings.Name {
			p.view.Entry(*r, now)
		}
	}
}

// swapServer answers other processes' rounds.
type swapServer struct {
	peerpb.UnimplementedExchangeServer

	process *Process
}

// Swap takes the sender's news and answers with this process's.
func (s *swapServer) Swap(_ context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	p := s.process
	p.takeStamp(m.GetStamp())
	p.takeNews(m.GetSelf(), m.GetLoads(), m.GetEntries())
	return &peerpb.ExchangeReply{Stamp: p.stamp(), Self: peermsg.FromEntry(p.self(), p.deps.Clock.Now())}, nil
}

// tell logs a change of the view.
func (p *Process) tell(c *member.Change) {
	switch c.Kind {
	case member.ZoneLost:
		p.emit(event.ZoneLost, "zone", c.Zone, "members", c.Members)
	case member.ZoneBack:
		p.emit(event.ZoneBack, "zone", c.Zone)
	default:
		p.emit(event.MemberChanged, "target", c.Target, "peer", c.Entry, "zone", c.Zone,
			"from", c.From, "to", c.To, "suspicion", c.Suspicion)
	}
}
