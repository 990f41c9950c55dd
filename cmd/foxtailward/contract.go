package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/conffile"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

const usageContract = `A contract states which models and services one customer may use, and the class
and the limits of the customer's requests.

To change one, edit the output of "contract get" and write it back with "contract
put". The file contains the revision at which it was read, so that a concurrent
change by somebody else is detected:

  foxtailward contract get staplerdienst > staplerdienst.toml
  foxtailward contract put staplerdienst.toml --wait --entry 10.0.0.7:8702`

const usageContractPut = `Write a contract from a TOML file; "-" is standard input.

The change is applied completely or not at all. If somebody else has changed the
contract since the file was read, nothing is changed, the differences are shown,
and the exit code is 4.`

func newContract(o *cli) *cobra.Command {
	return newGroup("contract", "Write and read contracts", usageContract,
		newContractPut(o), newContractGet(o), newContractList(o), newContractDelete(o), newContractKey(o))
}

func newContractPut(o *cli) *cobra.Command {
	var f putFlags
	cmd := &cobra.Command{
		Use:   "put FILE",
		Short: "Write a contract from a file",
		Long:  usageContractPut,
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			c, err := conffile.DecodeContract(args[0], data)
			if err != nil {
				return err
			}
			value, err := json.Marshal(c)
			if err != nil {
				return fault.Wrap("contract put", invalid, err)
			}
			return o.apply(cmd, &f, confstore.Edit{
				Object: conf.ContractObject, Name: c.Name, Value: value, BaseRevision: f.baseRevision(data),
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newContractDelete(o *cli) *cobra.Command {
	var f putFlags
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a contract; its running requests still finish",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.apply(cmd, &f, confstore.Edit{
				Object: conf.ContractObject, Name: id.Contract(args[0]), BaseRevision: f.baseRevision(nil),
			})
		},
	}
	f.add(cmd)
	return cmd
}

func newContractGet(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "get NAME",
		Short: "Print a contract as a file that can be edited",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.withStore(cmd, func(ctx context.Context, repository *confstore.Repository) error {
				change, err := repository.Get(ctx, conf.ContractObject, id.Contract(args[0]))
				if err != nil {
					return err
				}
				c, err := decodeContract(change)
				if err != nil {
					return err
				}
				file, err := conffile.EncodeContract(c, change.Revision)
				if err != nil {
					return err
				}
				return o.print(cmd.OutOrStdout(), change, func(w io.Writer) { fmt.Fprint(w, string(file)) })
			})
		},
	}
}

func decodeContract(change *conf.Change) (*contract.Contract, error) {
	c := &contract.Contract{}
	if err := json.Unmarshal(change.Value, c); err != nil {
		return nil, fault.Wrap("decodeContract", invalid, err)
	}
	return c, nil
}

// contractRow is one row of contract list.
type contractRow struct {
	Name     id.Contract       `json:"name"`
	Revision id.Revision       `json:"revision"`
	Contract contract.Contract `json:"contract"`
}

func newContractList(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the contracts",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withStore(cmd, func(ctx context.Context, repository *confstore.Repository) error {
				changes, err := repository.Contracts(ctx)
				if err != nil {
					return err
				}
				rows := make([]contractRow, 0, len(changes))
				for i := range changes {
					c, err := decodeContract(&changes[i])
					if err != nil {
						return err
					}
					rows = append(rows, contractRow{Name: c.Name, Revision: changes[i].Revision, Contract: *c})
				}
				return o.print(cmd.OutOrStdout(), rows, contractTable(rows))
			})
		},
	}
}

func contractTable(rows []contractRow) func(io.Writer) {
	return func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tREVISION\tCLASS\tMODELS\tSERVICES\tTOKENS/S\tREQUESTS/S\tCONCURRENCY\tANSWER TOKENS\tPREFER")
		for _, r := range rows {
			c := &r.Contract
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", r.Name, r.Revision, c.Class,
				joinNames(c.Models, func(m id.Model) string { return string(m) }),
				joinNames(c.Services, func(s contract.Service) string { return string(s.Name) }),
				c.Limits.TokensPerSecond, c.Limits.RequestsPerSecond, c.Limits.Concurrency,
				c.Limits.AnswerTokens, c.Recovery.Prefer)
		}
	}
}

func joinNames[T any](values []T, name func(T) string) string {
	names := make([]string, len(values))
	for i, v := range values {
		names[i] = name(v)
	}
	return orDash(strings.Join(names, ","))
}
