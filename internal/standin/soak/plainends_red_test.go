//go:build knownred

package soak_test

import (
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/standin/soak"
)

// latePlainEndSeeds are run by each TestRunLatePlainEnds, with the cause of an earlier failure.
var latePlainEndSeeds = []seedCase{
	{1, 30 * time.Second, "parts of plain answers counted as whole, because their processes ended late or were replaced before they were asked"},
}

// TestRunLatePlainEnds runs real entries whose plain targets break off unframed answers, and end later
// than entries wait for, or are replaced before entries ask.
func TestRunLatePlainEnds(t *testing.T) {
	playSeeds(t, latePlainEndSeeds, soak.Options{Engines: 24, ProcessEnds: true, LatePlainEnds: true, Calm: true}, "processesEnded")
}
