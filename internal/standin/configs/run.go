package configs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/standin/network"
	kv "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/direct"
	"foxtailward.example/foxtailward/platform"
)

const (
	storeIP   = "10.200.0.1"
	storePort = 8742
	peerPort  = 7200
	// clientPort and readinessPort are the ports of each entry that nobody uses here.
	clientPort    = 8740
	readinessPort = 8749
	seedCount     = 3
	serviceName   = id.Service("floor-app")
	// meetingTime is how long the entries have to meet before the first change.
	meetingTime = 8 * time.Second
	// occupyInterval is how often other traffic takes its part of a link.
	occupyInterval = 20 * time.Millisecond
)

// run is one run.
type run struct {
	opts    Options
	network *network.Network
	service *kv.Service
	store   store.Store
	random  *rand.Rand
	hosts   []*network.Host
	config  catalog.Config

	mu sync.Mutex
	// decoded holds the configurations that were decoded, by their bytes. Entries
	// only read them.
	decoded map[string]*catalog.Config
	// inForce holds when each entry put each version in force.
	inForce []map[catalog.Version]time.Time
	// targets are the targets that are listed. drained holds when each entry learned that
	// the first of them drains.
	targets []*catalog.Target
	drained []time.Time
}

// Run plays the changes. It returns when the last one had its apply time twice.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.Defaults()
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	r := &run{
		opts: opts, network: network.New(), service: kv.New(kv.Options{}), decoded: map[string]*catalog.Config{},
		random: rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	r.store = r.service.Direct()
	defer r.service.Close()
	ctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	storeHost, err := r.serveStore(ctx, &wg)
	if err != nil {
		return nil, err
	}
	if err := r.writeTargets(ctx); err != nil {
		return nil, err
	}
	r.config = catalog.Config{Version: 1, Services: map[id.Service]catalog.Service{serviceName: {Name: serviceName}}}
	if _, err := r.change(ctx, 1); err != nil {
		return nil, err
	}
	for i := range opts.Entries {
		if err := r.startEntry(ctx, &wg, i); err != nil {
			return nil, err
		}
	}
	return r.play(ctx, storeHost)
}

// play makes the changes and measures them.
func (r *run) play(ctx context.Context, storeHost *network.Host) (*Report, error) {
	pause(ctx, meetingTime)
	sentBefore, peersBefore, readsBefore := storeHost.Traffic().Sent, r.peerBytes(), r.service.Calls().Reads()
	report := &Report{}
	var written []time.Time
	for _, routes := range r.opts.Steps {
		change, err := r.change(ctx, routes)
		if err != nil {
			return nil, err
		}
		report.Changes, written = append(report.Changes, change), append(written, time.Now())
		pause(ctx, r.opts.Gap)
	}
	pause(ctx, 2*r.opts.ApplyTime)
	report.StoreBytes, report.PeerBytes = storeHost.Traffic().Sent-sentBefore, r.peerBytes()-peersBefore
	for i := range report.Changes {
		r.measure(&report.Changes[i], written[i])
	}
	if err := r.drain(ctx, report); err != nil {
		return nil, err
	}
	report.StoreReads = r.service.Calls().Reads() - readsBefore
	return report, ctx.Err()
}

func (r *run) peerBytes() int64 {
	var sum int64
	for _, h := range r.hosts {
		sum += h.Traffic().Sent
	}
	return sum
}

// measure fills in when a change was in force.
func (r *run) measure(c *Change, written time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first, last time.Duration
	missing := false
	for _, versions := range r.inForce {
		took, ok := sinceWritten(versions, c.Version, written)
		if !ok || took > r.opts.ApplyTime {
			c.Late++
		}
		missing = missing || !ok
		if ok && (first == 0 || took < first) {
			first = took
		}
		last = max(last, took)
	}
	c.First = first
	if !missing {
		c.Last = last
	}
}

// sinceWritten returns how long after its write a version, or a later one, was in
// force, and false if that never was.
func sinceWritten(versions map[catalog.Version]time.Time, v catalog.Version, written time.Time) (time.Duration, bool) {
	var took time.Duration
	found := false
	for version, at := range versions {
		if version >= v && (!found || at.Sub(written) < took) {
			took, found = at.Sub(written), true
		}
	}
	return took, found
}

// serveStore serves the key-value service over the network.
func (r *run) serveStore(ctx context.Context, wg *sync.WaitGroup) (*network.Host, error) {
	host := r.network.AddHost(storeIP, network.Link{BytesPerSecond: storeBytesPerSecond, Latency: linkLatency})
	l, err := host.Listen(hostPort(storeIP, storePort))
	if err != nil {
		return nil, fault.Wrap("run.serveStore", Failed, err)
	}
	server := &http.Server{Handler: platform.NewStoreHandler(r.store, r.service.Era)}
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return host, nil
}

func (r *run) writeTargets(ctx context.Context) error {
	for i := range r.opts.Targets {
		t := &catalog.Target{
			ID: id.Target(fmt.Sprintf("i-%010x", r.random.Uint64N(1<<40))), Service: serviceName,
			Address: hostPort(fmt.Sprintf("10.100.%d.%d", i/250, 1+i%250), 8126), Zone: "a", Slots: 6, State: catalog.Ready,
		}
		r.targets = append(r.targets, t)
		if err := r.writeTarget(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) writeTarget(ctx context.Context, t *catalog.Target) error {
	put, err := platform.EncodeTarget(t)
	if err == nil {
		_, err = r.store.Commit(ctx, store.Txn{Puts: []store.Put{put}})
	}
	return fault.Wrap("run.writeTarget", Failed, err)
}

// drain has the first target drain and measures when the entries know. Another target
// changes right before, so that entries pause between two watches.
func (r *run) drain(ctx context.Context, report *Report) error {
	if len(r.targets) < 2 {
		return nil
	}
	other := *r.targets[1]
	other.Slots, other.Sequence = other.Slots+1, other.Sequence+1
	if err := r.writeTarget(ctx, &other); err != nil {
		return err
	}
	pause(ctx, 100*time.Millisecond)
	t := *r.targets[0]
	t.State, t.Sequence = catalog.Draining, t.Sequence+1
	written := time.Now()
	if err := r.writeTarget(ctx, &t); err != nil {
		return err
	}
	pause(ctx, r.opts.ApplyTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.drained {
		if !at.IsZero() {
			report.Drained++
			report.DrainLast = max(report.DrainLast, at.Sub(written))
		}
	}
	return nil
}

// change adds routes and writes the next version.
func (r *run) change(ctx context.Context, routes int) (Change, error) {
	const op = "run.change"
	r.config.Version += catalog.Version(1 + r.random.IntN(4))
	r.config.Routes = slices.Clone(r.config.Routes)
	for range routes {
		r.config.Routes = append(r.config.Routes, r.route())
	}
	data, err := platform.EncodeConfig(&r.config)
	if err != nil {
		return Change{}, fault.Wrap(op, Failed, err)
	}
	_, err = r.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: data}}})
	return Change{Version: r.config.Version, Routes: len(r.config.Routes), Bytes: len(data)}, fault.Wrap(op, Failed, err)
}

// route returns a route with random names.
func (r *run) route() catalog.Route {
	name := strconv.FormatUint(r.random.Uint64N(1<<36), 36)
	return catalog.Route{
		Name: "r-" + name, Host: name[:min(4, len(name))] + "57.example", PathPrefix: "/" + name + "/",
		Services: []catalog.WeightedService{{Service: serviceName, Weight: 1}}, Kind: catalog.Safe,
		Timeout: time.Second, LatencyObjective: 150 * time.Millisecond, MaxAttempts: 2, Priority: r.random.IntN(3),
	}
}

func entryIP(i int) string { return fmt.Sprintf("10.%d.0.%d", 1+i/250, 1+i%250) }

func hostPort(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// startEntry starts an entry with its other traffic.
func (r *run) startEntry(ctx context.Context, wg *sync.WaitGroup, i int) error {
	host := r.network.AddHost(entryIP(i), r.opts.link(i))
	r.hosts = append(r.hosts, host)
	versions := map[catalog.Version]time.Time{}
	r.inForce, r.drained = append(r.inForce, versions), append(r.drained, time.Time{})
	var e *direct.Entry
	client := platform.NewStore(platform.StoreOptions{
		Address: hostPort(storeIP, storePort), Dial: host.Dial,
		WatchPause: func(prefix string) time.Duration { return e.WatchPause(prefix) },
		WatchTime:  func() time.Duration { return e.WatchTime() },
		Large:      func(prefix string) func(context.Context) error { return e.LargeAnswer(prefix) },
	})
	e = direct.New(r.settings(i), direct.Deps{
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewRegistry(),
		Log:   event.NewLogfmtLog(&versionWriter{run: r, entry: i, versions: versions}, clockwork.NewRealClock()),
		Store: client.Store(), Codec: r.codec(ctx, i), Dialect: platform.Dialect(), Random: r.entryRandom(i),
		Listen: host.Listen, ListenPacket: host.ListenPacket, Dial: host.Dial,
	})
	if err := e.Listen(); err != nil {
		return fault.Wrap("run.startEntry", Failed, err)
	}
	wg.Go(func() { _ = e.Run(ctx) })
	wg.Go(func() { r.occupy(ctx, host) })
	return nil
}

// entryRandom returns an entry's own random numbers.
func (r *run) entryRandom(i int) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(r.opts.Seed, uint64(i)+1))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

func (r *run) settings(i int) settings.Direct {
	ip := entryIP(i)
	s := settings.Direct{
		Name: id.Entry(fmt.Sprintf("edge-%d", i)), ClientAddress: hostPort(ip, clientPort), ReadinessAddress: hostPort(ip, readinessPort),
		PeerAddress: hostPort(ip, peerPort), StoreAddress: hostPort(storeIP, storePort),
		Place: settings.Place{Host: id.Host("h" + strconv.Itoa(i)), Zone: "a", Region: "x"},
	}
	if i >= r.opts.Entries-r.opts.IsolatedEntries {
		s.PeerAddress = ""
	}
	for seed := range min(seedCount, r.opts.Entries) {
		s.SeedAddresses = append(s.SeedAddresses, hostPort(entryIP(seed), peerPort))
	}
	s.SetDefaults()
	return s
}

// codec returns the platform's codec, for which a configuration takes as long to
// decode as it would on the entry's core.
func (r *run) codec(ctx context.Context, entry int) direct.Codec {
	return direct.Codec{
		ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
		DecodeTarget: platform.DecodeTarget, ParseTargetID: platform.TargetID,
		DecodeConfig: func(data []byte) (*catalog.Config, error) {
			pause(ctx, r.opts.decodeTime(entry, len(data)))
			return r.decode(data)
		},
	}
}

func (r *run) decode(data []byte) (*catalog.Config, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cfg := r.decoded[string(data)]; cfg != nil {
		return cfg, nil
	}
	cfg, err := platform.DecodeConfig(data)
	if err == nil {
		r.decoded[string(data)] = cfg
	}
	return cfg, err
}

// occupy takes the other traffic's part of the host's link until ctx ends.
func (r *run) occupy(ctx context.Context, host *network.Host) {
	part := r.opts.OtherTraffic * int(occupyInterval) / int(time.Second)
	for part > 0 && ctx.Err() == nil {
		host.Occupy(part)
		pause(ctx, occupyInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// versionWriter notes when an entry logs that a version is in force, or that a target
// drains.
type versionWriter struct {
	run      *run
	entry    int
	versions map[catalog.Version]time.Time
}

// Write implements io.Writer for one line of the log.
func (w *versionWriter) Write(line []byte) (int, error) {
	fields := strings.Fields(string(line))
	if slices.Contains(fields, "event="+event.MemberChanged.Code()) && slices.Contains(fields, "state="+string(catalog.Draining)) {
		w.run.mu.Lock()
		w.run.drained[w.entry] = time.Now()
		w.run.mu.Unlock()
	}
	if !slices.Contains(fields, "event="+event.RevisionInForce.Code()) {
		return len(line), nil
	}
	for _, field := range fields {
		if value, ok := strings.CutPrefix(field, "version="); ok {
			version, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return 0, errors.New("malformed version " + value)
			}
			w.run.mu.Lock()
			w.versions[catalog.Version(version)] = time.Now()
			w.run.mu.Unlock()
		}
	}
	return len(line), nil
}
