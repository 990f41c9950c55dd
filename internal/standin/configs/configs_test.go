package configs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/configs"
)

// otherTraffic is what callers and reports take of each link, in bytes per second.
const otherTraffic = 200_000

func play(t *testing.T, opts configs.Options) *configs.Report {
	t.Helper()
	opts.OtherTraffic = otherTraffic
	var report *configs.Report
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var err error
		report, err = configs.Run(t.Context(), opts)
		is.NoErr(err)
	})
	for _, c := range report.Changes {
		t.Logf("version %d, %d routes, %d bytes: in force after %v to %v, late at %d entries", c.Version, c.Routes, c.Bytes, c.First, c.Last, c.Late)
	}
	t.Logf("a draining target was known at %d entries, after %v at the last one; %d reads", report.Drained, report.DrainLast, report.StoreReads)
	t.Logf("bytes sent by the key-value service: %d, by the entries: %d", report.StoreBytes, report.PeerBytes)
	return report
}

func TestLargeConfigInForceOverSlowLinks(t *testing.T) {
	is := is.New(t)
	report := play(t, configs.Options{Entries: 23, FastEntries: 8, Targets: 88, Steps: []int{1400, 0, 1400, 0, 1400, 0}})
	is.True(report.Holds())
}

func TestLargeConfigNoFastLinks(t *testing.T) {
	is := is.New(t)
	report := play(t, configs.Options{Entries: 23, Targets: 88, Steps: []int{5000, 0}})
	is.True(report.Holds())
}

// Entries that no other one can help read the key-value service themselves.
func TestLargeConfigIsolatedEntries(t *testing.T) {
	is := is.New(t)
	report := play(t, configs.Options{Entries: 8, FastEntries: 2, IsolatedEntries: 3, Steps: []int{4200, 0}})
	is.True(report.Holds())
}

// Entries that watch at longer intervals must learn of a draining target and of changes as
// soon as those that watch closely.
func TestDrainKnownAtManyEntries(t *testing.T) {
	is := is.New(t)
	const entries = 40
	report := play(t, configs.Options{Entries: entries, FastEntries: 12, Targets: 88, Steps: []int{10, 10, 10, 10}})
	is.True(report.Holds())
	is.Equal(report.Drained, entries)
	is.True(report.DrainLast <= 1500*time.Millisecond)
}
