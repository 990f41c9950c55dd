package direct

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Killers lets tests see what an entry tells of requests that end targets.
type Killers struct{ k *killers }

// NewKillers returns what a new entry knows.
func NewKillers() Killers { return Killers{newKillers()} }

// Lost notes that a target was lost while it ran a request.
func (k Killers) Lost(at time.Time, t *catalog.Target, f id.Fingerprint) { k.k.lost(at, t, f) }

// Finished notes that a request was answered.
func (k Killers) Finished(now time.Time, f id.Fingerprint) { k.k.finished(now, f) }

// News returns what is told to the other entries.
func (k Killers) News(now time.Time) []quarantine.Record { return k.k.news(now) }

// Heard takes what another entry told.
func (k Killers) Heard(now time.Time, records []quarantine.Record) { k.k.heard(now, records) }

// Refused reports whether requests with the fingerprint are refused.
func (k Killers) Refused(now time.Time, f id.Fingerprint) bool { return k.k.refused(now, f) > 0 }
