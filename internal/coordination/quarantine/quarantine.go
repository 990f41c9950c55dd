// Package quarantine finds requests that crash the targets that run them.
//
// Callers send such a request again under new keys, so it is identified by its
// fingerprint. A part of a prompt that crashes targets has a fingerprint of its own, and
// the same rules hold for it. When a target fails, all fingerprints that ran there are
// suspected. A fingerprint that ran at several failures, and never ran to completion in
// between, is refused for a time. A part is also cleared, and trusted for some time, once a
// target that began to write an answer on it has lived on; and it is blamed only for what
// happened under several requests.
//
// What else explains a failure is judged for each fingerprint by itself. A lost zone takes
// targets that ran other requests; a request that crashes targets takes only those that
// ran it, one after the other. So a failure counts in part if targets that did not run the
// fingerprint failed in the zone at that time, and failures of targets that ran it at the
// same time count once. It does not count if another suspect ran at more failures, or if
// the target is heard from again. A failure under a suspect that ran alone, over all
// entries, counts fully: it was run to find out.
//
// Ends alone do not bound how often a request is sent, because a run may end with neither
// an end nor a completion. So each send after the third end is a trial, exchanged like the
// ends, and when the trials are used up the request is refused.
//
// # Usage
//
//	t := quarantine.New(quarantine.Config{QuarantineThreshold: 3, QuarantineTime: 15 * time.Minute})
//	switch s := t.Status(now, fingerprint); s.State {
//	case quarantine.Refused:
//		// Refuse the request until s.Until.
//	case quarantine.Suspected:
//		// Run it where no other suspect runs, alone if s.RunAlone.
//	}
//	t.RecordFailure(quarantine.Failure{…})
//	t.RecordCompletion(fingerprint)
//
// Each process has its own Tracker and merges the records of others. Merging is
// commutative, associative and idempotent, so trackers that exchange records agree in
// whatever order they receive them. A Tracker is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// State is the state of a fingerprint.
type State string

// States.
const (
	// Clear fingerprints run without restriction.
	Clear State = "clear"
	// Suspected fingerprints ran on a target that failed alone.
	Suspected State = "suspected"
	// Refused fingerprints are in quarantine.
	Refused State = "refused"
)

// Config sets when a fingerprint is refused, and for how long. A zero field means its
// default.
type Config struct {
	// QuarantineThreshold is the number of failures within QuarantineTime from which a
	// fingerprint is refused if nothing else explains them.
	QuarantineThreshold int
	// QuarantineTime is how long a fingerprint stays refused after the last of these
	// failures.
	QuarantineTime time.Duration
	// Window is the time within which failures in the same zone may have a common
	// cause.
	Window time.Duration
	// SettleTime is the time until other processes have reported what they know about
	// a failure.
	SettleTime time.Duration
	// FailsOnce says that an incarnation of a target never runs again after a failure.
	FailsOnce bool
	// LastActivity returns when this process last heard from a target, or the zero
	// time. A target that is heard from after a reported failure has not failed. It
	// may be nil.
	LastActivity func(id.TargetIncarnation) time.Time
	// ZoneActivity returns when this process last heard from any target of a zone, or
	// the zero time. It may be nil.
	ZoneActivity func(id.Zone) time.Time
}

const (
	defaultQuarantineThreshold = 3
	defaultQuarantineTime      = 15 * time.Minute
	defaultWindow              = 3 * time.Second
	// maxFailures bounds the failures that a Tracker keeps; the oldest is dropped
	// first.
	maxFailures = 1024
	// sameFailureWindow is the time within which reports of a target's failure refer
	// to the same failure, because entries observe it at different times.
	sameFailureWindow = 10 * time.Second
	// maxReportDelay is the time that a report usually takes. Starts that differ by less
	// may be one start, reported twice.
	maxReportDelay = 20 * time.Millisecond
	// timeTolerance is the difference between two reported times of a failure up to
	// which the earlier time is not sent to others as a change.
	timeTolerance = time.Second
)

// Defaults sets the zero fields of c to their defaults.
func (c *Config) Defaults() {
	c.QuarantineThreshold = cmp.Or(c.QuarantineThreshold, defaultQuarantineThreshold)
	c.QuarantineTime = cmp.Or(c.QuarantineTime, defaultQuarantineTime)
	c.Window = cmp.Or(c.Window, defaultWindow)
}

// Tracker holds the failures and suspects known to one process.
type Tracker struct {
	cfg      Config
	failures []*failure
	// byFingerprint holds the failures at which each fingerprint ran.
	byFingerprint map[id.Fingerprint][]*failure
	// trials holds the sends of each fingerprint after QuarantineThreshold ends.
	trials map[id.Fingerprint][]*trial
	// version increases with each change to be sent to others.
	version uint64
	// proven holds when each part of a prompt was last proven not to crash targets.
	proven map[id.Fingerprint]time.Time
	// runningAlone maps the suspects that must run one at a time to the request that
	// runs in this process.
	runningAlone map[id.Fingerprint]id.Request
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	cfg.Defaults()
	return &Tracker{cfg: cfg, byFingerprint: map[id.Fingerprint][]*failure{}, trials: map[id.Fingerprint][]*trial{}, proven: map[id.Fingerprint]time.Time{}, runningAlone: map[id.Fingerprint]id.Request{}}
}

// Configure replaces the configuration.
func (t *Tracker) Configure(cfg Config) {
	cfg.Defaults()
	t.cfg = cfg
}
