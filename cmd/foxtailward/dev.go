package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/state/event"
)

const usageDev = `dev runs a whole small deployment in this process, on loopback: stand-in engines
and services with the target processes beside them, and two entries. It needs
nothing else. It ends with an interrupt.

With --kill-after N the engine that carries the first long answer dies once N
tokens have left it. The answer goes on at another engine.`

// devFlags are the flags of dev.
type devFlags struct {
	listen    string
	listen2   string
	killAfter int
	log       bool
}

// devReadyTimeout bounds the start of the deployment.
const devReadyTimeout = 20 * time.Second

func newDev() *cobra.Command {
	flags := &devFlags{}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small deployment on this machine",
		Long:  usageDev,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runDev(ctx, flags, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&flags.listen, "listen", "127.0.0.1:8700", "where the first entry listens for callers")
	cmd.Flags().StringVar(&flags.listen2, "listen2", "127.0.0.1:8701", "where the second entry listens for callers")
	cmd.Flags().IntVar(&flags.killAfter, "kill-after", 0, "kill the engine of the first long answer after this many tokens; 0 kills none")
	cmd.Flags().BoolVar(&flags.log, "log", false, "write the log events to standard error")
	return cmd
}

func runDev(ctx context.Context, flags *devFlags, out, logs io.Writer) error {
	if flags.killAfter < 0 {
		return fmt.Errorf("--kill-after is %d, want 0 or more", flags.killAfter)
	}
	opts := deployment.Sample(flags.listen, flags.listen2)
	if flags.log {
		opts.Log = event.NewLogfmtLog(logs, clockwork.NewRealClock())
	}
	d, err := deployment.Start(opts)
	if err != nil {
		return err
	}
	defer d.Close()
	ready, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	if err := d.WaitReady(ready); err != nil {
		return err
	}
	if flags.killAfter > 0 {
		go d.CrashFirst(ctx, deployment.SampleModel, flags.killAfter)
	}
	printDev(out, d)
	<-ctx.Done()
	return nil
}

func printDev(out io.Writer, d *deployment.Deployment) {
	for _, e := range d.Entries {
		fmt.Fprintf(out, "callers reach an entry at %s, operators at http://%s/status\n", e.URL(), e.Process.OperatorAddress())
	}
	fmt.Fprintf(out, `
models report (contract staplerdienst, key dev-staplerdienst)
       easy-read (contract belediye, key dev-belediye)

Ask for a report:

curl -sN %s/v1/completions -H 'Authorization: Bearer dev-staplerdienst' \
  -d '{"model":"report","prompt":"Truck 7: mast chain jumps","max_tokens":400,"stream":true}'

Order a part; the order runs once, however often it is sent with its key and through which entry:

curl -s %s/v1/services/floor/orders -H 'Authorization: Bearer dev-staplerdienst' \
  -H 'Idempotency-Key: order-4711' -d '{"part":"mast chain","truck":7}'

`, d.Entries[0].URL(), d.Entries[1].URL())
}
