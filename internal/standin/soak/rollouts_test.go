package soak_test

import (
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/standin/soak"
)

// rolloutSeeds are run by each TestRunRollouts, with the cause of an earlier failure.
var rolloutSeeds = []seedCase{{1, 15 * time.Second, "no earlier failure"}}

// TestRunRollouts moves a service of real entries to new versions while entries are killed.
func TestRunRollouts(t *testing.T) {
	playSeeds(t, rolloutSeeds, soak.Options{Rollouts: true, Calm: true}, "rolledOut")
}
