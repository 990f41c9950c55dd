package main

import (
	"github.com/spf13/cobra"
)

const usageRoot = `foxtailward serves long generations on engines that fail.`

// Exit codes of every subcommand.
const (
	exitFailed = 1
)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailward",
		Long:          usageRoot,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newVersion())
	root.AddCommand(newTarget())
	return root
}

// exitCode returns the process's exit code for an error.
func exitCode(error) int {
	return exitFailed
}
