package main

import (
	"errors"

	"github.com/spf13/cobra"
)

const usageRoot = `foxtailward-lab runs small stand-ins for the platform's engines and services, and
experiments with them.

Exit codes:
  0  success
  1  failure
  2  the command line is invalid`

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks an error as caused by the command line.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailward-lab",
		Long:          usageRoot,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newEngine(), newService(), newStore(), newHosts(), newExpect(), newBench(), newRecover(), newSoak(), newCrashes(), newDays())
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
