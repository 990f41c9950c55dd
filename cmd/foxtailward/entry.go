package main

import (
	"context"
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/entry"
)

const usageEntry = `Run an entry. It serves the callers' API, enforces the contracts' limits, routes
requests and recovers answers from failures.

All entries are equal; run any number of them behind a load balancer. On SIGTERM
or SIGINT the entry accepts no new requests and exits once its running answers
are complete, however long that takes; its status page lists the requests that
it waits for. A second signal ends it at once: the log names the work that was
aborted, and the exit code is 1. On SIGHUP it reads the settings again and logs
whether they have changed; changes take effect at the next start.

The file contains name, callers, peers and operators, and the tables place and
platform:

  name = "entry-1"
  callers = "10.0.1.2:8700"
  peers = "10.0.1.2:8701"
  operators = "10.0.1.2:8702"

  [place]
  host = "olten-2"
  zone = "olten"
  region = "ch-mittelland"

  [platform]
  stores = ["http://10.0.0.5:2379"]
  hostList = "http://10.0.0.6:8080/hosts"`

func newEntry() *cobra.Command {
	return newDaemon("entry", "Run an entry", usageEntry, settings.LoadEntry, runEntry)
}

// runEntry runs an entry until it has drained or is aborted.
func runEntry(ctx context.Context, d *daemon, s *settings.Entry) error {
	registry := metrics.NewRegistry()
	services, err := openPlatform(&s.Platform, d.log, registry)
	if err != nil {
		return err
	}
	defer services.close()
	p := entry.New(*s, entry.Deps{
		Clock: clockwork.NewRealClock(), Log: d.log, Metrics: registry, Current: conf.NewCurrent(), Guard: newGuard(d.log),
		Store: services.store, WatchHostList: services.watchHostList, Seeds: func() []string { return s.Platform.SeedAddresses },
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err := p.Listen(); err != nil {
		return err
	}
	return d.signals.runUntilStop(ctx, p.Run, func() { p.Abort() })
}
