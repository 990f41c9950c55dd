package target

import (
	"math/rand/v2"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// GossipConfig is how a process tells entries of its target and learns the
// configuration from them. It keeps no connection to the key-value service.
type GossipConfig struct {
	// Seeds returns addresses of entries to ask while none is known.
	Seeds func() []string
	// Current is where a newer configuration is put in force.
	Current *conf.Current
	// Random is the source of the process's choices.
	Random *rand.Rand
}

// startNews makes the exchange with entries, once the address is known.
func (p *Process) startNews() *peer.Exchanger {
	news := p.deps.Gossip
	cfg := spread.Config{
		Target: p.settings.Name, Incarnation: p.Incarnation(),
		Place: member.Place(p.settings.Place), Address: p.Address(), Seeds: news.Seeds(),
	}
	// A target process has no view of its own.
	view := member.NewView(member.Config{}, "")
	s := spread.New(cfg, view, news.Random, p.deps.Clock.Now())
	s.ApplySnapshot(news.Current.Snapshot())
	return &peer.Exchanger{
		Spreader: s, Pool: peer.NewPool(p.stamp), Clock: p.deps.Clock,
		BeforeRound: func() {
			s.SetSeeds(news.Seeds())
			s.SetTargetReport(*p.Report())
			if s.HostLeaving() {
				p.leaveAsTold()
			}
		},
		OnUpdate: func() {
			if news.Current.Update(s.Snapshot()) {
				p.emit(event.RevisionInForce, "revision", s.Snapshot().Revision)
			}
		},
	}
}

// leaveAsTold takes no new work because the host list says that the host is
// leaving. The process ends when the platform ends it.
func (p *Process) leaveAsTold() { p.leave() }
