package main

import (
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/store"
)

const usageStore = `store runs a stand-in for the platform's key-value service until it is
interrupted. It keeps its keys in memory and speaks the etcd v3 JSON gateway.
The first line that it prints is "listening on ADDR".

Faults are injected over HTTP, for instance:
  curl -d '{"kind":"outage","millis":5000}' http://ADDR/faults
Kinds: latency (millis), outage (millis; it ends by itself), hang, resume,
loseAnswers, loseRequests and holdWrites (count), releaseWrites, cutWatches,
compact (revision; 0 for the newest), lapseLeases. GET /stats counts the calls by
kind.`

func newStore() *cobra.Command {
	var opts store.Options
	var listen string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in key-value service",
		Long:  usageStore,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := store.Listen(listen, opts)
			if err != nil {
				return err
			}
			defer s.Close()
			return serveUntilDone(cmd, s.Address())
		},
	}
	addListen(cmd, &listen)
	cmd.Flags().DurationVar(&opts.Latency, "latency", 0, "duration of each call")
	return cmd
}
