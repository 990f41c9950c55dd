//go:build scale

package configs_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/configs"
)

// It takes about two minutes; CI plays 23 entries.
func TestLargeConfig350Entries(t *testing.T) {
	is := is.New(t)
	report := play(t, configs.Options{Entries: 350, FastEntries: 120, Targets: 760, Steps: []int{1400, 2800, 0}})
	is.True(report.Holds())
}
