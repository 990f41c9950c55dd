//go:build knownred

package soak_test

import (
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/standin/soak"
)

// unrecordedSeeds are run by each TestRunUnrecorded, with the cause of an earlier failure.
var unrecordedSeeds = []seedCase{
	{1, 46 * time.Second, "streams of a process without a record went on at the only version that was listed"},
}

// TestRunUnrecorded runs real entries whose engines are released in place, with late records, after a
// time in which one version alone has served. Entries that began streams there are killed, cut off or
// paused.
func TestRunUnrecorded(t *testing.T) {
	playSeeds(t, unrecordedSeeds, soak.Options{Engines: 24, Unrecorded: true, Calm: true}, "releasedUnrecorded")
}
