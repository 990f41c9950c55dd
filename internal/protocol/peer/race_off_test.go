//go:build !race

package peer_test

// The size of the reference deployment.
const scaleEntries, scaleTargets = 350, 760
