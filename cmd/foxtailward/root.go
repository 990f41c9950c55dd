package main

import (
	"io"

	"github.com/spf13/cobra"
)

const usageRoot = `foxtailward serves long generations on engines that fail.

Exit codes of the operators' subcommands:
  0  done
  1  failed
  2  the command line is wrong
  3  a file or a value is wrong; nothing was changed
  4  somebody else changed the object; nothing was changed
  5  the key-value service did not answer; the message says whether it is known
     that nothing was changed
  6  the change was accepted and is not in force everywhere yet`

func newRoot() *cobra.Command { return newRootWith(newCLI()) }

// newRootWith returns the root with the operators' subcommands of o.
func newRootWith(o *cli) *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailward",
		Long:          usageRoot,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return wrongUsage(err)
	})
	root.AddCommand(newDev(), newEntry(), newVersion())
	root.AddCommand(newTarget(), newDirect())
	addOperatorCommands(root, o)
	return root
}

// run carries out the command line and returns the process's exit code.
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
