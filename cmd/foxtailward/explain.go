package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

const usageExplain = `Say why a request went where it went: each decision about it, oldest first, with
the event's number in docs/EVENTS.md and its reason. The request's id is in the
caller's Foxtailward-Request header.`

func newExplain(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Say why a request went where it went",
		Long:  usageExplain,
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := id.Request(args[0])
			if !request.Valid() {
				return fault.New("explain", usage, "%q is no request id, want one such as ans-00000000-0123456789abcdef", args[0])
			}
			return o.withEntry(cmd, func(ctx context.Context, client *operator.Client) error {
				e, err := client.Explain(ctx, request)
				if err != nil {
					return err
				}
				return o.print(cmd.OutOrStdout(), e, func(w io.Writer) { explainTable(w, e) })
			})
		},
	}
}

func explainTable(w io.Writer, e *status.Explanation) {
	serves := string(e.Model)
	if e.Service != "" {
		serves = string(e.Service)
	}
	fmt.Fprintf(w, "%s of contract %s for %s is %s at entry %s with %d tokens\n\n",
		e.Request, e.Contract, orDash(serves), e.State, e.Owner, e.Tokens)
	fmt.Fprintln(w, "AT\tEVENT\tNAME\tATTEMPT\tTARGET\tREASON\tDETAIL")
	for i := range e.Decisions {
		d := &e.Decisions[i]
		fmt.Fprintf(w, "%s\tF%04d\t%s\t%d\t%s\t%s\t%s\n", d.At.UTC().Format("15:04:05.000Z"),
			d.Event, d.Name, d.Attempt, orDash(string(d.Target)), orDash(d.Reason), d.Detail)
	}
}
