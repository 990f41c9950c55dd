// Command foxtailward serves long generations on engines that fail. One binary
// holds the daemons and the operators' command line.
//
// # Usage
//
//	foxtailward dev                    all of it on this machine
//	foxtailward entry --config FILE    an entry process
//	foxtailward target --config FILE   a process beside a target
//	foxtailward contract|config|status|explain|check …
package main

import (
	"os"
)

func main() {
	os.Exit(run(newRoot(), os.Stderr))
}
