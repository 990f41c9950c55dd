package quarantine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that an observation cannot be decoded or has invalid values.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Record is the state of one fingerprint as exchanged between trackers. The fingerprint 0
// stands for failures at which no request is known to have run.
type Record struct {
	Fingerprint id.Fingerprint `json:"fingerprint"`
	// Remaining is the remaining time of the quarantine; 0 if there is none. It is
	// not encoded, because it follows from the observations.
	Remaining    time.Duration `json:"-"`
	Observations []Observation `json:"marks"`
	// Trials are the sends since the fingerprint ended so many targets that each counts.
	Trials []Trial `json:"trials,omitempty"`
}

// Observation is one failure at which a fingerprint ran.
type Observation struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation"`
	Host        id.Host        `json:"host,omitempty"`
	Zone        id.Zone        `json:"zone,omitempty"`
	Region      id.Region      `json:"region,omitempty"`
	// AgeMs is the age of the failure in milliseconds. An age needs no synchronized
	// clocks.
	AgeMs int64 `json:"ageMs"`
	// RunMs is how long the fingerprint had run there at the failure, in milliseconds,
	// from the start of its first attempt. It is negative if the fingerprint was sent there only after the failure.
	RunMs int64 `json:"runMs,omitempty"`
	// LastRunMs is the same for the last of its attempts there.
	LastRunMs int64 `json:"lastRunMs,omitempty"`
	// Cleared says that the fingerprint has run to completion since.
	Cleared bool `json:"cleared,omitempty"`
	// Alone says that no other request with the fingerprint ran at any entry.
	Alone bool `json:"alone,omitempty"`
	// Closed says that the target closed the connection of an attempt.
	Closed bool `json:"closed,omitempty"`
	// Runs are ids of its runs that ended with the target.
	Runs []RunID `json:"runs,omitempty"`
	// Request is the request of which the fingerprint is a part; 0 if it is not a part.
	Request id.Fingerprint `json:"request,omitempty"`
}

// UnmarshalJSON decodes and checks an observation. Its error is of kind Invalid.
func (o *Observation) UnmarshalJSON(data []byte) error {
	const op = "Observation.UnmarshalJSON"
	type unchecked Observation
	var decoded unchecked
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fault.Wrap(op, Invalid, err)
	}
	*o = Observation(decoded)
	if o.Target == "" || o.AgeMs < 0 {
		return fault.New(op, Invalid, "target is %q and ageMs is %d, want a target and a non-negative age", o.Target, o.AgeMs)
	}
	return nil
}

// Records returns the records of all failures at now, sorted by fingerprint.
func (t *Tracker) Records(now time.Time) []Record {
	records, _ := t.Changes(now, 0)
	return records
}

// Changes returns the records of the failures that changed after a version, and the
// current version.
func (t *Tracker) Changes(now time.Time, after uint64) ([]Record, uint64) {
	byFingerprint := map[id.Fingerprint][]Observation{}
	for _, fail := range t.failures {
		if fail.version <= after {
			continue
		}
		if len(fail.suspects) == 0 {
			byFingerprint[0] = append(byFingerprint[0], fail.observation(now, 0))
		}
		for f := range fail.suspects {
			byFingerprint[f] = append(byFingerprint[f], fail.observation(now, f))
		}
	}
	records := make([]Record, 0, len(byFingerprint))
	for f, observations := range byFingerprint {
		slices.SortFunc(observations, compareObservations)
		r := Record{Fingerprint: f, Observations: observations}
		if t.mayBeRefused(f) {
			if s := t.Status(now, f); s.State == Refused {
				r.Remaining = s.Until.Sub(now)
			}
		}
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records, t.version
}

// RecordsOf returns the records of fingerprints at now, without Remaining, to be merged by
// other trackers. Fingerprints that ran at no failure are left out.
func (t *Tracker) RecordsOf(now time.Time, fingerprints []id.Fingerprint) []Record {
	var records []Record
	for _, f := range fingerprints {
		var observations []Observation
		for _, fail := range t.byFingerprint[f] {
			observations = append(observations, fail.observation(now, f))
		}
		if len(observations) > 0 {
			slices.SortFunc(observations, compareObservations)
			records = append(records, Record{Fingerprint: f, Observations: observations, Trials: t.trialsOf(now, f)})
		}
	}
	return records
}

// Repeated returns the fingerprints of which more than one run ended with a target and that
// have not been cleared, in order.
func (t *Tracker) Repeated() []id.Fingerprint {
	var repeated []id.Fingerprint
	for f := range t.byFingerprint {
		if t.ends(f) > 1 || t.hasCopies(f) {
			repeated = append(repeated, f)
		}
	}
	slices.Sort(repeated)
	return repeated
}

// hasCopies reports whether several runs of f ended with one target, and f has not been
// cleared since.
func (t *Tracker) hasCopies(f id.Fingerprint) bool {
	return slices.ContainsFunc(t.byFingerprint[f], func(fail *failure) bool { return fail.ran(f) && len(fail.suspects[f].runs) > 1 })
}

// observation returns the failure at now as one at which f ran, or none if f is 0.
func (fail *failure) observation(now time.Time, f id.Fingerprint) Observation {
	o := Observation{
		Target: fail.Target, Incarnation: fail.Incarnation, Host: fail.place.Host, Zone: fail.place.Zone,
		Region: fail.place.Region, AgeMs: max(0, now.Sub(fail.at).Milliseconds()),
	}
	if s := fail.suspects[f]; s != nil {
		o.Cleared, o.Alone, o.Closed, o.Runs, o.Request = s.cleared, s.alone, s.closed, s.runs, s.request
		o.RunMs, o.LastRunMs = fail.at.Sub(s.startedAt).Milliseconds(), fail.at.Sub(s.lastStart).Milliseconds()
	}
	return o
}

// Strongest returns the records of the fingerprints that ran at the most failures, with
// at most limit observations in all. Of the record that exceeds the limit it returns the
// first observations.
func Strongest(records []Record, limit int) []Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return cmp.Compare(len(b.Observations), len(a.Observations)) })
	for i := range sorted {
		if len(sorted[i].Observations) >= limit {
			sorted[i].Observations = sorted[i].Observations[:limit]
			return sorted[:i+1]
		}
		limit -= len(sorted[i].Observations)
	}
	return sorted
}

// Aged returns records that are older by age than they say.
func Aged(records []Record, age time.Duration) []Record {
	aged := make([]Record, len(records))
	for i, r := range records {
		r.Observations = slices.Clone(r.Observations)
		for j := range r.Observations {
			r.Observations[j].AgeMs += age.Milliseconds()
		}
		r.Trials = slices.Clone(r.Trials)
		for j := range r.Trials {
			r.Trials[j].AgeMs += age.Milliseconds()
		}
		aged[i] = r
	}
	return aged
}

func compareObservations(a, b Observation) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.AgeMs, b.AgeMs))
}

// Merge adds the records of another tracker, received at now. Remaining is ignored, because
// it is computed from the observations.
func (t *Tracker) Merge(now time.Time, records []Record) {
	for _, r := range records {
		t.mergeTrials(now, r.Fingerprint, r.Trials)
		for _, o := range r.Observations {
			place := member.Place{Host: o.Host, Zone: o.Zone, Region: o.Region}
			age := time.Duration(o.AgeMs) * time.Millisecond
			if age > 2*t.cfg.QuarantineTime {
				continue
			}
			at := now.Add(-age)
			fail := t.findOrAddFailure(id.TargetIncarnation{Target: o.Target, Incarnation: o.Incarnation}, place, at, time.Time{})
			if r.Fingerprint != 0 {
				run, lastRun := time.Duration(o.RunMs)*time.Millisecond, time.Duration(o.LastRunMs)*time.Millisecond
				t.addSuspect(fail, r.Fingerprint, suspect{startedAt: at.Add(-run), lastStart: at.Add(-lastRun), cleared: o.Cleared, alone: o.Alone, closed: o.Closed, runs: o.Runs, request: o.Request})
				if o.Request != 0 && o.Cleared {
					t.trust(now, r.Fingerprint)
				}
			}
		}
	}
}
