package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/roster"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/timing"
)

// Times and limits of the exchange between entries.
const (
	// The interval between updates is updateIntervalPerPeer times the number of
	// other entries, so that the traffic of an entry does not grow with their
	// number. It is at least minUpdateInterval.
	minUpdateInterval     = 150 * time.Millisecond
	updateIntervalPerPeer = 15 * time.Millisecond
	// The interval between notices is at least noticeIntervalPerPeer times the number of
	// other entries, so that the notices that an entry receives do not grow with their
	// number either.
	minNoticeInterval     = 20 * time.Millisecond
	noticeIntervalPerPeer = time.Millisecond
	// loadIntervals is the number of update intervals for which the loads that another
	// entry has reported count, at least minLoadTime.
	loadIntervals = 3
	minLoadTime   = 2 * time.Second
	// silentIntervals is the number of update intervals after which an entry that has sent
	// no update counts as ended, so that its runs are reported to one that starts.
	silentIntervals = 2
	// orphanReporters is the number of entries that report them.
	orphanReporters = 6
	// maxMentioned limits the addresses of other entries in an update.
	maxMentioned = 16
	// versionReportInterval is the least time between two reports of the versions that have
	// served, unless a service has just become mixed.
	versionReportInterval = time.Second
	// peerIdleTimeout is how long connections to other entries stay open unused.
	peerIdleTimeout = 20 * time.Second
)

// peerExchange sends this entry's state, such as the load and losses of targets,
// to the other entries and applies the updates that they send. An entry that
// can't reach the key-value service reads the configuration and the targets from
// another entry.
type peerExchange struct {
	e            *Entry
	roster       *roster.Roster
	storeWatcher *storeWatcher
	configs      *configReader
	conn         net.PacketConn
	listener     net.Listener
	incarnation  id.Incarnation
	client       *http.Client
	// urgent triggers a notice.
	urgent chan struct{}

	// sendMu guards sequence and versionsSentAt, which is when the versions that have
	// served were last told, and serializes the sending of updates.
	sendMu         sync.Mutex
	sequence       id.Sequence
	versionsSentAt time.Time
	// versionsDue is set if a service has become mixed since, and versionsAsked if an entry
	// has reported that it does not know all versions.
	versionsDue, versionsAsked atomic.Bool
	// questions are those of where streams began.
	questions *originQuestions

	mu sync.Mutex
	// snapshotReading is set while another entry's list of targets is read.
	// nextSnapshotAt is when the next one may be read.
	snapshotReading bool
	nextSnapshotAt  time.Time
	// changedLoads holds the targets at which this entry's load has changed since the last
	// message.
	changedLoads map[id.Target]struct{}
	// targetChanges are changes of targets that have not been reported yet.
	targetChanges []direct.TargetChange
}

// openPeerExchange opens the UDP and TCP sockets for other entries.
func openPeerExchange(e *Entry, w *storeWatcher) (*peerExchange, error) {
	const op = "direct.openPeerExchange"
	conn, err := e.deps.ListenPacket(e.cfg.PeerAddress)
	if err != nil {
		return nil, fault.Wrap(op, ListenFailed, err)
	}
	listener, err := e.deps.Listen(e.cfg.PeerAddress)
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(op, ListenFailed, err)
	}
	x := &peerExchange{
		e: e, roster: e.roster, storeWatcher: w, conn: conn, listener: listener,
		incarnation: id.Incarnation(e.deps.Clock.Now().UnixMilli()),
		client:      &http.Client{Transport: peerTransport(e.deps.Dial)},
		urgent:      make(chan struct{}, 1), changedLoads: map[id.Target]struct{}{}, questions: newOriginQuestions(),
	}
	x.configs = newConfigReader(e, x)
	return x, nil
}

// peerTransport returns the connections to other entries. dial is nil for TCP.
func peerTransport(dial func(ctx context.Context, address string) (net.Conn, error)) *http.Transport {
	t := &http.Transport{IdleConnTimeout: peerIdleTimeout}
	if dial != nil {
		t.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
	}
	return t
}

// seedPeers returns the seeds' addresses for updates. All entries use the same
// port for them.
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

// run exchanges updates until ctx ends.
func (x *peerExchange) run(ctx context.Context) {
	server := &http.Server{Handler: http.HandlerFunc(x.serve), ReadTimeout: readinessTimeout, WriteTimeout: readinessTimeout, IdleTimeout: 2 * peerIdleTimeout}
	var wg sync.WaitGroup
	wg.Go(func() { x.e.serveOn(peersName, server, x.listener) })
	wg.Go(func() { x.receiveLoop(ctx) })
	wg.Go(func() { x.sendLoop(ctx) })
	<-ctx.Done()
	// The process is ending, so errors of closing don't matter.
	_ = x.conn.Close()
	_ = server.Close()
	wg.Wait()
}

// sendLoop periodically sends updates to the other entries, and notices in between.
func (x *peerExchange) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := x.e.deps.Clock.Now()
		addresses := x.roster.Addresses(now)
		x.e.observeVersions()
		// An update reports all loads.
		x.takeLoadChanges()
		x.sendUpdate(addresses, x.e.quarantine.Changes(now), x.mentioned(now), nil)
		x.tellStreams(now)
		x.sendNotices(ctx, updateInterval(len(addresses)))
	}
}

func updateInterval(peers int) time.Duration {
	return max(minUpdateInterval, time.Duration(peers)*updateIntervalPerPeer)
}

// sendNotices sends notices as they are triggered, for the time until the next update.
func (x *peerExchange) sendNotices(ctx context.Context, until time.Duration) {
	due := x.e.deps.Clock.After(until)
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-x.urgent:
		}
		addresses := x.roster.Addresses(x.e.deps.Clock.Now())
		x.sendNotice(addresses)
		x.sendTargetChanges()
		pause := max(minNoticeInterval, time.Duration(len(addresses))*noticeIntervalPerPeer)
		if !timing.Sleep(ctx, x.e.deps.Clock, pause) {
			return
		}
	}
}

// mentioned returns some of the other entries that an update names. Those that it leaves
// out are named by others, and by later updates.
func (x *peerExchange) mentioned(now time.Time) []string {
	alive := x.roster.Alive(now)
	if len(alive) <= maxMentioned {
		return alive
	}
	first := int(x.e.deps.Random() * float64(len(alive)))
	return append(alive[first:], alive[:first]...)[:maxMentioned]
}

// updatePeers triggers a notice to the other entries, if there can be any.
func (e *Entry) updatePeers() {
	if e.peerExchange != nil {
		e.peerExchange.sendNow()
	}
}

// loadChanged has the next message report the load at a target. A prompt is reported at
// once, so that other entries send theirs elsewhere.
func (e *Entry) loadChanged(t *catalog.Target, atOnce bool) {
	x := e.peerExchange
	if x == nil {
		return
	}
	x.mu.Lock()
	x.changedLoads[t.ID] = struct{}{}
	x.mu.Unlock()
	if atOnce {
		x.sendNow()
	}
}

// takeLoadChanges returns the loads that have changed since the last call.
func (x *peerExchange) takeLoadChanges() map[id.Target]balance.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	changes := make(map[id.Target]balance.Load, len(x.changedLoads))
	for name := range x.changedLoads {
		changes[name] = x.e.balancer.LoadAt(name)
	}
	clear(x.changedLoads)
	return changes
}

// sendNow triggers a notice. It never blocks.
func (x *peerExchange) sendNow() {
	select {
	case x.urgent <- struct{}{}:
	default:
	}
}

// sendUpdate sends the complete state with the given target failures, other entries, and
// runs of other entries.
func (x *peerExchange) sendUpdate(addresses []string, failures []quarantine.Record, mentioned []string, orphaned []handover.Run) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	now := x.e.deps.Clock.Now()
	update := x.changes(now)
	update.Failures, update.KnownPeers = failures, mentioned
	update.Loads, update.Runs = x.e.balancer.Loads(), append(x.e.handover.RunsToShare(now), orphaned...)
	x.encodeAndSend(addresses, update)
}

// orphanedRuns returns the runs of entries that have ended, for one that has just started.
// Of many entries, a few tell it.
func (x *peerExchange) orphanedRuns(now time.Time) []handover.Run {
	peers := x.roster.CountAlive(now)
	if x.e.deps.Random()*float64(peers) >= orphanReporters {
		return nil
	}
	return x.e.handover.OrphanedRuns(now, silentIntervals*updateInterval(peers))
}

// sendNotice sends what has changed.
func (x *peerExchange) sendNotice(addresses []string) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	now := x.e.deps.Clock.Now()
	update := x.changes(now)
	// For entries of an earlier build it is an announcement.
	update.Notice, update.Announcement, update.LoadChanges = true, true, x.takeLoadChanges()
	update.Failures = x.e.quarantine.Unreported(now)
	x.encodeAndSend(addresses, update)
}

// announce reports to other entries which version of the configuration is in force.
func (x *peerExchange) announce(addresses []string) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	update := x.header(x.e.deps.Clock.Now())
	update.Announcement = true
	x.encodeAndSend(addresses, update)
}

// encodeAndSend sends a message. The caller holds sendMu.
func (x *peerExchange) encodeAndSend(addresses []string, update *direct.PeerUpdate) {
	data, omitted, err := update.Encode()
	if err != nil {
		x.e.deps.Log.Emit(event.TaskFailed, "duty", "news", "error", err)
		return
	}
	if omitted != (direct.Omitted{}) {
		x.e.deps.Log.Emit(event.PeerUpdateShortened, "runs", omitted.Runs, "failures", omitted.Failures)
	}
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue
		}
		// A datagram that can't be sent counts as lost. The next update contains the
		// complete state again.
		_, _ = x.conn.WriteTo(data, to)
	}
}

// header returns the next message without its content.
func (x *peerExchange) header(now time.Time) *direct.PeerUpdate {
	x.sequence++
	u := &direct.PeerUpdate{
		From: x.e.cfg.Name, Incarnation: x.incarnation, Sequence: x.sequence, Address: x.e.cfg.PeerAddress,
		Version: x.e.configVersion(), Zone: x.e.cfg.Place.Zone,
	}
	u.Away = x.e.ownLoad.away.Load()
	u.StoreReachable = x.e.targetsListed.Load() && !x.storeWatcher.storeUnavailable()
	if start := x.e.drainStart.Load(); start != nil {
		u.StopsInMS = max(1, x.e.drainEnd(*start).Sub(now).Milliseconds())
	}
	return u
}

// changes returns the next message with all that must reach the other entries soon. The
// caller holds sendMu.
func (x *peerExchange) changes(now time.Time) *direct.PeerUpdate {
	u := x.header(now)
	u.Leaving = x.e.withdrawn.Reports(now)
	u.Versions = x.takeVersionReport(now)
	u.Waiting = x.e.lines.counts(now)
	u.Retries, u.Turns, u.Limits = x.e.retryBudgets.counts(now), x.e.quarantine.Turns(), x.e.limits.reports(now)
	for lost, age := range x.e.balancer.RecentLosses(now) {
		u.Losses = append(u.Losses, direct.Loss{Target: lost.Target, Incarnation: lost.Incarnation, Evidence: x.e.balancer.LossEvidence(lost), AgeMS: age.Milliseconds()})
	}
	u.Successors, u.Paces = x.e.successors.recentlyFound(now), x.e.balancer.TakePaces(now)
	u.Rollouts = x.e.rollouts.reports()
	for lost, age := range x.e.balancer.RecentlyReplaced(now) {
		u.Losses = append(u.Losses, direct.Loss{Target: lost.Target, Incarnation: lost.Incarnation, Replaced: true, AgeMS: age.Milliseconds()})
	}
	return u
}

// receiveLoop applies the updates of other entries until ctx ends.
func (x *peerExchange) receiveLoop(ctx context.Context) {
	buffer := make([]byte, direct.MaxPeerUpdateBytes)
	for ctx.Err() == nil {
		n, _, err := x.conn.ReadFrom(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// An earlier datagram was rejected by its receiver's host. This says nothing
			// about other peers.
			continue
		}
		update, err := direct.DecodePeerUpdate(buffer[:n])
		if err != nil {
			x.e.deps.Log.Emit(event.PeerUpdateRejected, "error", err)
			continue
		}
		x.apply(ctx, update)
	}
}

func (x *peerExchange) apply(ctx context.Context, u *direct.PeerUpdate) {
	now := x.e.deps.Clock.Now()
	x.applyStreams(now, u)
	x.storeWatcher.applyReportedChanges(u)
	peer := roster.Peer{Name: u.From, Address: u.Address, Zone: u.Zone, Incarnation: u.Incarnation, Sequence: u.Sequence, StopsIn: u.StopsIn()}
	verdict := x.roster.Observe(now, peer, u.KnownPeers)
	if verdict == roster.Stale {
		return
	}
	x.configs.observe(ctx, u.Address, u.Version)
	x.e.ownLoad.applyPeer(now, u)
	if u.Notice || !u.Announcement {
		x.applyState(ctx, now, u)
	}
	if verdict == roster.First {
		// Reports the known suspects at once to an entry that has just started.
		suspects, _ := x.e.quarantine.Suspects(now)
		x.sendUpdate([]string{u.Address}, suspects, x.roster.Alive(now), x.orphanedRuns(now))
		x.greet(now, u.Address)
	}
}

// applyState applies what a message says about its sender's state.
func (x *peerExchange) applyState(ctx context.Context, now time.Time, u *direct.PeerUpdate) {
	x.applyLoads(now, u)
	x.e.balancer.ApplyPeerPaces(now, u.Paces)
	x.e.retryBudgets.setPeerCounts(now, u.From, u.Retries)
	x.e.lines.setPeer(now, u.From, u.Waiting)
	x.e.limits.merge(now, u.Limits)
	x.e.withdrawn.Merge(now, u.Leaving)
	x.e.quarantine.Merge(now, u.Failures)
	x.e.quarantine.MergeTurns(now, u.From, u.Turns)
	x.mergeVersions(now, u.Versions)
	x.e.rollouts.merge(now, u)
	if !u.Notice {
		x.e.handover.UpdateFromPeer(now, handover.Owner{Name: u.From, Incarnation: u.Incarnation}, u.Runs)
	}
	for _, s := range u.Successors {
		x.storeWatcher.addSuccessor(s)
	}
	for i := range u.Losses {
		x.applyLoss(now, u.From, &u.Losses[i])
	}
	outdated := u.StoreReachable && x.storeWatcher.storeUnavailable()
	if outdated || (u.Version > 0 && !x.e.targetsListed.Load()) {
		x.startSnapshotRead(ctx, u.Address)
	}
}

// applyLoads applies what a message says about its sender's loads.
func (x *peerExchange) applyLoads(now time.Time, u *direct.PeerUpdate) {
	validFor := max(minLoadTime, loadIntervals*updateInterval(x.roster.CountAlive(now)))
	if u.Notice {
		x.e.balancer.ApplyPeerLoadChanges(now, u.From, u.LoadChanges, validFor)
		return
	}
	x.e.balancer.ApplyPeerLoads(now, u.From, u.Loads, validFor)
}

func (x *peerExchange) applyLoss(now time.Time, from id.Entry, l *direct.Loss) {
	t := x.e.directory.View().Find(l.Target)
	if t == nil || !l.Of(t) {
		return
	}
	if l.Replaced {
		x.e.balancer.ApplyPeerReplaced(now, t, l.Age())
		return
	}
	x.e.quarantine.TargetLost(now.Add(-l.Age()), t.Key(), t.Zone)
	evidence := l.Evidence
	if !x.e.competes(t.Service) {
		evidence = balance.Untyped
	}
	zoneLost := x.e.balancer.ApplyPeerLossBy(now, t, l.Age(), evidence)
	x.e.moves.targetLost(t.Service)
	if zoneLost {
		x.e.deps.Log.Emit(event.ZoneLost, "zone", t.Zone, "service", t.Service, "from", from, "ago", l.Age())
	}
}
