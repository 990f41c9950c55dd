package main

import (
	"io"

	"github.com/spf13/cobra"
)

const usageRoot = `foxtailward serves long generations on model engines and recovers them when
engines fail.

Exit codes of the operator subcommands:
  0  success
  1  failure
  2  the command line is invalid
  3  a file or a value is invalid; nothing was changed
  4  somebody else has changed the object; nothing was changed
  5  the key-value service did not answer; the message tells whether nothing was
     changed or the outcome is unknown
  6  the change was accepted, but is not in force on all nodes yet`

func newRoot() *cobra.Command { return newRootWith(newCLI()) }

// newRootWith returns the root command; its operator subcommands use o.
func newRootWith(o *cli) *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailward",
		Long:          usageRoot,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return usageError(err)
	})
	root.AddCommand(newDev(), newEntry(), newVersion())
	root.AddCommand(newTarget(), newDirect())
	addOperatorCommands(root, o)
	return root
}

// run executes the command line and returns the process's exit code.
func run(root *cobra.Command, stderr io.Writer) int {
	cmd, err := root.ExecuteC()
	if err == nil {
		return 0
	}
	output := ""
	if f := cmd.Flag(flagOutput); f != nil {
		output = f.Value.String()
	}
	printError(stderr, output, err)
	return exitCode(err)
}
