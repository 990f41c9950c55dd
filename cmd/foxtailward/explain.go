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

const usageExplain = `Say why a request went where it went: each decision about it, oldest first, with
the event's number in docs/EVENTS.md and its reason. The request's id is in the
caller's Foxtailward-Request header.

With --log the story is found in logs instead, also when the processes are gone,
and for requests of entries that reach their targets directly; the id is then the
client's attempt id. --log names files, or - for standard input, and may be given
more than once:

  foxtailward explain 9c41d07be2a35f68 --log 'entry-*.log'

Attempts that went on from another one's copy are told after it. Times are those
of each process's own clock.`

// standardInput stands for standard input among the names of logs.
const standardInput = "-"

func newExplain(o *cli) *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Say why a request went where it went",
		Long:  usageExplain,
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return o.explainLogs(cmd, args[0], logs)
			}
			return o.explainRunning(cmd, args[0])
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "search these logs in place of asking an entry; - is standard input")
	return cmd
}

// explainRunning asks an entry that is running.
func (o *cli) explainRunning(cmd *cobra.Command, name string) error {
	request := id.Request(name)
	if !request.Valid() {
		return fault.New("explain", usage, "%q is no request id, want one such as ans-00000000-0123456789abcdef; for an attempt id add --log", name)
	}
	return o.withEntry(cmd, func(ctx context.Context, client *operator.Client) error {
		e, err := client.Explain(ctx, request)
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
		fmt.Fprintf(w, "%s\tF%04d\t%s\t%d\t%s\t%s\t%s\n", d.At.UTC().Format(clockFormat),
			d.Event, d.Name, d.Attempt, orDash(string(d.Target)), orDash(d.Reason), d.Detail)
	}
}

// clockFormat is how times of a story are shown.
const clockFormat = "15:04:05.000Z"

// explainLogs searches logs.
func (o *cli) explainLogs(cmd *cobra.Command, request string, names []string) error {
	var lines logfile.Lines
	for _, name := range names {
		more, err := readLogs(cmd.InOrStdin(), name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	story, ok := lines.Trace(request)
	if !ok {
		return fault.New("explain", unreadable, "no line of the %d that were read tells of request %s", len(lines), request)
	}
	return o.print(cmd.OutOrStdout(), &story, func(w io.Writer) { storyTable(w, &story) })
}

// readLogs reads the logs that a name or a pattern stands for. A process is
// called like its file.
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
		more, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
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

func storyTable(w io.Writer, s *logfile.Trace) {
	fmt.Fprintf(w, "%s: %s", s.Request, s.Outcome)
	if s.Reason != "" {
		fmt.Fprintf(w, ", reason %s", s.Reason)
	}
	fmt.Fprint(w, "\n\n")
	fmt.Fprintln(w, "AT\tPROCESS\tREQUEST\tEVENT\tNAME\tDETAIL")
	for i := range s.Attempts {
		c := &s.Attempts[i]
		for j := range c.Lines {
			line := &c.Lines[j]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", line.At.UTC().Format(clockFormat), c.Process,
				orDash(line.Get("request")), line.Event, line.Name, line.Detail("request"))
		}
	}
}
