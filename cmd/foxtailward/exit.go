package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/state/tomlfile"
)

// Exit codes of all subcommands. The help text of the root command explains them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitNotInForce  = 6
)

// kind classifies this package's errors.
type kind string

const (
	// usage means that the command line is invalid.
	usage kind = "usage"
	// unreadable means that a file could not be read.
	unreadable kind = "unreadable"
	// invalid means that a file or a stored value violates a rule.
	invalid kind = "invalid"
)

func usageError(err error) error { return fault.Wrap("cobra", usage, err) }

// checkArgs wraps a check of the arguments so that its errors are usage errors.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return usageError(check(cmd, args))
	}
}

// exitCode returns the process's exit code for an error.
func exitCode(err error) int {
	if strings.HasPrefix(err.Error(), "unknown command") {
		return exitUsage
	}
	if k, ok := fault.KindOf[kind](err); ok {
		switch k {
		case usage:
			return exitUsage
		case invalid:
			return exitInvalid
		}
		return exitFailed
	}
	if isInvalidFile(err) {
		return exitInvalid
	}
	if k, ok := fault.KindOf[confstore.Kind](err); ok {
		return confstoreExitCode(k)
	}
	if _, ok := fault.KindOf[store.Kind](err); ok {
		return exitUnavailable
	}
	return exitFailed
}

func isInvalidFile(err error) bool {
	if _, ok := fault.KindOf[tomlfile.Kind](err); ok {
		return true
	}
	if _, ok := fault.KindOf[contract.Kind](err); ok {
		return true
	}
	return fault.Is(err, settings.Invalid)
}

func confstoreExitCode(k confstore.Kind) int {
	switch k {
	case confstore.Invalid:
		return exitInvalid
	case confstore.Conflict:
		return exitConflict
	case confstore.Unavailable, confstore.Unknown, confstore.Busy:
		return exitUnavailable
	case confstore.NotInForce:
		return exitNotInForce
	default:
		return exitFailed
	}
}

// errorReport is the JSON form of an error, for --output json.
type errorReport struct {
	Error       string                   `json:"error"`
	ExitCode    int                      `json:"exitCode"`
	Differences []confstore.Difference   `json:"differences,omitempty"`
	Behind      []confstore.NodeRevision `json:"behind,omitempty"`
}

// printError prints an error in the given output format.
func printError(w io.Writer, output string, err error) {
	report := errorReport{Error: message(err), ExitCode: exitCode(err)}
	var conflict *confstore.ConflictError
	if errors.As(err, &conflict) {
		report.Differences = conflict.Differences()
	}
	var notInForce *confstore.NotInForceError
	if errors.As(err, &notInForce) {
		report.Behind = notInForce.Nodes
	}
	if output == outputJSON {
		// If standard error is closed, there is no other place for the report.
		_ = json.NewEncoder(w).Encode(&report)
		return
	}
	fmt.Fprintln(w, "foxtailward:", report.Error)
	if conflict != nil {
		printDifferences(w, conflict, report.Differences)
	}
}

func printDifferences(w io.Writer, conflict *confstore.ConflictError, differences []confstore.Difference) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "KEY\tEDITED FROM (%d)\tTHERE NOW (%d)\tWANTED\n", conflict.BaseRevision, conflict.Current.Revision)
	for _, d := range differences {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", d.Key, orDash(d.Base), orDash(d.Current), orDash(d.Wanted))
	}
	// If standard error is closed, there is no other place for the report.
	_ = table.Flush()
	fmt.Fprintf(w, "Nothing was changed. To put your version on top of revision %d, add --from %d.\n",
		conflict.Current.Revision, conflict.Current.Revision)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// message returns the text of an error for operators: the root cause, with the URL
// of a failed HTTP call, but without the names of the operations that wrapped it.
func message(err error) string {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		lines := make([]string, 0, len(joined.Unwrap()))
		for _, e := range joined.Unwrap() {
			lines = append(lines, message(e))
		}
		return strings.Join(lines, "\n")
	}
	cause := eris.Cause(err).Error()
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		cause = urlErr.Error()
	}
	if fault.Is(err, confstore.Unavailable) {
		return "the key-value service does not answer, and nothing was changed: " + cause
	}
	return cause
}
