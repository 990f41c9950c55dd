package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

const usageStatus = `Show the deployment as one entry sees it: entries and targets with their states,
the configuration revision in force at each, the requests that a draining process
waits for, and the contracts' use of their limits.`

func newStatus(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show members, revisions, drains and the use of limits",
		Long:  usageStatus,
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withEntry(cmd, func(ctx context.Context, client *operator.Client) error {
				s, err := client.Status(ctx)
				if err != nil {
					return err
				}
				return o.print(cmd.OutOrStdout(), s, func(w io.Writer) { statusTable(w, s) })
			})
		},
	}
}

func statusTable(w io.Writer, s *status.Status) {
	store := "answers"
	if !s.Store.Available {
		store = "does not answer"
	}
	fmt.Fprintf(w, "as entry %s sees it at %s: revision %d, the key-value service %s\n\n",
		s.Entry, s.At.UTC().Format("2006-01-02 15:04:05Z"), s.Revision, store)
	memberTable(w, s)
	drainTable(w, s.Drains)
	limitTable(w, s.Limits)
}

func memberTable(w io.Writer, s *status.Status) {
	fmt.Fprintln(w, "ROLE\tNAME\tSTATE\tZONE\tREVISION\tHEARD\tSERVES\tRUNNING\tQUEUED\tSLOTS")
	for i := range s.Members {
		m := &s.Members[i]
		serves := string(m.Service)
		if m.Model != "" {
			serves = fmt.Sprintf("%s@%s", m.Model, m.Version)
		}
		age := (time.Duration(m.AgeMs) * time.Millisecond).Round(time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s ago\t%s\t%d\t%d\t%d\n",
			m.Role, m.Name, m.State, m.Zone, formatRevision(m.Revision, s.Revision), age, orDash(serves), m.Running, m.Queued, m.Slots)
	}
}

// formatRevision formats a member's revision, and marks it if it is older than the
// entry's.
func formatRevision(revision, current id.Revision) string {
	switch {
	case revision == 0:
		return "unknown"
	case revision < current:
		return fmt.Sprintf("%d (behind)", revision)
	}
	return fmt.Sprint(revision)
}

func drainTable(w io.Writer, drains []status.Drain) {
	if len(drains) == 0 {
		return
	}
	fmt.Fprintln(w, "\nLEAVING\tSINCE\tWAITS FOR\tCONTRACT\tCLASS\tTOKENS\tOF")
	for i := range drains {
		d := &drains[i]
		since := d.Since.UTC().Format("15:04:05Z")
		for _, pending := range d.Pending {
			fmt.Fprintf(w, "%s %s\t%s\t%s\t%s\t%s\t%d\t%d\n",
				d.Role, d.Name, since, pending.Request, pending.Contract, pending.Class, pending.Tokens, pending.MaxTokens)
		}
		if len(d.Pending) == 0 {
			fmt.Fprintf(w, "%s %s\t%s\tnothing\t-\t-\t-\t-\n", d.Role, d.Name, since)
		}
	}
}

func limitTable(w io.Writer, limits []status.LimitUsage) {
	if len(limits) == 0 {
		return
	}
	fmt.Fprintln(w, "\nCONTRACT\tTOKENS/S\tOF\tREQUESTS/S\tOF\tRUNNING\tOF\tSHARE\tREFUSED")
	for i := range limits {
		u := &limits[i]
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%.1f\t%d\t%d\t%d\t%.0f%%\t%d\n", u.Contract,
			u.TokensPerSecond, u.Limits.TokensPerSecond, u.RequestsPerSecond, u.Limits.RequestsPerSecond,
			u.Running, u.Limits.Concurrency, 100*u.Share, u.Refused)
	}
}
