//go:build race

package peer_test

// The race detector makes a run at the required size too slow; the tests
// without the race detector use that size.
const scaleEntries, scaleTargets = 70, 152
