//go:build race

package peer_test

// With the race detector a run at the size of the reference deployment takes too
// long, so these tests run at a fifth of it. The runs without the race detector
// use the full size.
const scaleEntries, scaleTargets = 70, 152
