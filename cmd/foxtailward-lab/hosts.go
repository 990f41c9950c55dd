package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/standin/hostlist"
	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/id"
)

const usageHosts = `hosts runs a stand-in for the platform's host list until it is interrupted. The
first line that it prints is "listening on ADDR"; GET / reads the list.

Change it over HTTP, for instance:
  curl -X PUT -d '{"state":"leaving"}' http://ADDR/hosts/host-1
  curl -X DELETE http://ADDR/hosts/host-1
  curl -d '{"kind":"lag","millis":3000}' http://ADDR/faults
Kinds of faults: lag (millis), outage, resume.`

func newHosts() *cobra.Command {
	var listen string
	var lag time.Duration
	var hosts []string
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "Run a stand-in host list",
		Long:  usageHosts,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := listOf(hosts)
			if err != nil {
				return usageError{err}
			}
			list.SetLag(lag)
			s, err := server.New(listen, list.Handler())
			if err != nil {
				return err
			}
			defer s.Close()
			return serveUntilStopped(cmd, s.Address())
		},
	}
	addListen(cmd, &listen)
	cmd.Flags().DurationVar(&lag, "lag", 0, "how old the served list is")
	cmd.Flags().StringSliceVar(&hosts, "host", nil, "a live host on the list; may be given several times")
	return cmd
}

func listOf(hosts []string) (*hostlist.List, error) {
	list := hostlist.New(nil)
	for _, h := range hosts {
		if h == "" {
			return nil, fmt.Errorf("--host needs a name")
		}
		list.Set(id.Host(h), member.HostLive)
	}
	return list, nil
}
