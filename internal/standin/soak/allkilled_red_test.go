//go:build knownred

package soak_test

import (
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/standin/soak"
)

// allKilledSeeds are run by each TestRunAllKilled, with the cause of an earlier failure.
var allKilledSeeds = []seedCase{
	{1, 57 * time.Second, "streams of a version that had served for a moment went on at the only version that was saved"},
}

// TestRunAllKilled runs real entries that are all killed soon after another version has begun its first
// streams, after a time in which one version alone has served. The processes of that version end too.
func TestRunAllKilled(t *testing.T) {
	t.Parallel()
	playSeeds(t, allKilledSeeds, soak.Options{Engines: 24, AllKilled: true, Calm: true}, "versionAndEntriesKilled")
}
