package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/placement"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	operatorpage "foxtailward.example/foxtailward/internal/transport/operator"
	"foxtailward.example/foxtailward/internal/transport/target"
)

const usageTarget = `Run the process beside a model engine or a plain service.

All requests to the target go through this process. On SIGTERM or SIGINT it
accepts no new work and exits once its running work is complete, however long
that takes; its status page lists the work that it waits for. A second signal
ends it at once: the log names the work that was aborted, and the exit code is 1.
On SIGHUP it reads the settings again and logs whether they have changed; changes
take effect at the next start.

The file contains name, peers and operators, and the tables place, platform, and
either engine or service:

  name = "report-1"
  peers = "10.0.1.7:8710"
  operators = "10.0.1.7:8711"

  [place]
  host = "olten-7"
  zone = "olten"
  region = "ch-mittelland"

  [engine]
  url = "http://127.0.0.1:8000"
  model = "report"
  version = "2026-11"
  slots = 64
  fences = true`

// targetLinger is how long a draining target process without work keeps refusing
// new work before it exits. By then every report that called the target ready has
// expired (member.DefaultReportTTL), so that entries no longer send work to it.
const targetLinger = 3 * time.Second

func newTarget() *cobra.Command {
	return newDaemon("target", "Run the process beside a target", usageTarget, settings.LoadTarget, runTarget)
}

// runTarget runs a target process until it has drained or is aborted.
func runTarget(ctx context.Context, d *daemon, s *settings.Target) error {
	registry := metrics.NewRegistry()
	services, err := openPlatform(&s.Platform, d.log, registry)
	if err != nil {
		return err
	}
	defer services.close()
	guard := newGuard(d.log)
	deps := targetDeps(services, d.log, registry)
	deps.Guard = guard
	p := target.New(*s, deps)
	if err := p.Listen(); err != nil {
		return err
	}
	operators := operatorpage.New(operatorpage.Options{
		Ready: func() error { return targetReady(p) }, Status: func() any { return p.Status() }, Metrics: registry, Guard: guard,
	})
	if err := operators.Listen(s.OperatorAddress); err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go services.readSeeds(serving)
	served := make(chan error, 1)
	go func() { served <- operators.Run(serving, s.OperatorAddress) }()
	err = d.signals.runUntilStop(ctx, p.Run, func() { p.Abort() })
	stop()
	return errors.Join(err, <-served)
}

func targetDeps(services *platformServices, log *event.Log, registry metrics.Registry) target.Deps {
	current := conf.NewCurrent()
	deps := target.Deps{
		Clock: clockwork.NewRealClock(), Log: log, Metrics: registry, Linger: targetLinger,
		Snapshot: current.Snapshot,
		Gossip: &target.GossipConfig{
			Seeds: services.seedAddresses, Current: current, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	if services.store != nil {
		deps.MinFence = func(ctx context.Context) (id.Fence, error) { return placement.MinFence(ctx, services.store) }
	}
	return deps
}

// targetReady returns an error if the target process accepts no work.
func targetReady(p *target.Process) error {
	if state := p.Report().State; state != member.Ready {
		return errors.New("the target is " + string(state))
	}
	return nil
}
