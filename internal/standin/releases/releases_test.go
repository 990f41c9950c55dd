package releases_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/releases"
)

// firstSeed and seeds select what TestReleases plays; by hand more than in CI.
var (
	firstSeed = flag.Uint64("releases.seed", 0, "first seed of TestReleases")
	seeds     = flag.Uint64("releases.seeds", 3, "number of seeds of TestReleases")
)

func play(t *testing.T, opts releases.Options) *releases.Report {
	t.Helper()
	var report *releases.Report
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var err error
		report, err = releases.Run(t.Context(), opts)
		is.NoErr(err)
	})
	t.Log(report)
	return report
}

// TestReleases checks that no stream mixes versions and that streams go on, at seeds of
// different deployments.
func TestReleases(t *testing.T) {
	for i := range *seeds {
		report := play(t, releases.NewOptions(*firstSeed+i))
		if !report.Holds() || report.Streams == 0 {
			t.Errorf("bounds do not hold: %v", report)
		}
	}
}

// TestSameNames checks a probe of the users: all engines start again under their names at
// another version, with records 0.3 s late, beside killed entries.
func TestSameNames(t *testing.T) {
	is := is.New(t)
	report := play(t, releases.Options{
		Seed: 1, Entries: 3, Engines: 6, Zones: 3, Duration: 30 * time.Second, StreamsPerSecond: 8, ReleaseGap: 5 * time.Second, InPlace: 1,
		RecordDelay: 300 * time.Millisecond, KillGap: 3 * time.Second,
	})
	is.True(report.Holds())
}

// TestOutageBesideSilentEntry guards against streams that are refused with versionUnknown after
// an outage of the key-value service that began while an entry was silent, though one version
// alone has served.
func TestOutageBesideSilentEntry(t *testing.T) {
	is := is.New(t)
	report := play(t, releases.Options{
		Seed: 1, Entries: 4, Engines: 8, Zones: 3, Duration: 25 * time.Second, StreamsPerSecond: 40,
		OutageAt: 7 * time.Second, LoseAt: []time.Duration{5 * time.Second, 16 * time.Second},
	})
	is.True(report.Resumed >= 12)
	is.Equal(report.WentOn, report.Resumed)
	is.Equal(report.Reasons["versionUnknown"], 0)
}

// TestInPlaceAfterCalm guards against streams that go on at the version that alone is listed, though they
// began at a process whose record is late.
func TestInPlaceAfterCalm(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second} {
		for seed := range *seeds {
			t.Run(fmt.Sprint(delay, " seed ", *firstSeed+seed), func(t *testing.T) {
				report := play(t, releases.Options{
					Seed: *firstSeed + seed, Entries: 4, Engines: 9, Zones: 3, Calm: 35 * time.Second, Duration: 8 * time.Second, StreamsPerSecond: 30,
					ReleaseGap: 2 * time.Second, InPlace: 1, RecordDelay: delay, KillGap: 500 * time.Millisecond,
				})
				is := is.New(t)
				is.Equal(report.Mixed, 0)
				is.True(report.Holds())
			})
		}
	}
}

// TestRunCost measures what entries tell each other, with one version and with several, at
// two sizes.
func TestRunCost(t *testing.T) {
	if testing.Short() || *seeds < 20 {
		t.Skip("by hand: -releases.seeds 20")
	}
	for _, entries := range []int{23, 350} {
		for _, gap := range []time.Duration{0, 8 * time.Second} {
			play(t, releases.Options{Seed: 1, Entries: entries, Engines: 4 * entries, Zones: 4, Duration: 20 * time.Second, StreamsPerSecond: float64(entries), ReleaseGap: gap})
		}
	}
}
