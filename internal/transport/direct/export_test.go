package direct

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// QuarantineTracker lets tests see what an entry tells of requests that end targets.
type QuarantineTracker struct{ k *killers }

// NewQuarantineTracker returns what a new entry knows.
func NewQuarantineTracker() QuarantineTracker { return QuarantineTracker{newKillers()} }

// TargetLost notes that a target was lost while it ran a request.
func (k QuarantineTracker) TargetLost(at time.Time, t *catalog.Target, f id.Fingerprint) {
	k.k.lost(at, t, f)
}

// Finished notes that a request was answered.
func (k QuarantineTracker) Finished(now time.Time, f id.Fingerprint) { k.k.finished(now, f) }

// Changes returns what is told to the other entries.
func (k QuarantineTracker) Changes(now time.Time) []quarantine.Record { return k.k.news(now) }

// Merge takes what another entry told.
func (k QuarantineTracker) Merge(now time.Time, records []quarantine.Record) { k.k.heard(now, records) }

// Refused reports whether requests with the fingerprint are refused.
func (k QuarantineTracker) Refused(now time.Time, f id.Fingerprint) bool {
	return k.k.refused(now, f) > 0
}
