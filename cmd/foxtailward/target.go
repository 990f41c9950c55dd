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

The process is the only road to its target. On SIGTERM or SIGINT it takes no
new work and ends once its running work is done, however long that takes; its
status page says what it waits for. A second signal ends it at once, and the
log names the work that was cut; the exit code is then 1.

The file holds name, peers, operators, and the tables place, platform, and
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

// targetLinger is how long a target process that has no work still refuses
// new work. Reports of it are older than they may be by then.
const targetLinger = 3 * time.Second

func newTarget() *cobra.Command {
	return newDaemon("target", "Run the process beside a target", usageTarget, func(ctx context.Context, path string, log *event.Log) error {
		s, err := settings.LoadTarget(path)
		if err != nil {
			return err
		}
		return runTarget(ctx, s, log)
	})
}

// runTarget runs a target process until it has drained or was cut.
func runTarget(ctx context.Context, s *settings.Target, log *event.Log) error {
	registry := metrics.NewRegistry()
	way, err := openPlatform(&s.Platform, log, registry)
	if err != nil {
		return err
	}
	defer way.close()
	p := target.New(*s, targetDeps(way, log, registry))
	if err := p.Listen(); err != nil {
		return err
	}
	page := operatorpage.New(operatorpage.Options{
		Ready: func() error { return targetReady(p) }, Status: func() any { return p.Status() }, Metrics: registry,
	})
	if err := page.Listen(s.OperatorAddress); err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go way.readSeeds(serving)
	served := make(chan error, 1)
	go func() { served <- page.Run(serving, s.OperatorAddress) }()
	err = runUntilSignal(ctx, p.Run, func() { p.Abort() })
	stop()
	return errors.Join(err, <-served)
}

func targetDeps(way *platformAccess, log *event.Log, registry metrics.Registry) target.Deps {
	current := conf.NewCurrent()
	deps := target.Deps{
		Clock: clockwork.NewRealClock(), Log: log, Metrics: registry, Linger: targetLinger,
		Snapshot: current.Snapshot,
		Gossip: &target.GossipConfig{
			Seeds: way.known, Current: current, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	if way.store != nil {
		deps.MinFence = func(ctx context.Context) (id.Fence, error) { return placement.MinFence(ctx, way.store) }
	}
	return deps
}

// targetReady returns why a target process takes no work; nil when it does.
func targetReady(p *target.Process) error {
	if state := p.Report().State; state != member.Ready {
		return errors.New("the target is " + string(state))
	}
	return nil
}
