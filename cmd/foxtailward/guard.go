package main

import (
	"math"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/inbound"
)

// newGuard returns the guard of a process whose settings name no limits.
func newGuard(log *event.Log) *inbound.Guard {
	return inbound.New(inbound.Options{Clock: clockwork.NewRealClock(), Log: log, Limits: clientlimit.LimitsOf(0, maxDescriptors(0))})
}

// maxDescriptors returns how many descriptors the process may have open: the configured number,
// or less if the system enforces less; 0 if that is not known.
func maxDescriptors(configured int) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return configured
	}
	if configured == 0 {
		return int(limit.Cur)
	}
	return min(configured, int(limit.Cur))
}
