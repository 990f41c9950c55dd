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

const usageConfig = `The deployment's configuration applies to all processes. It lists the models that
are served, and sets how recovery, routing and placement behave.

  foxtailward config get > deployment.toml
  foxtailward config put deployment.toml --wait --entry 10.0.0.7:8702`

const usageConfigPut = `Write the deployment's configuration from a TOML file; "-" is standard input.
Keys that the file omits get their defaults.

With --wait the command returns once the change is in force on all nodes. If that
takes longer than --wait-timeout, it lists the nodes where the change is not in
force and exits with code 6.`

// defaultHistoryLimit is the number of changes that config history lists by
// default.
const defaultHistoryLimit = 20

func newConfig(o *cli) *cobra.Command {
	return newGroup("config", "Write and read the deployment's configuration", usageConfig,
		newConfigPut(o), newConfigGet(o), newConfigHistory(o))
}

func newConfigPut(o *cli) *cobra.Command {
	var f putFlags
	cmd := &cobra.Command{
		Use:   "put FILE",
		Short: "Write the deployment's configuration from a file",
		Long:  usageConfigPut,
		Args:  checkArgs(cobra.ExactArgs(1)),
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
				Object: conf.DeploymentObject, Value: value, BaseRevision: f.baseRevision(data),
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newConfigGet(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the deployment's configuration as a file that can be edited",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, repository *confstore.Repository) error {
				change, err := repository.Get(ctx, conf.DeploymentObject, "")
				if fault.Is(err, confstore.NotFound) {
					// The defaults are in force until a configuration is written.
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
	limit := defaultHistoryLimit
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the latest changes to contracts and configuration, newest first",
		Args:  checkArgs(cobra.NoArgs),
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
	cmd.Flags().IntVar(&limit, "limit", defaultHistoryLimit, "number of changes to list")
	return cmd
}

func historyTable(changes []conf.Change) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tAT\tAUTHOR\tOBJECT\tNAME\tCHANGE")
		for i := range changes {
			c := &changes[i]
			operation := "put"
			if c.Deleted() {
				operation = "delete"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", c.Revision, c.At.UTC().Format("2006-01-02 15:04:05Z"),
				orDash(c.Author), c.Object, orDash(string(c.Name)), operation)
		}
	}
}
