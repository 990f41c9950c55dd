package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/protocol/logfile"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

const usageExplain = `Explain how a request was routed: list the decisions about it, oldest first, each
with its reason and the event's number in docs/EVENTS.md. The request's id is in
the Foxtailward-Request header of the response.

With --log the decisions are read from logs instead. This also works when the
processes no longer run, and for requests of entries that reach their targets
directly; their id is the client's attempt id. --log takes a file name, a pattern
of file names, or - for standard input, and may be given more than once:

  foxtailward explain 9c41d07be2a35f68 --log 'entry-*.log'

An attempt that continues from the copy of another attempt is listed after it.
Times are from each process's own clock.`

// standardInput is the value of --log that means standard input.
const standardInput = "-"

func newExplain(o *cli) *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain how a request was routed",
		Long:  usageExplain,
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return o.explainLogs(cmd, args[0], logs)
			}
			return o.explainRunning(cmd, args[0])
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "search this log instead of asking an entry; - is standard input")
	return cmd
}

// explainRunning requests the decisions about a request from the running entries.
func (o *cli) explainRunning(cmd *cobra.Command, arg string) error {
	requestID := id.Request(arg)
	if !requestID.Valid() {
		return fault.New("explain", usage, "%q is no request id, want one such as ans-00000000-0123456789abcdef; for an attempt id add --log", arg)
	}
	return o.withEntry(cmd, func(ctx context.Context, client *operator.Client) error {
		e, err := client.Explain(ctx, requestID)
		if err != nil {
			return err
		}
		return o.print(cmd.OutOrStdout(), e, func(w io.Writer) { explainTable(w, e) })
	})
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
		fmt.Fprintf(w, "%s\tF%04d\t%s\t%d\t%s\t%s\t%s\n", d.At.UTC().Format(timeFormat),
			d.Event, d.Name, d.Attempt, orDash(string(d.Target)), orDash(d.Reason), d.Detail)
	}
}

// timeFormat is the format of the times of events and decisions.
const timeFormat = "15:04:05.000Z"

// explainLogs reconstructs the history of a request from logs.
func (o *cli) explainLogs(cmd *cobra.Command, request string, names []string) error {
	var lines logfile.Lines
	for _, name := range names {
		read, err := readLogs(cmd.InOrStdin(), name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	trace, ok := lines.Trace(request)
	if !ok {
		return fault.New("explain", unreadable, "no line of the %d that were read tells of request %s", len(lines), request)
	}
	return o.print(cmd.OutOrStdout(), &trace, func(w io.Writer) { traceTable(w, &trace) })
}

// readLogs reads the logs that match a file name or pattern. Each process gets the
// name of its log file.
func readLogs(in io.Reader, name string) (logfile.Lines, error) {
	if name == standardInput {
		return logfile.Read(in, "stdin")
	}
	paths, err := filepath.Glob(name)
	if err != nil {
		return nil, fault.Wrap("explain", usage, err)
	}
	if len(paths) == 0 {
		return nil, fault.New("explain", unreadable, "there is no log %s", name)
	}
	var lines logfile.Lines
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(path string) (logfile.Lines, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap("explain", unreadable, err)
	}
	defer file.Close()
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	return logfile.Read(file, logfile.Process(name))
}

func traceTable(w io.Writer, t *logfile.Trace) {
	fmt.Fprintf(w, "%s: %s", t.Request, t.Outcome)
	if t.Reason != "" {
		fmt.Fprintf(w, ", reason %s", t.Reason)
	}
	fmt.Fprint(w, "\n\n")
	fmt.Fprintln(w, "AT\tPROCESS\tREQUEST\tEVENT\tNAME\tDETAIL")
	for i := range t.Attempts {
		a := &t.Attempts[i]
		for j := range a.Lines {
			line := &a.Lines[j]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", line.At.UTC().Format(timeFormat), a.Process,
				orDash(line.Get("request")), line.Event, line.Name, line.Detail("request"))
		}
	}
}
