package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/entry"
)

const usageEntry = `Run an entry: the callers' API, the contracts' limits, routing and recovery.

All entries are equal; put any number of them behind a balancer. On SIGTERM or
SIGINT the entry takes no new requests and ends once its answers are whole,
however long that takes; its status page says what it waits for. A second
signal ends it at once, and the log names the work that was cut; the exit code
is then 1.

The file holds name, callers, peers, operators, and the tables place and
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
	var path string
	cmd := &cobra.Command{
		Use:   "entry --config FILE",
		Short: "Run an entry",
		Long:  usageEntry,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			return runEntry(cmd.Context(), s, event.NewWriter(cmd.OutOrStdout(), clockwork.NewRealClock()))
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "the settings file")
	// The flag was just defined, so marking it can't fail.
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// runEntry runs an entry until it has drained or was cut.
func runEntry(ctx context.Context, s *settings.Entry, log *event.Log) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	registry := metrics.NewRegistry()
	way, err := openPlatform(&s.Platform, log, registry)
	if err != nil {
		return err
	}
	defer way.close()
	p := entry.New(*s, entry.Deps{
		Clock: clockwork.NewRealClock(), Log: log, Metrics: registry, Current: conf.NewCurrent(),
		Store: way.store, Hosts: way.hosts, Seeds: func() []string { return s.Platform.Seeds },
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err := p.Listen(); err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	go obeySignals(serving, signals, drain, func() { p.Cut() })
	return p.Run(ctx)
}
