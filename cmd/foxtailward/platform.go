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

// Timing of reads of the entries' addresses from the key-value service.
const (
	// seedRetryInterval is the time between two reads while no address has been
	// found.
	seedRetryInterval = 2 * time.Second
	// seedRefreshInterval is the time between two reads otherwise.
	seedRefreshInterval = 5 * time.Minute
	seedReadTimeout     = 5 * time.Second
)

// platformServices gives a daemon access to the platform's services: the key-value
// service and the host list.
type platformServices struct {
	settings *settings.Platform
	log      *event.Log
	client   *etcd.Client
	store    *store.Store

	mu    sync.Mutex
	seeds []string
}

// openPlatform returns access to the services that the settings name.
func openPlatform(s *settings.Platform, log *event.Log, registry metrics.Registry) (*platformServices, error) {
	p := &platformServices{settings: s, log: log}
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

func (p *platformServices) close() {
	if p.client != nil {
		p.client.Close()
	}
}

// watchHostList reads the host list repeatedly until ctx ends, and calls onRead
// after each successful read. It returns at once if the settings name no host list.
func (p *platformServices) watchHostList(ctx context.Context, onRead func(member.HostList)) {
	if p.settings.HostListURL == "" {
		return
	}
	poller, err := hostlist.New(hostlist.Options{
		URL: p.settings.HostListURL, Interval: p.settings.HostListInterval.Std(), OnRead: onRead, Log: p.log,
	})
	if err != nil {
		// The settings have been validated, so this error is a bug.
		p.log.Emit(event.TaskFailed, "duty", "hosts", "error", err)
		return
	}
	// Run returns only when ctx ends, with the error of ctx.
	_ = poller.Run(ctx)
}

// seedAddresses returns the entries' addresses from the settings and from the
// key-value service.
func (p *platformServices) seedAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Concat(p.settings.SeedAddresses, p.seeds)
}

// readSeeds reads the entries' addresses from the key-value service repeatedly
// until ctx ends.
func (p *platformServices) readSeeds(ctx context.Context) {
	for p.store != nil && ctx.Err() == nil {
		interval := seedRefreshInterval
		if p.readSeedsOnce(ctx) == 0 {
			interval = seedRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// readSeedsOnce returns the number of addresses read, which is 0 if the read failed.
func (p *platformServices) readSeedsOnce(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, seedReadTimeout)
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
