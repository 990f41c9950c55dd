package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Times of the exchange between entries.
const (
	// tellEvery is the time between two messages to each of a few entries; with
	// more of them it grows by tellEach for each, so that the traffic of one
	// entry stays the same.
	tellEvery = 150 * time.Millisecond
	tellEach  = 15 * time.Millisecond
	// beliefTimeout bounds the time to read another entry's belief.
	beliefTimeout = time.Second
	// beliefPause is the time between two such reads.
	beliefPause = 300 * time.Millisecond
	// maxBeliefBytes bounds another entry's belief.
	maxBeliefBytes = 16 << 20
	// beliefPath is where an entry tells its belief.
	beliefPath = "/belief"
)

// exchange tells the other entries what this one has in flight and lost, and
// takes what they tell. It lets an entry that can't reach the key-value service
// read the configuration and the targets from one that can.
type exchange struct {
	e        *Entry
	roster   *roster.Roster
	follower *follower
	conn     net.PacketConn
	listener net.Listener
	started  id.Incarnation
	client   *http.Client
	// urgent asks for a message before the next one is due.
	urgent chan struct{}

	// telling makes one message at a time.
	telling  sync.Mutex
	sequence id.Sequence

	mu sync.Mutex
	// askedAt is when a belief was last read from another entry.
	askedAt time.Time
}

// openExchange opens the entry's addresses for other entries.
func openExchange(e *Entry, f *follower) (*exchange, error) {
	const op = "direct.openExchange"
	conn, err := net.ListenPacket("udp", e.cfg.PeerAddress)
	if err != nil {
		return nil, fault.Wrap(op, ListenFailed, err)
	}
	listener, err := net.Listen("tcp", e.cfg.PeerAddress)
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(op, ListenFailed, err)
	}
	return &exchange{
		e: e, roster: e.roster, follower: f, conn: conn, listener: listener,
		started: id.Incarnation(e.deps.Clock.Now().UnixMilli()),
		client:  &http.Client{Timeout: beliefTimeout},
		urgent:  make(chan struct{}, 1),
	}, nil
}

// seedPeers returns where the seeds take news: at the port that all entries use.
func seedPeers(self string, seeds []string) []string {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return nil
	}
	var peers []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, net.JoinHostPort(host, port))
		}
	}
	return peers
}

// run exchanges news until ctx ends.
func (x *exchange) run(ctx context.Context) {
	server := &http.Server{Handler: http.HandlerFunc(x.serveBelief), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout}
	var duties sync.WaitGroup
	duties.Go(func() { x.e.serveOn(server, x.listener) })
	duties.Go(func() { x.listen(ctx) })
	duties.Go(func() { x.tellAll(ctx) })
	<-ctx.Done()
	// Nothing is left to be done about errors of closing.
	_ = x.conn.Close()
	_ = server.Close()
	duties.Wait()
}

// tellAll sends this entry's news to the others, again and again.
func (x *exchange) tellAll(ctx context.Context) {
	for {
		now := x.e.deps.Clock.Now()
		addresses := x.roster.Addresses(now)
		x.tell(addresses, x.e.killers.news(now))
		pause := max(tellEvery, time.Duration(len(addresses))*tellEach)
		select {
		case <-ctx.Done():
			return
		case <-x.urgent:
		case <-x.e.deps.Clock.After(pause):
		}
	}
}

// hurry has the next message sent at once, since what it tells can't wait. It
// never blocks.
func (x *exchange) hurry() {
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// tell sends this entry's news and what is known of targets' deaths.
func (x *exchange) tell(addresses []string, deaths []quarantine.Record) {
	x.telling.Lock()
	defer x.telling.Unlock()
	n := x.news(x.e.deps.Clock.Now())
	n.Deaths = deaths
	data, err := n.Encode()
	if err != nil {
		x.e.deps.Log.Emit(event.TaskFailed, "duty", "news", "error", err)
		return
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue
		}
		// A datagram that can't be sent is one that is lost; the next one holds
		// all of it.
		_, _ = x.conn.WriteTo(data, to)
	}
}

func (x *exchange) news(now time.Time) *direct.PeerUpdate {
	x.sequence++
	n := &direct.PeerUpdate{
		From: x.e.cfg.Name, Incarnation: x.started, Sequence: x.sequence, Address: x.e.cfg.PeerAddress,
		KnownPeers: x.roster.Alive(now), Loads: x.e.balancer.Loads(), Runs: x.e.handover.RunsToShare(now),
		Retries: x.e.retries.counts(now),
	}
	if cfg := x.e.directory.View().Config; cfg != nil {
		n.Version = cfg.Version
	}
	n.StoreReachable = x.e.listed.Load() && !x.follower.away()
	if start := x.e.drainStart.Load(); start != nil {
		n.StopsInMS = max(1, x.e.drainEnd(*start).Sub(now).Milliseconds())
	}
	for target, ago := range x.e.balancer.RecentLosses(now) {
		n.Losses = append(n.Losses, direct.Loss{Target: target, AgoMS: ago.Milliseconds()})
	}
	n.Successors = x.e.searches.found(now)
	for target, ago := range x.e.balancer.RecentlyReplaced(now) {
		n.Losses = append(n.Losses, direct.Loss{Target: target, Replaced: true, AgoMS: ago.Milliseconds()})
	}
	return n
}

// listen takes the others' news until ctx ends.
func (x *exchange) listen(ctx context.Context) {
	buffer := make([]byte, direct.MaxPeerUpdateBytes)
	for ctx.Err() == nil {
		n, _, err := x.conn.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// An earlier datagram was refused by its host, which tells nothing.
			continue
		}
		news, err := direct.DecodePeerUpdate(buffer[:n])
		if err != nil {
			x.e.deps.Log.Emit(event.PeerUpdateRejected, "error", err)
			continue
		}
		x.take(ctx, news)
	}
}

func (x *exchange) take(ctx context.Context, n *direct.PeerUpdate) {
	now := x.e.deps.Clock.Now()
	peer := roster.Peer{Name: n.From, Address: n.Address, Incarnation: n.Incarnation, Sequence: n.Sequence, StopsIn: n.StopsIn()}
	verdict := x.roster.Observe(now, peer, n.KnownPeers)
	if verdict == roster.Stale {
		return
	}
	x.e.balancer.ApplyPeerLoads(now, n.From, n.Loads)
	x.e.retries.heard(now, n.From, n.Retries)
	x.e.killers.heard(now, n.Deaths)
	x.e.handover.UpdateFromPeer(now, handover.Owner{Name: n.From, Incarnation: n.Incarnation}, n.Runs)
	if verdict == roster.First {
		// An entry that has just started learns at once what goes on.
		x.tell([]string{n.Address}, x.e.killers.suspects(now))
	}
	for _, s := range n.Successors {
		x.follower.found(s)
	}
	for i := range n.Losses {
		x.takeLoss(now, n.From, &n.Losses[i])
	}
	outdated := n.StoreReachable && x.follower.away()
	if (outdated || x.lacks(n.Version)) && x.mayAsk(now) {
		go x.readBelief(ctx, n.Address)
	}
}

func (x *exchange) takeLoss(now time.Time, from id.Entry, l *direct.Loss) {
	for _, targets := range x.e.directory.View().Targets {
		t := targets.Find(l.Target)
		if t == nil {
			continue
		}
		if l.Replaced {
			x.e.balancer.ApplyPeerReplaced(now, t, l.Age())
			continue
		}
		x.e.killers.lost(now.Add(-l.Age()), t)
		if x.e.balancer.ApplyPeerLoss(now, t, l.Age()) {
			x.e.deps.Log.Emit(event.ZoneLost, "zone", t.Zone, "service", t.Service, "from", from, "ago", l.Age())
		}
	}
}
