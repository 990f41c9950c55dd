// Package configs plays an operator who adds many routes to the configuration of
// direct entries, some of which have slow links and small cores. It measures when each
// version is in force at each entry, and what the key-value service sent for that.
//
// The entries, the client of the key-value service and its protocol are the real
// ones; the network and the processors are simulated. Time is that of the standard
// library, so a run in a synctest bubble takes no real time for waiting.
//
// # Usage
//
//	report, err := configs.Run(ctx, configs.Options{Entries: 23, FastEntries: 8, Steps: []int{1400, 0, 1400, 0}})
//	for _, c := range report.Changes { … c.Last … }
package configs

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/standin/network"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Failed means that the run could not be set up.
const Failed Kind = "failed"

// Error is this package's error.
type Error = fault.Error[Kind]

// Defaults of Options.
const (
	DefaultGap       = 3350 * time.Millisecond
	DefaultApplyTime = 3 * time.Second

	megabit = 1_000_000 / 8
	// The links are those of the grown installations.
	fastBytesPerSecond  = 200 * megabit
	slowBytesPerSecond  = 10 * megabit
	storeBytesPerSecond = 1000 * megabit
	linkLatency         = 900 * time.Microsecond
	// The shares of a core are those of the grown installations too.
	fastCores = 0.8
	slowCores = 0.144
	// decodedBytesPerSecond is what a whole core decodes of a configuration.
	decodedBytesPerSecond = 18_000_000
)

// Options describes a run.
type Options struct {
	// Entries is the number of entries, of which the first FastEntries have fast
	// links and cores.
	Entries     int
	FastEntries int
	// Targets is the number of targets that are listed.
	Targets int
	// Steps are the routes that each change adds.
	Steps []int
	// Gap is the time between two changes.
	Gap time.Duration
	// ApplyTime is the time after its write within which a change must be in force.
	ApplyTime time.Duration
	// OtherTraffic is what each entry's link carries besides, in bytes per second.
	OtherTraffic int
	// IsolatedEntries is the number of entries, the last ones, that can reach the
	// key-value service but no other entry.
	IsolatedEntries int
	// Seed determines the names in the configuration.
	Seed uint64
}

// Defaults sets the fields that are zero and have a default.
func (o *Options) Defaults() {
	o.Gap = cmp.Or(o.Gap, DefaultGap)
	o.ApplyTime = cmp.Or(o.ApplyTime, DefaultApplyTime)
}

// Validate returns an error for the first field that is out of range.
func (o *Options) Validate() error {
	const op = "Options.Validate"
	switch {
	case o.Entries < 1:
		return fault.New(op, Failed, "entries is %d, want 1 or more", o.Entries)
	case o.FastEntries < 0 || o.FastEntries > o.Entries:
		return fault.New(op, Failed, "fast entries is %d, want 0 to %d", o.FastEntries, o.Entries)
	case o.IsolatedEntries < 0 || o.IsolatedEntries > o.Entries:
		return fault.New(op, Failed, "isolated entries is %d, want 0 to %d", o.IsolatedEntries, o.Entries)
	case len(o.Steps) == 0:
		return fault.New(op, Failed, "there is no change")
	}
	return nil
}

func (o *Options) link(entry int) network.Link {
	if entry < o.FastEntries {
		return network.Link{BytesPerSecond: fastBytesPerSecond, Latency: linkLatency}
	}
	return network.Link{BytesPerSecond: slowBytesPerSecond, Latency: linkLatency}
}

// decodeTime returns how long an entry decodes a configuration.
func (o *Options) decodeTime(entry, bytes int) time.Duration {
	cores := slowCores
	if entry < o.FastEntries {
		cores = fastCores
	}
	return time.Duration(float64(bytes) / (decodedBytesPerSecond * cores) * float64(time.Second))
}

// Change is what became of one change.
type Change struct {
	Version catalog.Version
	Routes  int
	// Bytes is the size of the configuration.
	Bytes int
	// First and Last are the times after the write at which the change, or a later
	// one, was in force at the first and the last entry; 0 if that never was.
	First, Last time.Duration
	// Late is the number of entries at which that was later than the apply time.
	Late int
}

// Report is the result of a run.
type Report struct {
	Changes []Change
	// StoreBytes is what the key-value service sent during the changes, and
	// PeerBytes what the entries sent.
	StoreBytes int64
	PeerBytes  int64
	// StoreReads is the number of calls that the key-value service got for reads during
	// the changes.
	StoreReads int64
	// Drained is the number of entries that knew of a draining target within the apply
	// time, and DrainLast the time after which the last of them did.
	Drained   int
	DrainLast time.Duration
}

// Holds reports whether all changes were in force everywhere in time.
func (r *Report) Holds() bool {
	for _, c := range r.Changes {
		if c.Late > 0 {
			return false
		}
	}
	return true
}
