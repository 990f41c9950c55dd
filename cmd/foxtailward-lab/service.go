package main

import (
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/service"
	"foxtailward.example/foxtailward/internal/state/id"
)

const usageService = `service runs a stand-in for a plain service until it is interrupted. It takes
any call, such as POST /orders, GET /parts/{id} and GET /status. The first line
that it prints is "listening on ADDR".

Faults come over HTTP and hit the next call, for instance:
  curl -d '{"kind":"dieDuring"}' http://ADDR/faults
Kinds: dieBefore, dieDuring, dieAfter, loseReply, refuse; and at once: die, slow
(millis). GET /stats shows how often each request and each body ran.`

func newService() *cobra.Command {
	var opts service.Options
	var listen, name string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in plain service",
		Long:  usageService,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Name = id.Service(name)
			s, err := service.Listen(listen, opts)
			if err != nil {
				return err
			}
			defer s.Close()
			return serveUntilStopped(cmd, s.Address())
		},
	}
	addListen(cmd, &listen)
	cmd.Flags().StringVar(&name, "name", "floor", "the service's name")
	cmd.Flags().DurationVar(&opts.CallDuration, "cost", 0, "time of one call")
	return cmd
}
