// Command foxtailward serves long generations on model engines and recovers them
// when engines fail. The binary contains the daemons and the operators' command
// line.
//
// # Usage
//
//	foxtailward dev                    a small but complete deployment on this machine
//	foxtailward entry --config FILE    an entry process
//	foxtailward target --config FILE   the process in front of an engine or a plain service
//	foxtailward direct --config FILE   an entry that reaches its targets directly
//	foxtailward contract|config|status|explain|check …
package main

import (
	"os"
)

func main() {
	os.Exit(run(newRoot(), os.Stderr))
}
