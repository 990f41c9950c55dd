// Package releases plays releases of engines of several software versions beside crashes,
// killed entries, and entries that the key-value service does not reach. It checks from
// what clients hold that no stream mixes versions, and that streams go on while their
// versions serve.
//
// The entries, the client of the key-value service and the messages between entries are
// the real ones; the network, the engines and the clients are simulated. Time is that of
// the standard library, so a run in a synctest bubble takes no real time for waiting.
//
// # Usage
//
//	report, err := releases.Run(ctx, releases.NewOptions(seed))
//	if !report.Holds() { … }
package releases

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Failed means that the run could not be set up.
const Failed Kind = "failed"

// Error is this package's error.
type Error = fault.Error[Kind]

// Bounds for streams. They are the users'.
const (
	// AllowedMixed is the number of streams that may hold events of two versions.
	AllowedMixed = 2
	// minResumed is the number of resumed streams from which on their share counts, and
	// minResumedShare the least share that goes on, in parts of that of new streams.
	minResumed      = 12
	minResumedShare = 0.5
)

// Options describes a deployment, its load and its failures.
type Options struct {
	Seed     uint64
	Entries  int
	Engines  int
	Zones    int
	Duration time.Duration
	// Calm is how long one version alone serves before the first stream and the first disturbance.
	Calm time.Duration
	// StreamsPerSecond is the rate of new streams.
	StreamsPerSecond float64
	// ReleaseGap is the mean time between two releases, and InPlace the share of them that
	// start engines under the names of their predecessors. 0 leaves releases out.
	ReleaseGap time.Duration
	InPlace    float64
	// RecordDelay is how late the record of an engine that was started in place is.
	RecordDelay time.Duration
	// CrashGap is the mean time between two crashes of engines, KillGap between two kills
	// of entries, and CutGap between two cuts of entries from the key-value service. 0
	// leaves them out.
	CrashGap, KillGap, CutGap time.Duration
	// KillAllAt is when all entries are killed at once; 0 for never.
	KillAllAt time.Duration
	// LoseAt is when entries are lost for good, from the last one on.
	LoseAt []time.Duration
	// OutageAt is when the key-value service stops reaching any entry for cutTime; 0 for
	// never.
	OutageAt time.Duration
}

// NewOptions returns the options of a seed.
func NewOptions(seed uint64) Options {
	r := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Float64()*float64(most-least))
	}
	o := Options{
		Seed: seed, Entries: 2 + r.IntN(5), Engines: 6 + r.IntN(12), Zones: 2 + r.IntN(2), Duration: 40 * time.Second,
		StreamsPerSecond: 4 + 8*r.Float64(), ReleaseGap: between(4*time.Second, 15*time.Second), InPlace: r.Float64(),
		RecordDelay: between(0, 500*time.Millisecond), CrashGap: between(time.Second, 4*time.Second), KillGap: between(3*time.Second, 10*time.Second),
	}
	if r.IntN(2) == 0 {
		o.CutGap = between(4*time.Second, 12*time.Second)
	}
	if r.IntN(3) == 0 {
		o.KillAllAt = between(10*time.Second, 30*time.Second)
	}
	return o
}

// Validate returns an error for the first field that is out of range.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case o.Entries < 1 || o.Engines < 1 || o.Zones < 1:
		return fault.New(op, Failed, "entries, engines and zones are %d, %d and %d, want 1 or more", o.Entries, o.Engines, o.Zones)
	case o.StreamsPerSecond <= 0 || o.Duration <= 0:
		return fault.New(op, Failed, "streams per second and duration are %v and %v, want more than 0", o.StreamsPerSecond, o.Duration)
	}
	return nil
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Streams counts the streams that clients asked for, Complete those they have whole,
	// and Mixed those that hold events of two versions.
	Streams, Complete, Mixed int
	// Begun of Sent attempts at new streams brought an event, and WentOn of Resumed
	// attempts that clients resumed, while two engines of the version served.
	Sent, Begun, Resumed, WentOn int
	// Reasons counts refusals by their reasons.
	Reasons map[string]int
	// PeerBytes is what the entries sent to each other.
	PeerBytes int64
}

// Holds reports whether the users' bounds held.
func (r *Report) Holds() bool { return r.Mixed <= AllowedMixed && r.goesOn() }

func (r *Report) goesOn() bool {
	if r.Resumed < minResumed || r.Sent == 0 {
		return true
	}
	return float64(r.WentOn)/float64(r.Resumed) >= minResumedShare*float64(r.Begun)/float64(r.Sent)
}

// String returns the result as one line.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d streams, %d complete, %d mixed; %d of %d new ones began, %d of %d resumed ones went on; refused: %v; %d bytes between entries",
		r.Seed, r.Streams, r.Complete, r.Mixed, r.Begun, r.Sent, r.WentOn, r.Resumed, r.Reasons, r.PeerBytes)
}
