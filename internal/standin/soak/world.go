package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
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
	// zones is the number of availability zones.
	zones = 3
	// shops is the number of targets of the plain service.
	shops = 3
	// lapseTime is how long the entry of a target that crashed stays.
	lapseTime = time.Second
	routeHost = "soak.example"
	account   = catalog.AccountName("acme")
	mainKey   = catalog.Key("main")
)

func zoneName(i int) id.Zone { return id.Zone(fmt.Sprintf("z%d", i)) }

// world is everything that runs: entries, targets, the key-value service and the
// links between them.
type world struct {
	opts Options
	// network is the second number of this run's loopback addresses.
	network int
	dialect direct.Dialect
	probes  *http.Client
	ledger  *ledger
	windows *windows
	// faults counts what was brought about, by kind.
	faults *tally

	service   *kv.Service
	store     store.Store
	storeHTTP *server.Server

	entries  []*process
	replicas []*replica

	mu     sync.Mutex
	config catalog.Config
	// names counts the targets that there were.
	names int
}

func newWorld(opts Options) (*world, error) {
	w := &world{
		opts: opts, dialect: platform.Dialect(), ledger: newLedger(time.Now()),
		probes:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		windows: &windows{}, faults: newTally(), service: kv.New(kv.Options{}), config: firstConfig(),
	}
	w.store = w.service.Direct()
	return w, w.takeNetwork()
}

// networks is the number of loopback networks for runs beside each other.
const networks = 254

// takeNetwork takes a loopback network that no other run uses, by the address of
// its key-value service.
func (w *world) takeNetwork() error {
	first := os.Getpid()
	var err error
	for i := range networks {
		w.network = 1 + (first+i)%networks
		w.storeHTTP, err = server.New(w.storeAddress(), platform.NewStoreHandler(w.store))
		if err == nil {
			return nil
		}
	}
	return fault.Wrap("world.takeNetwork", Failed, err)
}

// host returns a loopback address of this run's own.
func (w *world) host(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, group, i+1)
}

func (w *world) storeAddress() string { return fmt.Sprintf("%s:%d", w.host(0, 0), storePort) }

func firstConfig() catalog.Config {
	route := func(path string, repeat catalog.RouteKind, attempts int, timeout time.Duration) catalog.Route {
		return catalog.Route{
			Name: path, Host: routeHost, PathPrefix: path, Kind: repeat, MaxAttempts: attempts, Timeout: timeout,
			Services:         []catalog.WeightedService{{Service: serviceOf(path), Weight: 1}},
			LatencyObjective: 500 * time.Millisecond, GapObjective: 700 * time.Millisecond, Resumable: repeat == catalog.Streaming,
		}
	}
	return catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			route(unsafePath, catalog.Unsafe, 1, plainTimeout), route(safePath, catalog.Safe, 3, plainTimeout),
			route(streamPath, catalog.Streaming, 6, streamTimeout),
		},
		Services: map[id.Service]catalog.Service{
			modelService: {Name: modelService, HealthPath: healthPath, Engine: &catalog.Engine{MemoryTokens: 88000, SupportsBackup: true}},
			shopService:  {Name: shopService, HealthPath: healthPath},
		},
		Accounts: []catalog.ClientAccount{{Name: account, Keys: []catalog.Key{mainKey}}},
	}
}

// start starts targets and entries, and waits until all entries take work.
func (w *world) start(ctx context.Context) error {
	const op = "world.start"
	if err := w.writeConfig(ctx); err != nil {
		return fault.Wrap(op, Failed, err)
	}
	for i := range shops + w.opts.Engines {
		service := modelService
		if i < shops {
			service = shopService
		}
		p, err := newReplica(w, service, i%zones)
		if err != nil {
			return fault.Wrap(op, Failed, err)
		}
		w.replicas = append(w.replicas, p)
		if err := w.writeTarget(ctx, p); err != nil {
			return fault.Wrap(op, Failed, err)
		}
	}
	for i := range w.opts.Entries {
		p, err := newProcess(w, i)
		if err != nil {
			return fault.Wrap(op, Failed, err)
		}
		w.entries = append(w.entries, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range w.entries {
		if !p.awaitReady(ctx) {
			return fault.New(op, Failed, "%s does not take work; see its log in %s", p.name, w.opts.Dir)
		}
	}
	return nil
}

// close ends all that was started.
func (w *world) close() {
	var ends sync.WaitGroup
	for _, p := range w.entries {
		ends.Go(p.close)
	}
	ends.Wait()
	for _, p := range w.replicas {
		p.close()
	}
	w.storeHTTP.Close()
	w.service.Close()
	w.probes.CloseIdleConnections()
}

// writeConfig puts the operator's configuration into the key-value service.
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
	t := p.identity()
	put, err := platform.EncodeTarget(&t)
	if err != nil {
		return err
	}
	return w.commit(ctx, store.Txn{Puts: []store.Put{put}})
}

func (w *world) removeTarget(ctx context.Context, name id.Target) error {
	return w.commit(ctx, store.Txn{Deletes: []string{platform.TargetPrefix + string(name)}})
}

// commitPause is the time between two tries of the operator and the targets.
const commitPause = 50 * time.Millisecond

// commit writes until the key-value service confirms it. All its writes may be
// repeated.
func (w *world) commit(ctx context.Context, txn store.Txn) error {
	for {
		_, err := w.store.Commit(ctx, txn)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(commitPause)
	}
}

// newTarget returns a name that no target had yet.
func (w *world) newTarget() id.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names++
	return id.Target(fmt.Sprintf("t-%d", w.names))
}

// replicaAt returns the replica behind an address that entries know, or nil.
func (w *world) replicaAt(address string) *replica {
	i := slices.IndexFunc(w.replicas, func(p *replica) bool { return p.link.address() == address })
	if i < 0 {
		return nil
	}
	return w.replicas[i]
}

// inRotation returns the entries to which clients are sent: those that take
// work, or all if there are none.
func (w *world) inRotation() []*process {
	ready := slices.DeleteFunc(slices.Clone(w.entries), func(p *process) bool { return !p.inRotation.Load() })
	if len(ready) == 0 {
		return w.entries
	}
	return ready
}
