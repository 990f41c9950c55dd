package main

import (
	"context"
	"io"
	"reflect"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/event"
)

// daemon is a process that serves until a signal stops it.
type daemon struct {
	log     *event.Log
	signals *daemonSignals
}

// newDaemon returns a subcommand that reads a settings file and calls run with the settings.
func newDaemon[S any](name, short, long string, load func(path string) (*S, error), run func(ctx context.Context, d *daemon, s *S) error) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   name + " --config FILE",
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := &daemon{signals: catchSignals()}
			log, closeLog := openLog(cmd.OutOrStdout())
			defer closeLog()
			d.log = log
			s, err := load(path)
			if err != nil {
				return err
			}
			go d.signals.onHangup(func() { reload(path, s, load, log) })
			return run(cmd.Context(), d, s)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "path of the settings file")
	// The flag was just defined, so marking it can't fail.
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// reload reads the settings again, and logs either an error or whether they differ
// from the running ones. They are not applied, because the settings of a running
// process never change.
func reload[S any](path string, running *S, load func(path string) (*S, error), log *event.Log) {
	s, err := load(path)
	if err != nil {
		log.Emit(event.SettingsRead, "error", err)
		return
	}
	log.Emit(event.SettingsRead, "changed", !reflect.DeepEqual(s, running))
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
