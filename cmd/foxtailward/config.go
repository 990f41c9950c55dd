package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/conffile"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

const usageConfig = `The deployment's configuration holds for all processes: the models that are
served, and how recovery, routing and placement behave.

  foxtailward config get > deployment.toml
  foxtailward config put deployment.toml --wait --entry 10.0.0.7:8702`

const usageConfigPut = `Write the deployment's configuration from a TOML file; "-" is the standard
input. What the file leaves out gets its default.

With --wait the command returns when the change is in force everywhere, or says
where it is not, with exit code 6.`

// defaultHistory is how many changes the history shows.
const defaultHistory = 20

func newConfig(o *cli) *cobra.Command {
	return group("config", "Write and read the deployment's configuration", usageConfig,
		newConfigPut(o), newConfigGet(o), newConfigHistory(o))
}

func newConfigPut(o *cli) *cobra.Command {
	var f putFlags
	cmd := &cobra.Command{
		Use:   "put FILE",
		Short: "Write the deployment's configuration from a file",
		Long:  usageConfigPut,
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			d, err := conffile.DecodeDeployment(args[0], data)
			if err != nil {
				return err
			}
			value, err := json.Marshal(d)
			if err != nil {
				return fault.Wrap("config put", invalid, err)
			}
			return o.apply(cmd, &f, confstore.Edit{
				Object: conf.DeploymentObject, Value: value, BaseRevision: f.based(data),
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newConfigGet(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the deployment's configuration as the file to edit",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, repository *confstore.Repository) error {
				change, err := repository.Get(ctx, conf.DeploymentObject, "")
				if fault.Is(err, confstore.NotFound) {
					// Until somebody writes one, the defaults are in force.
					change, err = &conf.Change{Object: conf.DeploymentObject, Value: []byte("{}")}, nil
				}
				if err != nil {
					return err
				}
				return o.printDeployment(cmd.OutOrStdout(), change)
			})
		},
	}
}

func (o *cli) printDeployment(w io.Writer, change *conf.Change) error {
	d := &conf.Deployment{}
	if err := json.Unmarshal(change.Value, d); err != nil {
		return fault.Wrap("cli.printDeployment", invalid, err)
	}
	d.SetDefaults()
	file, err := conffile.EncodeDeployment(d, change.Revision)
	if err != nil {
		return err
	}
	return o.print(w, change, func(w io.Writer) { fmt.Fprint(w, string(file)) })
}

func newConfigHistory(o *cli) *cobra.Command {
	limit := defaultHistory
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the last changes of contracts and configuration, newest first",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, repository *confstore.Repository) error {
				head, err := repository.Head(ctx)
				if err != nil {
					return err
				}
				since := head - id.Revision(min(max(limit, 1), confstore.HistoryLength))
				changes, err := repository.ChangesSince(ctx, max(0, since))
				if err != nil {
					return err
				}
				slices.Reverse(changes)
				return o.print(cmd.OutOrStdout(), changes, historyTable(changes))
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistory, "how many changes to list")
	return cmd
}

func historyTable(changes []conf.Change) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tAT\tAUTHOR\tOBJECT\tNAME\tCHANGE")
		for i := range changes {
			c := &changes[i]
			what := "put"
			if c.Deleted() {
				what = "delete"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", c.Revision, c.At.UTC().Format("2006-01-02 15:04:05Z"),
				orDash(c.Author), c.Object, orDash(string(c.Name)), what)
		}
	}
}
