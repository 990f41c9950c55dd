// Command foxtailward-lab runs stand-ins for the platform's engines and services as
// processes, and runs experiments with them.
//
// # Usage
//
//	foxtailward-lab engine|service|store|hosts   run a stand-in
//	foxtailward-lab expect                       print the expected text of an answer
//	foxtailward-lab bench                        measure an engine and an entry
//	foxtailward-lab recover                      measure recovery from engine failures
//	foxtailward-lab soak                         check entries while faults are injected
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newRoot().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "foxtailward-lab:", err)
		os.Exit(exitCode(err))
	}
}
