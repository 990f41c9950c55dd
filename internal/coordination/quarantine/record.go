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

// Invalid means that a record breaks a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Record is what a List tells another of one fingerprint. The fingerprint 0
// stands for deaths at which nothing is known to have run.
type Record struct {
	Fingerprint id.Fingerprint `json:"fingerprint"`
	// Remaining is how long the quarantine still lasts; 0 when there is none. It
	// follows from the marks, so that it is not sent as JSON.
	Remaining    time.Duration `json:"-"`
	Observations []Observation `json:"marks"`
}

// Observation is one death at which a fingerprint ran.
type Observation struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation"`
	Host        id.Host        `json:"host,omitempty"`
	Zone        id.Zone        `json:"zone,omitempty"`
	Region      id.Region      `json:"region,omitempty"`
	// AgeMs is how long ago the death was, in milliseconds, so that clocks
	// need not agree.
	AgeMs int64 `json:"ageMs"`
	// Cleared says that the fingerprint ran to its end since.
	Cleared bool `json:"cleared,omitempty"`
}

// String returns m as JSON, for messages between processes.
func (m Observation) String() string {
	// A Mark holds only text, numbers and a flag, which always encode.
	data, _ := json.Marshal(m)
	return string(data)
}

// ParseObservation is the inverse of Mark.String. Its error is Invalid.
func ParseObservation(text string) (Observation, error) {
	var m Observation
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return m, fault.Wrap("quarantine.ParseMark", Invalid, err)
	}
	if m.Target == "" || m.AgeMs < 0 {
		return m, fault.New("quarantine.ParseMark", Invalid, "target is %q and ageMs %d", m.Target, m.AgeMs)
	}
	return m, nil
}

// Records returns all that others need of l at now, in a fixed order.
func (l *Tracker) Records(now time.Time) []Record {
	records, _ := l.Changes(now, 0)
	return records
}

// Changes returns what others need of the deaths that changed after a version,
// and the version that it leads to. A death that was part of a larger loss is
// told without its suspects, so that a zone's loss stays a short message.
func (l *Tracker) Changes(now time.Time, after uint64) ([]Record, uint64) {
	marks := map[id.Fingerprint][]Observation{}
	for _, d := range l.deaths {
		if d.version <= after {
			continue
		}
		m := Observation{
			Target: d.Target, Incarnation: d.Incarnation, Host: d.place.Host, Zone: d.place.Zone,
			Region: d.place.Region, AgeMs: max(0, now.Sub(d.at).Milliseconds()),
		}
		if len(d.suspects) == 0 || len(l.near(d)) >= correlatedDeaths {
			marks[0] = append(marks[0], m)
			continue
		}
		for f, cleared := range d.suspects {
			m.Cleared = cleared
			marks[f] = append(marks[f], m)
		}
	}
	out := make([]Record, 0, len(marks))
	for f, list := range marks {
		slices.SortFunc(list, compareMarks)
		r := Record{Fingerprint: f, Observations: list}
		if j := l.Status(now, f); f != 0 && j.State == Refused {
			r.Remaining = j.Until.Sub(now)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out, l.version
}

func compareMarks(a, b Observation) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.AgeMs, b.AgeMs))
}

// Merge takes in what another process knows, as received at now. Remaining is
// worked out anew from the marks.
func (l *Tracker) Merge(now time.Time, records []Record) {
	for _, r := range records {
		for _, m := range r.Observations {
			place := member.Place{Host: m.Host, Zone: m.Zone, Region: m.Region}
			age := time.Duration(m.AgeMs) * time.Millisecond
			if age > 2*l.cfg.QuarantineTime {
				continue
			}
			at := now.Add(-age)
			d := l.death(FailureID{m.Target, m.Incarnation}, place, at)
			if r.Fingerprint != 0 {
				l.suspect(d, r.Fingerprint, m.Cleared)
			}
		}
	}
}
