package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/standin/server"
	kv "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

const (
	// zoneCount is the number of availability zones.
	zoneCount = 3
	// shopReplicas is the number of targets of the plain service, which come first in
	// world.replicas.
	shopReplicas = 3
	// targetTTL is how long the item of a crashed target stays in the key-value
	// service.
	targetTTL  = time.Second
	routeHost  = "soak.example"
	account    = catalog.AccountName("acme")
	primaryKey = catalog.Key("main")
)

func zoneName(i int) id.Zone { return id.Zone(fmt.Sprintf("z%d", i)) }

// world is the test environment of one run: the entries, targets, key-value service
// and the links between them.
type world struct {
	opts Options
	// network is the second byte of this run's loopback addresses.
	network      int
	dialect      direct.Dialect
	probes       *http.Client
	probeCount   atomic.Int64
	history      *history
	faultWindows *faultWindows
	// disturbances holds the times at which each entry was disturbed, by its name.
	disturbances map[string]*faultWindows
	// outages holds the times at which all entries are being stopped.
	outages *outages
	// crashing holds the requests that crash targets, and restarts the crashed targets
	// that are not started again yet.
	crashing []*crashingRequest
	restarts sync.WaitGroup
	// actionCounts counts the faults and planned work by kind.
	actionCounts *counter

	// unrecorded holds the streams of processes that no record described.
	unrecorded *unrecordedStreams
	// pages draws the shapes that the users' pages allow.
	pages *pageShapes
	// breaks draws the answers that living targets break off.
	breaks *answerBreaks
	// leavingStreams counts, by body, the streams whose last event an engine sent while it was leaving.
	leavingStreams *counter

	service   *kv.Service
	store     store.Store
	storeHTTP *server.Server

	// rollout watches the roll-out of the plain service; nil before the first one.
	rollout atomic.Pointer[rolloutWatch]

	// shares counts the streams that began and went on.
	shares streamShares

	entries  []*process
	replicas []*replica

	mu     sync.Mutex
	config catalog.Config
	// releases is the number of releases so far.
	releases int
	// targetCount is the number of target names given out so far.
	targetCount int
}

func newWorld(opts Options) (*world, error) {
	w := &world{
		opts: opts, dialect: platform.Dialect(), history: newHistory(time.Now()),
		probes:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		faultWindows: &faultWindows{settle: settleTime}, disturbances: map[string]*faultWindows{}, outages: &outages{entries: opts.Entries}, actionCounts: newCounter(), service: kv.New(kv.Options{}), config: initialConfig(),
		breaks: newAnswerBreaks(opts.Seed), unrecorded: newUnrecordedStreams(opts.Seed), leavingStreams: newCounter(), pages: newPageShapes(opts.Seed),
	}
	w.store = w.service.Direct()
	if opts.Crashing {
		w.crashing = newCrashingRequests(opts, rand.New(rand.NewPCG(opts.Seed, crashingRandomStream)))
	}
	if opts.CrashingParts {
		w.crashing = append(w.crashing, newCrashingParts(opts, len(w.crashing), rand.New(rand.NewPCG(opts.Seed, partRandomStream)))...)
	}
	if opts.CrashingPlain {
		w.crashing = append(w.crashing, newCrashingPlain(opts, len(w.crashing), rand.New(rand.NewPCG(opts.Seed, plainRandomStream)))...)
	}
	return w, w.reserveNetwork()
}

// networkCount is the number of loopback networks. Concurrent runs on a machine use
// different networks.
const networkCount = 254

// reserveNetwork chooses a loopback network that no other run uses, by listening on
// the address of its key-value service.
func (w *world) reserveNetwork() error {
	first := os.Getpid()
	var err error
	for i := range networkCount {
		w.network = 1 + (first+i)%networkCount
		w.storeHTTP, err = server.New(w.storeAddress(), w.storeHandler())
		if err == nil {
			return nil
		}
	}
	return fault.Wrap("world.reserveNetwork", Failed, err)
}

// storeHandler serves the key-value service.
func (w *world) storeHandler() http.Handler {
	handler := platform.NewStoreHandler(w.store, w.service.Era)
	if w.opts.LargeConfigs {
		return slowLinks(handler)
	}
	return handler
}

// host returns a loopback address in this run's network.
func (w *world) host(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, group, i+1)
}

func (w *world) storeAddress() string { return fmt.Sprintf("%s:%d", w.host(0, 0), storePort) }

func initialConfig() catalog.Config {
	route := func(path string, kind catalog.RouteKind, attempts int, timeout time.Duration) catalog.Route {
		return catalog.Route{
			Name: path, Host: routeHost, PathPrefix: path, Kind: kind, MaxAttempts: attempts, Timeout: timeout,
			Services:         []catalog.WeightedService{{Service: serviceOf(path), Weight: 1}},
			LatencyObjective: plainObjective, GapObjective: 700 * time.Millisecond, Resumable: kind == catalog.Streaming && path != oncePath,
		}
	}
	return catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			route(unsafePath, catalog.Unsafe, 1, plainTimeout), route(safePath, catalog.Safe, 3, plainTimeout),
			route(streamPath, catalog.Streaming, 6, streamTimeout),
			route(oncePath, catalog.Streaming, 1, streamTimeout), route(slowPath, catalog.Unsafe, 1, slowTimeout),
		},
		Services: map[id.Service]catalog.Service{
			modelService: {Name: modelService, HealthPath: healthPath, Engine: &catalog.Engine{MemoryTokens: 88000, SupportsBackup: true}},
			shopService:  {Name: shopService, HealthPath: healthPath},
		},
		Accounts: []catalog.ClientAccount{{Name: account, Keys: []catalog.Key{primaryKey}}},
	}
}

// start starts the targets and entries, and waits until all entries take requests.
func (w *world) start(ctx context.Context) error {
	const op = "world.start"
	if err := w.writeConfig(ctx); err != nil {
		return fault.Wrap(op, Failed, err)
	}
	for i := range shopReplicas + w.opts.Engines {
		service := modelService
		if i < shopReplicas {
			service = shopService
		}
		p, err := newReplica(w, service, i%zoneCount)
		if err != nil {
			return fault.Wrap(op, Failed, err)
		}
		w.replicas = append(w.replicas, p)
		if err := w.writeTarget(ctx, p); err != nil {
			return fault.Wrap(op, Failed, err)
		}
		p.recordListed()
	}
	for i := range w.opts.Entries {
		p, err := newProcess(w, i)
		if err != nil {
			return fault.Wrap(op, Failed, err)
		}
		w.entries = append(w.entries, p)
		w.disturbances[p.name] = &faultWindows{}
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range w.entries {
		if !p.waitUntilReady(ctx) {
			return fault.New(op, Failed, "entry %s is not ready; see its log in %s", p.name, w.opts.Dir)
		}
	}
	return nil
}

// close stops everything that was started.
func (w *world) close() {
	var entries sync.WaitGroup
	for _, p := range w.entries {
		entries.Go(p.close)
	}
	entries.Wait()
	for _, p := range w.replicas {
		p.close()
	}
	w.storeHTTP.Close()
	w.service.Close()
	w.probes.CloseIdleConnections()
}

// writeConfig writes the current configuration to the key-value service.
func (w *world) writeConfig(ctx context.Context) error {
	w.mu.Lock()
	cfg := w.config
	w.mu.Unlock()
	data, err := platform.EncodeConfig(&cfg)
	if err != nil {
		return err
	}
	return w.commit(ctx, store.Txn{Puts: []store.Put{{Key: platform.ConfigKey, Value: data}}})
}

func (w *world) writeTarget(ctx context.Context, p *replica) error {
	t := p.currentTarget()
	put, err := platform.EncodeTarget(&t)
	if err != nil {
		return err
	}
	return w.commit(ctx, store.Txn{Puts: []store.Put{put}})
}

// put writes an item to the key-value service.
func (w *world) put(ctx context.Context, key string, value []byte) error {
	return w.commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
}

func (w *world) removeTarget(ctx context.Context, name id.Target) error {
	return w.commit(ctx, store.Txn{Deletes: []string{platform.TargetPrefix + string(name)}})
}

// commitRetryPause is the time between two tries of a write.
const commitRetryPause = 50 * time.Millisecond

// commit tries to write until the key-value service confirms the write or ctx ends.
// All writes of a run are idempotent, so they may be repeated.
func (w *world) commit(ctx context.Context, txn store.Txn) error {
	for {
		_, err := w.store.Commit(ctx, txn)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(commitRetryPause)
	}
}

// newTargetName returns a name that no target has had before.
func (w *world) newTargetName() id.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targetCount++
	return id.Target(fmt.Sprintf("t-%d", w.targetCount))
}

// replicaAt returns the replica whose link has an address, or nil.
func (w *world) replicaAt(address string) *replica {
	i := slices.IndexFunc(w.replicas, func(p *replica) bool { return p.link.address() == address })
	if i < 0 {
		return nil
	}
	return w.replicas[i]
}

// inRotation returns the entries to which clients connect: the ready ones, or all if
// none is ready.
func (w *world) inRotation() []*process {
	ready := slices.DeleteFunc(slices.Clone(w.entries), func(p *process) bool { return !p.inRotation.Load() })
	if len(ready) == 0 {
		return w.entries
	}
	return ready
}
