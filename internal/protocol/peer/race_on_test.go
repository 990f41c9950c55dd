//go:build race

package peer_test

// The race detector makes a run at the letter's size too long; the plain run
// of the tests has it.
const scaleEntries, scaleTargets = 70, 152
