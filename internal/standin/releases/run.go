package releases

import (
	"context"
	"fmt"
	"io"

	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
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
	storeIP       = "10.200.0.1"
	storePort     = 8742
	clientsIP     = "10.201.0.1"
	clientPort    = 8740
	readinessPort = 8749
	peerPort      = 7200
	seedCount     = 3
	linkLatency   = 900 * time.Microsecond
	serviceName   = id.Service("model")
	routeHost     = "release.example"
	streamPath    = "/r/"
	// meetingTime is how long the entries have to meet before the first stream.
	meetingTime = 3 * time.Second
	// restartTime is the time from the end of an entry to its next start.
	restartTime = 400 * time.Millisecond
	// cutTime is how long the key-value service does not reach an entry.
	cutTime = 5 * time.Second
	// dialTimeout is how long a connection across a cut takes to fail.
	dialTimeout = time.Second
	// releaseStep is the time between two engines of a release.
	releaseStep = 300 * time.Millisecond
)

// run is one run.
type run struct {
	opts    Options
	network *network.Network
	service *kv.Service
	store   store.Store
	clients *network.Host
	entries []*entry
	engines []*engine
	wg      sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	report Report
	names  int
	err    error
}

// entry is a real entry on a simulated host, which is killed and started again.
type entry struct {
	run *run
	ip  string
	// host carries clients, targets and the key-value service, peers the messages between
	// entries.
	host, peers *network.Host
	index       int

	mu        sync.Mutex
	stop      context.CancelFunc
	ended     chan struct{}
	startedAt time.Time
	cut       bool
	cutAt     time.Time
	// stores are the connections to the key-value service.
	stores map[net.Conn]bool
}

// Run plays the options in a synctest bubble.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	r := &run{
		opts: opts, network: network.New(), service: kv.New(kv.Options{}), random: rand.New(rand.NewPCG(opts.Seed, 1)),
		report: Report{Seed: opts.Seed, Reasons: map[string]int{}},
	}
	r.store = r.service.Direct()
	r.clients = r.network.AddHost(clientsIP, network.Link{Latency: linkLatency})
	defer r.service.Close()
	ctx, stop := context.WithCancel(ctx)
	// Connections that are being opened end last.
	defer pause(context.Background(), 2*dialTimeout)
	defer r.wg.Wait()
	defer r.stopEngines()
	defer stop()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	pause(ctx, meetingTime+r.opts.Calm)
	r.play(ctx)
	for _, e := range r.entries {
		r.report.PeerBytes += e.peers.Traffic().Sent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	return &report, r.err
}

func (r *run) setUp(ctx context.Context) error {
	host := r.network.AddHost(storeIP, network.Link{Latency: linkLatency})
	l, err := host.Listen(hostPort(storeIP, storePort))
	if err != nil {
		return fault.Wrap("run.setUp", Failed, err)
	}
	server := &http.Server{Handler: platform.NewStoreHandler(r.store, r.service.Era)}
	r.wg.Go(func() { _ = server.Serve(l) })
	r.wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	if err := r.writeConfig(ctx); err != nil {
		return err
	}
	for i := range r.opts.Engines {
		e := r.newEngine(i)
		r.engines = append(r.engines, e)
		if err := e.start(ctx, r.newName(), "v1", 0); err != nil {
			return err
		}
	}
	for i := range r.opts.Entries {
		e := r.newEntry(i)
		r.entries = append(r.entries, e)
		if err := e.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) stopEngines() {
	for _, e := range r.engines {
		e.stop()
	}
}

func (r *run) writeConfig(ctx context.Context) error {
	cfg := catalog.Config{
		Version: 1,
		Routes: []catalog.Route{{
			Name: "r", Host: routeHost, PathPrefix: streamPath, Kind: catalog.Streaming, Resumable: true, MaxAttempts: 5, Timeout: streamTimeout,
			Services:         []catalog.WeightedService{{Service: serviceName, Weight: 1}},
			LatencyObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond,
		}},
		Services: map[id.Service]catalog.Service{serviceName: {Name: serviceName, Engine: &catalog.Engine{MemoryTokens: 88000}}},
	}
	data, err := platform.EncodeConfig(&cfg)
	if err == nil {
		_, err = r.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: data}}})
	}
	return fault.Wrap("run.writeConfig", Failed, err)
}

// play runs the load and the disturbances for the run's duration, and lets the last streams
// end.
func (r *run) play(ctx context.Context) {
	playing, end := context.WithTimeout(ctx, r.opts.Duration)
	defer end()
	var work, streams sync.WaitGroup
	release := 1
	r.repeat(playing, &work, r.opts.ReleaseGap, func() { release++; r.release(ctx, release) })
	r.repeat(playing, &work, r.opts.CrashGap, func() { r.pickEngine().crash(ctx) })
	r.repeat(playing, &work, r.opts.KillGap, func() { r.pickEntry().kill(ctx) })
	r.repeat(playing, &work, r.opts.CutGap, func() { r.pickEntry().cutOff(ctx) })
	r.at(playing, &work, r.opts.KillAllAt, func() { r.forAll(func(e *entry) { e.kill(ctx) }) })
	r.at(playing, &work, r.opts.OutageAt, func() { r.forAll(func(e *entry) { e.cutOff(ctx) }) })
	for i, at := range r.opts.LoseAt {
		r.at(playing, &work, at, func() { r.entries[len(r.entries)-1-i].lose() })
	}
	for n := 0; playing.Err() == nil; n++ {
		streams.Go(func() { r.ask(ctx, fmt.Sprintf("s%d", n)) })
		pause(playing, time.Duration(float64(time.Second)/r.opts.StreamsPerSecond))
	}
	work.Wait()
	streams.Wait()
}

// at calls f once after a time, unless that is 0.
func (r *run) at(ctx context.Context, work *sync.WaitGroup, after time.Duration, f func()) {
	if after == 0 {
		return
	}
	work.Go(func() {
		if pause(ctx, after) {
			f()
		}
	})
}

// repeat calls f at random intervals around gap until ctx ends, unless gap is 0.
func (r *run) repeat(ctx context.Context, work *sync.WaitGroup, gap time.Duration, f func()) {
	if gap == 0 {
		return
	}
	work.Go(func() {
		for pause(ctx, time.Duration((0.5+r.float())*float64(gap))) {
			f()
		}
	})
}

// release replaces half of the engines by ones of the next version, one after the other.
func (r *run) release(ctx context.Context, number int) {
	software := id.SoftwareVersion("v" + strconv.Itoa(number))
	inPlace := r.float() < r.opts.InPlace
	var replaced sync.WaitGroup
	for _, e := range r.engines {
		if r.float() < 0.5 {
			continue
		}
		replaced.Go(func() {
			if inPlace {
				e.releaseInPlace(ctx, software)
			} else {
				e.release(ctx, software)
			}
		})
		pause(ctx, releaseStep)
	}
	replaced.Wait()
}

// forAll calls f for all entries at the same time, and waits for the calls.
func (r *run) forAll(f func(e *entry)) {
	var calls sync.WaitGroup
	for _, e := range r.entries {
		calls.Go(func() { f(e) })
	}
	calls.Wait()
}

func (r *run) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

func (r *run) pickEngine() *engine { return r.engines[int(r.float()*float64(len(r.engines)))] }
func (r *run) pickEntry() *entry   { return r.entries[int(r.float()*float64(len(r.entries)))] }

func (r *run) newName() id.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names++
	return id.Target(fmt.Sprintf("i-%d", r.names))
}

func (r *run) zone(i int) id.Zone { return id.Zone(fmt.Sprintf("z%d", i%r.opts.Zones)) }

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// serving returns the number of engines that serve a version.
func (r *run) serving(software id.SoftwareVersion) int {
	n := 0
	for _, e := range r.engines {
		if e.serves(software) {
			n++
		}
	}
	return n
}

func hostPort(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

func entryIP(i int) string { return fmt.Sprintf("10.%d.0.%d", 1+i/250, 1+i%250) }
func peerIP(i int) string  { return fmt.Sprintf("10.%d.1.%d", 1+i/250, 1+i%250) }

func (r *run) newEntry(i int) *entry {
	return &entry{
		run: r, index: i, ip: entryIP(i), stores: map[net.Conn]bool{},
		host: r.network.AddHost(entryIP(i), network.Link{Latency: linkLatency}), peers: r.network.AddHost(peerIP(i), network.Link{Latency: linkLatency}),
	}
}

// start starts the entry's process.
func (e *entry) start(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var process *direct.Entry
	client := platform.NewStore(platform.StoreOptions{
		Address: hostPort(storeIP, storePort), Dial: e.dialStore,
		WatchPause: func(prefix string) time.Duration { return process.WatchPause(prefix) },
		WatchTime:  func() time.Duration { return process.WatchTime() },
		Large:      func(prefix string) func(context.Context) error { return process.LargeAnswer(prefix) },
	})
	process = direct.New(e.settings(), direct.Deps{
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewRegistry(), Log: event.NewLogfmtLog(io.Discard, clockwork.NewRealClock()),
		Store: client.Store(), Dialect: platform.Dialect(), Random: e.run.float,
		Codec: direct.Codec{
			ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
			DecodeTarget: platform.DecodeTarget, ParseTargetID: platform.TargetID, DecodeConfig: platform.DecodeConfig,
		},
		Listen: e.listen, ListenPacket: e.peers.ListenPacket, Dial: e.host.Dial,
	})
	if err := process.Listen(); err != nil {
		stop()
		return fault.Wrap("entry.start", Failed, err)
	}
	ended := make(chan struct{})
	e.mu.Lock()
	e.stop, e.ended, e.startedAt = stop, ended, time.Now()
	e.mu.Unlock()
	e.run.wg.Go(func() {
		defer close(ended)
		// A process that is killed leaves work behind.
		_ = process.Run(ctx)
	})
	return nil
}

// listen listens on the host that the address belongs to.
func (e *entry) listen(address string) (net.Listener, error) {
	if address == hostPort(peerIP(e.index), peerPort) {
		return e.peers.Listen(address)
	}
	return e.host.Listen(address)
}

func (e *entry) settings() settings.Direct {
	s := settings.Direct{
		Name: id.Entry("edge-" + strconv.Itoa(e.index)), ClientAddress: hostPort(e.ip, clientPort), ReadinessAddress: hostPort(e.ip, readinessPort),
		PeerAddress: hostPort(peerIP(e.index), peerPort), StoreAddress: hostPort(storeIP, storePort),
		Place: settings.Place{Host: id.Host("h" + strconv.Itoa(e.index)), Zone: e.run.zone(e.index), Region: "x"},
		// Without a grace time, the process ends at once when it is told to.
		Limits:  settings.ProcessLimits{GraceSeconds: 0.001},
		Retries: settings.Retries{Ratio: 0.8, MinRetries: 150, WindowSeconds: 10},
	}
	for seed := range min(seedCount, e.run.opts.Entries) {
		s.SeedAddresses = append(s.SeedAddresses, hostPort(peerIP(seed), peerPort))
	}
	s.SetDefaults()
	return s
}

// lose ends the process for good. It returns false if none ran.
func (e *entry) lose() bool {
	e.mu.Lock()
	stop, ended := e.stop, e.ended
	e.stop = nil
	e.mu.Unlock()
	if stop == nil {
		return false
	}
	stop()
	<-ended
	return true
}

// kill ends the process and starts it again after restartTime.
func (e *entry) kill(ctx context.Context) {
	if !e.lose() {
		return
	}
	pause(ctx, restartTime)
	if err := e.start(ctx); err != nil && ctx.Err() == nil {
		e.run.fail(err)
	}
}

// inTouch reports whether the entry has run for settleTime, and reached the key-value
// service all the while.
func (e *entry) inTouch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stop != nil && time.Since(e.startedAt) > settleTime && !e.cut && time.Since(e.cutAt) > settleTime
}

// cutOff keeps the entry from the key-value service for cutTime.
func (e *entry) cutOff(ctx context.Context) {
	e.setCut(true)
	pause(ctx, cutTime)
	e.setCut(false)
}

func (e *entry) setCut(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut, e.cutAt = on, time.Now()
	for c := range e.stores {
		_ = c.Close()
	}
	clear(e.stores)
}

func (e *entry) dialStore(ctx context.Context, address string) (net.Conn, error) {
	e.mu.Lock()
	cut := e.cut
	e.mu.Unlock()
	if cut {
		pause(ctx, dialTimeout)
		return nil, syscall.ETIMEDOUT
	}
	c, err := e.host.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stores[c] = true
	return c, nil
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
