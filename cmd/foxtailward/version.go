package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// version is the version of the next release; releases set it in a commit.
const version = "0.1.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "foxtailward", version)
			return err
		},
	}
}
