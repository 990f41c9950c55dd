//go:build !race

package peer_test

// The required cluster size.
const scaleEntries, scaleTargets = 350, 760
