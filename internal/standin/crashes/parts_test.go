package crashes_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/crashes"
)

// TestRunParts checks that requests that share a part which crashes targets are refused in
// time, beside other losses, and that no other request is.
func TestRunParts(t *testing.T) {
	var total crashes.Report
	for seed := range uint64(42) {
		o := crashes.NewOptions(seed)
		o.Crasher, o.PartsPerSecond = false, 1.5
		r := crashes.Run(o)
		total.Add(r)
		if !r.Holds() {
			t.Errorf("seed %d: %+v", seed, *r)
		}
	}
	is.New(t).True(total.PartCrashes > 0)
}
