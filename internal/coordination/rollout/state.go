package rollout

import (
	"maps"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// minJudgeTime is how long an entry must have judged a version before it takes it for good.
	minJudgeTime = 3 * time.Second
	// reportRetention is the age from which the reports of processes are dropped when another
	// order comes.
	reportRetention = time.Minute
)

// Reporter identifies a process of an entry.
type Reporter struct {
	Address     string
	Incarnation id.Incarnation
}

// peerReport is the last report of a process.
type peerReport struct {
	at     time.Time
	report Report
}

// State is what one entry knows of the roll-out of a service. It is not safe for concurrent
// use.
type State struct {
	Service id.Service
	// Order is the order in force; nil if there is none. SeenAt is when this entry first knew
	// of it.
	Order  *Order
	SeenAt time.Time
	// Stage is the newest stage that is known, and StageAt when it was adopted.
	Stage   *Stage
	StageAt time.Time
	// Finding is the last finding of this entry.
	Finding Finding

	counted     int64
	ledger      Ledger
	counts      Counts
	judge       *Judge
	reportedBad bool
	peers       map[Reporter]peerReport
}

// NewState returns the state of a service without an order.
func NewState(service id.Service) *State {
	return &State{Service: service, peers: map[Reporter]peerReport{}, counts: Counts{}, judge: NewJudge()}
}

// SetOrder records the order in force. It reports whether it is another one than before; nil
// stands for none.
func (s *State) SetOrder(now time.Time, o *Order) bool {
	if o == nil {
		changed := s.Order != nil
		s.Order = nil
		return changed
	}
	if s.Order != nil && *s.Order == *o {
		return false
	}
	s.Order, s.SeenAt = o, now
	if s.counted != o.Revision {
		s.counted, s.ledger, s.counts, s.judge = o.Revision, Ledger{}, Counts{}, NewJudge()
		s.Finding, s.reportedBad = Finding{}, false
		maps.DeleteFunc(s.peers, func(_ Reporter, p peerReport) bool { return now.Sub(p.at) > reportRetention })
	}
	return true
}

// Adopt records a stage if it is newer than the known one, and reports whether it is.
func (s *State) Adopt(now time.Time, stage *Stage) bool {
	if stage == nil || (s.Stage != nil && stage.Number <= s.Stage.Number) {
		return false
	}
	s.Stage, s.StageAt = stage, now
	return true
}

// Stopped reports whether this entry sends nothing more to the new version.
func (s *State) Stopped() bool { return s.Finding.Bad || s.reportedBad }

// Active reports whether a step may follow.
func (s *State) Active() bool {
	switch {
	case s.Order != nil && (s.Stage == nil || s.Stage.Order != s.Order.Revision):
		return true
	case s.Stage != nil:
		return !s.Stage.Phase.Final()
	}
	return false
}

// Merge records what a process of another entry reports. It reports whether the new version
// has become known as bad, or a stage was adopted.
func (s *State) Merge(now time.Time, from Reporter, r Report) (stopped, adopted bool) {
	if last, ok := s.peers[from]; ok && last.report.Counted == r.Counted && r.Counts == nil {
		// A process that has no part in the roll-out any more tells no counts.
		r.Counts = last.report.Counts
	}
	s.peers[from] = peerReport{now, r}
	adopted = s.Adopt(now, r.Stage)
	if r.Bad && r.Counted == s.counted && s.counted != 0 {
		stopped = !s.Stopped()
		s.reportedBad = true
	}
	return stopped, adopted
}

// Report returns what this entry tells the others.
func (s *State) Report(atOld, atNew int) Report {
	r := Report{Order: s.Order, Stage: s.Stage, Counted: s.counted, Bad: s.Stopped(), Score: s.Finding.Score, AtOld: atOld, AtNew: atNew}
	if s.Active() {
		r.Counts = s.counts.Clone()
	}
	return r
}

// Add records an answer of a target, while a roll-out is going on.
func (s *State) Add(a Answer) {
	if s.Order != nil && s.Active() {
		s.counts.Add(a)
	}
}

// Examine judges the new version by the answers of all entries. It reports whether it has
// just been found bad.
func (s *State) Examine(now time.Time) bool {
	all := s.counts.Clone()
	for _, p := range s.peers {
		if p.report.Counted == s.counted {
			all.Merge(p.report.Counts)
		}
	}
	before := s.Finding.Bad
	s.Finding = s.judge.Observe(now, all)
	return s.Finding.Bad && !before
}

// Trusted returns the finding of this entry, which is good only if this entry has judged the
// version for minJudgeTime, and if no other one has told of a doubt within maxAge. An entry that
// has just started sees all earlier answers at once, not in their order.
func (s *State) Trusted(now time.Time, maxAge time.Duration) Finding {
	f := s.Finding
	if s.Order == nil || now.Sub(s.SeenAt) < min(minJudgeTime, s.Order.Duration()/4) {
		f.Good = false
	}
	for _, p := range s.peers {
		if p.report.Counted == s.counted && now.Sub(p.at) <= maxAge && p.report.Score >= doubtScore {
			f.Good = false
		}
	}
	return f
}

// Entries returns what the running entries have reported within maxAge, after this entry's
// own state.
func (s *State) Entries(now time.Time, atOld int, alive []string, maxAge time.Duration) []EntryState {
	own := EntryState{AtOld: atOld}
	if s.Stage != nil {
		own.Stage = s.Stage.Number
	}
	states := []EntryState{own}
	latest := map[string]peerReport{}
	for from, p := range s.peers {
		if p.at.After(latest[from.Address].at) {
			latest[from.Address] = p
		}
	}
	for _, address := range alive {
		var state EntryState
		if p, ok := latest[address]; ok && p.report.Stage != nil && now.Sub(p.at) <= maxAge {
			state = EntryState{Stage: p.report.Stage.Number, AtOld: p.report.AtOld}
		}
		states = append(states, state)
	}
	return states
}

// MayDraw reports whether the next request may go to the new version during the canary stage.
func (s *State) MayDraw(b Bound) bool {
	return s.inForce() && s.Stage.Phase == Canary && !s.Stopped() && s.ledger.Allows(s.bound(b), false)
}

// inForce reports whether the stage is that of the order in force.
func (s *State) inForce() bool {
	return s.Order != nil && s.Stage != nil && s.Stage.Order == s.Order.Revision
}

func (s *State) bound(b Bound) Bound {
	b.Share = min(b.Share, s.Stage.Share)
	return b
}

// Take counts an attempt to send a request to a version. It returns false if the version may
// not get it; nothing is counted then.
func (s *State) Take(v id.SoftwareVersion, goesOn bool, b Bound) bool {
	isNew := s.Order != nil && v == s.Order.To
	if !isNew {
		// The stage may have changed since the target was chosen.
		if s.Stage != nil && !s.Stage.unfinishedRole(v) {
			return false
		}
		s.ledger.Sent(false)
		return true
	}
	switch {
	case !s.inForce():
		return s.Stage.served(v)
	case s.Stage.Phase == Completed, s.Stage.Serves():
		return true
	case s.Stopped() || s.Stage.Phase == Reverting || s.Stage.Phase == Reverted:
		return false
	case s.Stage.Phase == Canary && !s.ledger.Allows(s.bound(b), goesOn):
		return false
	}
	s.ledger.Sent(true)
	return true
}

// Totals returns the attempts to send to the service and those at the new version.
func (s *State) Totals() (sent, toNew int) { return s.ledger.Totals() }
