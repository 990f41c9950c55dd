package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

// Flags shared by all operator subcommands, and the environment variables that
// give their defaults.
const (
	flagOutput  = "output"
	flagStore   = "store"
	flagEntry   = "entry"
	flagTimeout = "timeout"
	envStore    = "FOXTAILWARD_STORE"
	envEntry    = "FOXTAILWARD_ENTRY"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const (
	defaultTimeout     = 10 * time.Second
	defaultWaitTimeout = 30 * time.Second
)

// cli holds the flags and clients shared by the operator subcommands.
type cli struct {
	output     string
	stores     []string
	entries    []string
	timeout    time.Duration
	clock      clockwork.Clock
	httpClient *http.Client
}

func newCLI() *cli {
	return &cli{clock: clockwork.NewRealClock(), httpClient: &http.Client{}}
}

// addOperatorCommands adds the operator subcommands, each with the shared flags.
func addOperatorCommands(root *cobra.Command, o *cli) {
	commands := []*cobra.Command{newContract(o), newConfig(o), newCheck(o), newStatus(o), newExplain(o)}
	for _, cmd := range commands {
		o.addFlags(cmd)
		cmd.PersistentPreRunE = func(*cobra.Command, []string) error { return o.checkOutput() }
	}
	root.AddCommand(commands...)
}

func (o *cli) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.output, flagOutput, outputTable, "output format: table or json")
	flags.StringSliceVar(&o.stores, flagStore, fromEnv(envStore), "URLs of the key-value service ("+envStore+")")
	flags.StringSliceVar(&o.entries, flagEntry, fromEnv(envEntry), "operator addresses of entries ("+envEntry+")")
	flags.DurationVar(&o.timeout, flagTimeout, defaultTimeout, "time limit for calls to the key-value service or to entries")
}

func (o *cli) checkOutput() error {
	if o.output != outputTable && o.output != outputJSON {
		return fault.New("cli.checkOutput", usage, "--output is %q, want table or json", o.output)
	}
	return nil
}

func fromEnv(name string) []string {
	value := os.Getenv(name)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// withStore calls fn with a repository of the configuration in the key-value
// service, bounded by --timeout.
func (o *cli) withStore(cmd *cobra.Command, fn func(context.Context, *confstore.Repository) error) error {
	if len(o.stores) == 0 {
		return fault.New("cli.withStore", usage, "no URL of a key-value service is given; want --%s URL or %s", flagStore, envStore)
	}
	s, release, err := openStore(o.stores, o.clock)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	return fn(ctx, confstore.New(s, o.clock))
}

// withEntry calls fn with a client of the entries, bounded by --timeout.
func (o *cli) withEntry(cmd *cobra.Command, fn func(context.Context, *operator.Client) error) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	return fn(ctx, client)
}

// client returns a client of the entries given by --entry.
func (o *cli) client() (*operator.Client, error) {
	if len(o.entries) == 0 {
		return nil, fault.New("cli.client", usage, "no address of an entry is given; want --%s ADDR or %s", flagEntry, envEntry)
	}
	return &operator.Client{Addresses: o.entries, HTTP: o.httpClient}, nil
}

// commandContext returns a context that ends after --timeout or at an interrupt.
// An interrupt only cancels the context, so that the command can still report the
// outcome as far as it is known.
func (o *cli) commandContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// print writes v as JSON, or the rows of a table.
func (o *cli) print(w io.Writer, v any, table func(w io.Writer)) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	rows := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(rows)
	return rows.Flush()
}

// newGroup returns a command that only contains subcommands.
func newGroup(use, short, long string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		RunE: func(cmd *cobra.Command, args []string) error {
			names := make([]string, 0, len(cmd.Commands()))
			for _, c := range cmd.Commands() {
				names = append(names, c.Name())
			}
			return fault.New("newGroup", usage, "%s: unknown subcommand %q, want one of %s",
				cmd.CommandPath(), strings.Join(args, " "), strings.Join(names, ", "))
		},
	}
	cmd.AddCommand(commands...)
	return cmd
}

// readFile reads a file named on the command line; "-" is standard input. It
// refuses a file larger than confstore.MaxValueBytes, because the key-value service
// could not store it.
func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	const op = "readFile"
	in := cmd.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, fault.New(op, unreadable, "%v", err)
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, confstore.MaxValueBytes+1))
	if err != nil {
		return nil, fault.New(op, unreadable, "%s: %v", path, err)
	}
	if len(data) > confstore.MaxValueBytes {
		return nil, fault.New(op, invalid, "%s is larger than %d bytes", path, confstore.MaxValueBytes)
	}
	return data, nil
}
