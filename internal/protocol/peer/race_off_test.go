//go:build !race

package peer_test

// The letter's size.
const scaleEntries, scaleTargets = 350, 760
