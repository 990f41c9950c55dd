package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/event"
)

// newDaemon returns the subcommand of a daemon, which run starts with a
// settings file.
func newDaemon(name, short, long string, run func(ctx context.Context, path string, log *event.Log) error) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   name + " --config FILE",
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, closeLog := openLog(cmd.OutOrStdout())
			defer closeLog()
			return run(cmd.Context(), path, log)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "the settings file")
	// The flag was just defined, so marking it can't fail.
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// logCloseTimeout bounds the wait for the last log lines of a process that ends.
const logCloseTimeout = 200 * time.Millisecond

// openLog returns a log that never makes its callers wait, and what writes its
// last lines.
func openLog(w io.Writer) (*event.Log, func()) {
	q := event.NewQueue(w, clockwork.NewRealClock())
	ctx, cancel := context.WithCancel(context.Background())
	go q.Run(ctx)
	return q.Log(), func() {
		cancel()
		select {
		case <-q.Done():
		case <-time.After(logCloseTimeout):
		}
	}
}

// runUntilSignal runs a process until the first signal, which makes it drain.
// A second one cuts its work.
func runUntilSignal(ctx context.Context, run func(context.Context) error, cut func()) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	go obeySignals(serving, signals, drain, cut)
	return run(ctx)
}

// obeySignals drains at the first signal and cuts at the second, until ctx
// ends.
func obeySignals(ctx context.Context, signals <-chan os.Signal, drain, cut func()) {
	for _, obey := range []func(){drain, cut} {
		select {
		case <-signals:
			obey()
		case <-ctx.Done():
			return
		}
	}
}

// onHangup calls reload for each SIGHUP until the function that it returns is
// called.
func onHangup(reload func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				reload()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
