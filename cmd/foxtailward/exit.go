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

// Exit codes of every subcommand. The root's usage explains them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitNotInForce  = 6
)

// kind is the kind of this package's errors.
type kind string

const (
	// usage means that the command line is wrong.
	usage kind = "usage"
	// unreadable means that a file could not be read.
	unreadable kind = "unreadable"
	// invalid means that a file breaks a rule.
	invalid kind = "invalid"
)

func wrongUsage(err error) error { return fault.Wrap("cobra", usage, err) }

// args makes the error of a check of arguments one of usage.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return wrongUsage(check(cmd, args))
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
	if isWrongFile(err) {
		return exitInvalid
	}
	if k, ok := fault.KindOf[confstore.Kind](err); ok {
		return confstoreCode(k)
	}
	if _, ok := fault.KindOf[store.Kind](err); ok {
		return exitUnavailable
	}
	return exitFailed
}

func isWrongFile(err error) bool {
	if _, ok := fault.KindOf[tomlfile.Kind](err); ok {
		return true
	}
	if _, ok := fault.KindOf[contract.Kind](err); ok {
		return true
	}
	return fault.Is(err, settings.Invalid)
}

func confstoreCode(k confstore.Kind) int {
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

// failure is an error as --output json shows it.
type failure struct {
	Error       string                   `json:"error"`
	ExitCode    int                      `json:"exitCode"`
	Differences []confstore.Difference   `json:"differences,omitempty"`
	Behind      []confstore.NodeRevision `json:"behind,omitempty"`
}

// printError says why a command failed, in the form that was asked for.
func printError(w io.Writer, output string, err error) {
	f := failure{Error: message(err), ExitCode: exitCode(err)}
	var clash *confstore.ConflictError
	if errors.As(err, &clash) {
		f.Differences = clash.Differences()
	}
	var missing *confstore.NotInForceError
	if errors.As(err, &missing) {
		f.Behind = missing.Nodes
	}
	if output == outputJSON {
		// There is nobody else to tell when the error stream is closed.
		_ = json.NewEncoder(w).Encode(&f)
		return
	}
	fmt.Fprintln(w, "foxtailward:", f.Error)
	if clash != nil {
		printDifferences(w, clash, f.Differences)
	}
}

func printDifferences(w io.Writer, clash *confstore.ConflictError, differences []confstore.Difference) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "KEY\tEDITED FROM (%d)\tTHERE NOW (%d)\tWANTED\n", clash.BaseRevision, clash.Current.Revision)
	for _, d := range differences {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", d.Key, orDash(d.Base), orDash(d.Current), orDash(d.Wanted))
	}
	// There is nobody else to tell when the error stream is closed.
	_ = table.Flush()
	fmt.Fprintf(w, "Nothing was changed. To put your version on top of revision %d, add --from %d.\n",
		clash.Current.Revision, clash.Current.Revision)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// message returns what an operator needs of an error, without the way it took
// through the code.
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
	var call *url.Error
	if errors.As(err, &call) {
		cause = call.Error()
	}
	if fault.Is(err, confstore.Unavailable) {
		return "the key-value service does not answer, and nothing was changed: " + cause
	}
	return cause
}
