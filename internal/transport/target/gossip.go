package target

import (
	"math/rand/v2"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// GossipConfig configures how a process reports its target to entries and
// receives the configuration from them. The process has no connection to the
// key-value service.
type GossipConfig struct {
	// Seeds returns the addresses of entries to contact while no entry is known.
	Seeds func() []string
	// Current receives each newer configuration.
	Current *conf.Current
	// Random is the random source for the choice of entries.
	Random *rand.Rand
}

// newExchanger returns the exchanger of state with entries. The process must
// be listening, because its address is part of the reports.
func (p *Process) newExchanger() *peer.Exchanger {
	gossip := p.deps.Gossip
	cfg := spread.Config{
		Target: p.settings.Name, Incarnation: p.Incarnation(),
		Place: member.Place(p.settings.Place), Address: p.Address(), Seeds: gossip.Seeds(),
	}
	// A target process keeps no view of the cluster.
	view := member.NewView(member.Config{}, "")
	s := spread.New(cfg, view, gossip.Random, p.deps.Clock.Now())
	s.ApplySnapshot(gossip.Current.Snapshot())
	return &peer.Exchanger{
		Spreader: s, Pool: peer.NewPool(p.stamp), Clock: p.deps.Clock,
		BeforeRound: func() {
			s.SetSeeds(gossip.Seeds())
			s.SetTargetReport(*p.Report())
			if s.HostLeaving() {
				p.drainForHost()
			}
		},
		OnUpdate: func() {
			if gossip.Current.Update(s.Snapshot()) {
				p.emit(event.RevisionInForce, "revision", s.Snapshot().Revision)
			}
		},
	}
}

// drainForHost stops taking new work because the host list says that the host
// is leaving. The process runs until the platform ends it.
func (p *Process) drainForHost() { p.beginDrain() }
