package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/etcd"
	"foxtailward.example/foxtailward/internal/transport/hostlist"
)

// Timing of the reads of the entries' addresses.
const (
	// seedsEvery is the time between two reads while none is known.
	seedsEvery = 2 * time.Second
	// seedsRefresh is the time between two reads otherwise.
	seedsRefresh = 5 * time.Minute
	seedsTimeout = 5 * time.Second
)

// platformAccess is a daemon's way to the platform's services.
type platformAccess struct {
	settings *settings.Platform
	log      *event.Log
	client   *etcd.Client
	store    *store.Store

	mu    sync.Mutex
	seeds []string
}

// openPlatform returns the way to the services that the settings name.
func openPlatform(s *settings.Platform, log *event.Log, registry metrics.Registry) (*platformAccess, error) {
	p := &platformAccess{settings: s, log: log}
	if len(s.StoreURLs) == 0 {
		return p, nil
	}
	client, err := etcd.New(etcd.Options{
		Endpoints: s.StoreURLs, Clock: clockwork.NewRealClock(), Metrics: registry, Log: log,
		ReadsPerSecond: s.StoreReadsPerSecond, WritesPerSecond: s.StoreWritesPerSecond,
	})
	if err != nil {
		return nil, err
	}
	kv := client.Store()
	p.client, p.store = client, &kv
	return p, nil
}

func (p *platformAccess) close() {
	if p.client != nil {
		p.client.Close()
	}
}

// hosts reads the host list until ctx ends.
func (p *platformAccess) hosts(ctx context.Context, take func(member.HostList)) {
	if p.settings.HostListURL == "" {
		return
	}
	poller, err := hostlist.New(hostlist.Options{
		URL: p.settings.HostListURL, Interval: p.settings.HostListInterval.Std(), OnRead: take, Log: p.log,
	})
	if err != nil {
		// The settings were checked, so this is a fault of the program.
		p.log.Emit(event.TaskFailed, "duty", "hosts", "error", err)
		return
	}
	// It ends with the context.
	_ = poller.Run(ctx)
}

// known returns the addresses of entries from the settings and the key-value
// service.
func (p *platformAccess) known() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Concat(p.settings.SeedAddresses, p.seeds)
}

// readSeeds reads the entries' addresses from the key-value service until ctx
// ends.
func (p *platformAccess) readSeeds(ctx context.Context) {
	for p.store != nil && ctx.Err() == nil {
		pause := seedsRefresh
		if p.readOnce(ctx) == 0 {
			pause = seedsEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (p *platformAccess) readOnce(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	page, err := p.store.List(ctx, store.SeedPrefix)
	if err != nil {
		return 0
	}
	var seeds []string
	for i := range page.Items {
		seeds = append(seeds, string(page.Items[i].Value))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
	return len(seeds)
}
