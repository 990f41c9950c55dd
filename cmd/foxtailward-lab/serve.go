package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// anyLoopbackPort lets the operating system choose a free port on loopback.
const anyLoopbackPort = "127.0.0.1:0"

// serveUntilDone prints the address on which a stand-in listens, and waits until the
// command's context ends.
func serveUntilDone(cmd *cobra.Command, address string) error {
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), "listening on", address); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

// addListen adds the --listen flag, which all stand-ins have.
func addListen(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", anyLoopbackPort, "address to listen on, as host:port; port 0 chooses a free port")
}
