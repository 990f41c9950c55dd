package main

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/direct"
	"foxtailward.example/foxtailward/platform"
)

const usageDirect = `Run an entry that reaches its targets directly, on the users' platform.

It needs no target processes: it reads the operator's configuration and the list
of targets from the platform's store, and forwards requests to any path. On
SIGTERM or SIGINT it reports that it is not ready, lets running requests finish
within its grace time and exits. On SIGHUP it reads the settings again and logs
whether they have changed; changes take effect at the next start.

The file contains name, clients, readiness, operators, metrics, peers, seeds and store, and the
tables place, limits and retries:

  name = "entry-1"
  clients = "10.0.1.2:8740"
  readiness = "10.0.1.2:8749"
  operators = "10.0.1.2:8748"
  metrics = "10.0.1.2:9464"
  peers = "10.0.1.2:7200"
  seeds = ["10.0.2.2:8748"]
  store = "10.200.1.7:8742"

  [place]
  host = "olten-2"
  zone = "olten"
  region = "ch-mittelland"

  [limits]
  memoryMB = 284
  graceSeconds = 8
  addressReuseSeconds = 2

  [retries]
  ratio = 0.8
  slack = 150
  windowSeconds = 10`

// memoryShare is the fraction of limits.memoryMB that is set as the garbage
// collector's soft memory limit.
const memoryShare = 0.7

func newDirect() *cobra.Command {
	return newDaemon("direct", "Run an entry that reaches its targets directly", usageDirect, settings.LoadDirect, runDirect)
}

// runDirect runs an entry until it has drained or its grace time is over.
func runDirect(ctx context.Context, d *daemon, s *settings.Direct) error {
	platform.ApplyContract(s)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.Limits.MemoryMB * (1 << 20)))
	}
	s.Limits.MaxFDs = maxDescriptors(s.Limits.MaxFDs)
	var e *direct.Entry
	kv := platform.NewStore(platform.StoreOptions{
		Address:    s.StoreAddress,
		WatchPause: func(prefix string) time.Duration { return e.WatchPause(prefix) },
		WatchTime:  func() time.Duration { return e.WatchTime() },
		Large:      func(prefix string) func(context.Context) error { return e.LargeAnswer(prefix) },
	})
	e = direct.New(*s, direct.Deps{
		Clock: clockwork.NewRealClock(), Log: d.log, Metrics: metrics.NewRegistry(),
		Store:   kv.Store(),
		Codec:   platformCodec(),
		Dialect: platform.Dialect(),
		Random:  rand.Float64,

		SinceBoot: sinceBoot,
	})
	if err := e.Listen(); err != nil {
		return err
	}
	return d.signals.runUntilStop(ctx, e.Run, func() {})
}

// sinceBoot returns the time since the host booted. The system call can't fail
// for this clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}

func platformCodec() direct.Codec {
	return direct.Codec{
		ConfigPrefix: platform.ConfigPrefix, ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget, ParseTargetID: platform.TargetID,
		RolloutPrefix: platform.RolloutPrefix, DecodeRollout: platform.DecodeRollout, EncodeRolloutStatus: platform.EncodeRolloutStatus,
	}
}
