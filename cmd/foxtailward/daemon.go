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

// newDaemon returns a subcommand that calls run with the path of a settings file
// and a log.
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
	cmd.Flags().StringVar(&path, "config", "", "path of the settings file")
	// The flag was just defined, so marking it can't fail.
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// logCloseTimeout bounds the time that an ending process waits for its queued log
// lines to be written.
const logCloseTimeout = 200 * time.Millisecond

// openLog returns a log that never blocks its callers, and a function that closes
// it after it has waited up to logCloseTimeout for the queued lines to be written.
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

// runUntilSignal runs a process. The first SIGTERM or interrupt makes it drain; a
// second one calls abort.
func runUntilSignal(ctx context.Context, run func(context.Context) error, abort func()) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	go handleSignals(serving, signals, drain, abort)
	return run(ctx)
}

// handleSignals calls drain at the first signal and abort at the second, until ctx
// ends.
func handleSignals(ctx context.Context, signals <-chan os.Signal, drain, abort func()) {
	for _, handle := range []func(){drain, abort} {
		select {
		case <-signals:
			handle()
		case <-ctx.Done():
			return
		}
	}
}

// onHangup calls reload for each SIGHUP until the returned function is called.
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
