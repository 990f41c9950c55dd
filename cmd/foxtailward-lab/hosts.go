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
first line that it prints is "listening on ADDR"; GET / returns the list.

The list is changed and faults are injected over HTTP, for instance:
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
			list, err := newHostList(hosts)
			if err != nil {
				return usageError{err}
			}
			list.SetLag(lag)
			s, err := server.New(listen, list.Handler())
			if err != nil {
				return err
			}
			defer s.Close()
			return serveUntilDone(cmd, s.Address())
		},
	}
	addListen(cmd, &listen)
	cmd.Flags().DurationVar(&lag, "lag", 0, "age of the served list")
	cmd.Flags().StringSliceVar(&hosts, "host", nil, "name of a live host in the list; may be repeated")
	return cmd
}

func newHostList(hosts []string) (*hostlist.List, error) {
	list := hostlist.New(nil)
	for _, h := range hosts {
		if h == "" {
			return nil, fmt.Errorf("--host is empty, want the name of a host")
		}
		list.Set(id.Host(h), member.HostLive)
	}
	return list, nil
}
