package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// anyPort lets the machine choose a free port of loopback.
const anyPort = "127.0.0.1:0"

// serveUntilStopped prints the address of a stand-in that listens and waits
// for the end of the command's context.
func serveUntilStopped(cmd *cobra.Command, address string) error {
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), "listening on", address); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

// addListen adds the flag that all stand-ins share.
func addListen(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", anyPort, "where to listen, as host:port; port 0 takes a free one")
}
