package main

import (
	"errors"

	"github.com/spf13/cobra"
)

const usageRoot = `foxtailward-lab runs small stand-ins of the platform's services and
experiments with them.

Exit codes:
  0  done
  1  failed
  2  the command line is wrong`

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the command line.
type usageError struct{ error }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailward-lab",
		Long:          usageRoot,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newEngine(), newService(), newStore(), newHosts(), newExpect(), newBench(), newRecover(), newSoak())
	return root
}

// exitCode returns the process's exit code for an error.
func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
