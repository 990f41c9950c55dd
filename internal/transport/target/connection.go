package target

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// Times and sizes of the connections between an entry and a target process.
const (
	// pingEvery is how long a connection may be silent before it is probed.
	// grpc raises a client's shorter time to 10 s; a stalled stream is found
	// sooner by its tokens.
	pingEvery = 10 * time.Second
	// pingTimeout is how long a probe may go unanswered.
	pingTimeout = 3 * time.Second
	// minPingEvery is how often a client may probe.
	minPingEvery = 5 * time.Second
	// MaxMessageBytes bounds a message. The largest are what Find returns and
	// a prefix.
	MaxMessageBytes = 16 << 20
)

// ServerOptions are the options of a server of other processes. With them a
// half-open connection ends within 13 s.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minPingEvery, PermitWithoutStream: true,
		}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
	}
}

// DialOptions are the options of a client of other processes. They leave out
// the transport's credentials.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: pingEvery, Timeout: pingTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		// A request is repeated by the entry alone, which knows what it may
		// repeat.
		grpc.WithDisableRetry(),
	}
}
