package spread

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// record tracks the gossip state of one member.
type record struct {
	key     Key
	dropped bool
	target  id.Target
	entry   id.Entry
	// sequence is the sequence number of the newest report, pending that of the
	// report that is being gossiped; 0 before the first one.
	sequence      id.Sequence
	pending       id.Sequence
	pendingSince  time.Time
	transmissions int
	// full says that the full report is sent instead of a digest.
	full bool
}

// records holds the records of all members, by the key that digests refer to.
type records struct {
	byKey map[Key]*record
	order []*record
	// next is the position in order at which the search for the next message
	// starts.
	next int
	// nextResend is the position in order at which the next anti-entropy
	// digests start.
	nextResend int
	keyByName  map[string]Key
	targets    int
	entries    int
}

func newRecords() *records {
	return &records{byKey: map[Key]*record{}, keyByName: map[string]Key{}}
}

// getOrCreate returns the record of a key, creating it if needed. A new record
// replaces the one of the same member's previous key.
func (r *records) getOrCreate(target id.Target, entry id.Entry, key Key) *record {
	rec := r.byKey[key]
	if rec != nil {
		return rec
	}
	name := "t/" + string(target)
	if entry != "" {
		name = "e/" + string(entry)
	}
	if old, ok := r.keyByName[name]; ok {
		r.drop(old)
	}
	rec = &record{key: key, target: target, entry: entry}
	r.byKey[key] = rec
	r.keyByName[name] = key
	r.order = append(r.order, rec)
	r.count(rec, 1)
	return rec
}

func (r *records) count(rec *record, n int) {
	if rec.entry != "" {
		r.entries += n
	} else {
		r.targets += n
	}
}

// drop removes a member's record. Its position in order is freed by compact.
func (r *records) drop(key Key) {
	if rec := r.byKey[key]; rec != nil {
		r.count(rec, -1)
		rec.dropped = true
		delete(r.byKey, key)
	}
}

// compact removes dropped records from order once they make up about half of
// it.
func (r *records) compact() {
	if len(r.order) < 2*len(r.byKey)+16 {
		return
	}
	keep := r.order[:0]
	for _, rec := range r.order {
		if !rec.dropped {
			keep = append(keep, rec)
		}
	}
	clear(r.order[len(keep):])
	r.order = keep
	r.next, r.nextResend = 0, 0
}

// note records a newer report. A report that changed more than the load is
// always gossiped; one that changed only the load is gossiped if interval has
// passed since the last one of the member, less a tolerance of one eighth.
func (rec *record) note(sequence id.Sequence, now time.Time, interval time.Duration, changed bool) {
	rec.sequence = sequence
	if changed {
		rec.full = true
	}
	if changed || now.Sub(rec.pendingSince) >= interval-interval/8 {
		rec.pending, rec.pendingSince, rec.transmissions = sequence, now, 0
	}
}

// batch is the set of members whose reports go into one message.
type batch struct {
	targets []id.Target
	entries []id.Entry
	full    map[Key]bool
}

// pick returns the pending reports with the fewest transmissions, within the
// limits of one message. It omits the entry exclude.
func (r *records) pick(cfg *Config, exclude string) batch {
	out := batch{full: map[Key]bool{}}
	var picked []*record
	for sent := range cfg.MaxTransmissions {
		for i := range r.order {
			rec := r.order[(r.next+i)%len(r.order)]
			if rec.transmissions != sent || rec.dropped || rec.pending == 0 || string(rec.entry) == exclude {
				continue
			}
			if out.add(cfg, rec) {
				picked = append(picked, rec)
			}
		}
	}
	r.addResends(cfg, &out, exclude)
	for _, rec := range picked {
		rec.transmissions++
		rec.full = rec.full && rec.transmissions < cfg.MaxTransmissions
	}
	if len(r.order) > 0 {
		r.next = (r.next + len(r.order)/3 + 1) % len(r.order)
	}
	return out
}

// addResends fills a batch up with a few members, in turn, whose reports have
// already been transmitted often enough. A receiver that does not know one of
// them requests its full report.
func (r *records) addResends(cfg *Config, out *batch, exclude string) {
	targets, entries := cfg.AntiEntropyDigests, cfg.AntiEntropyDigests
	first := r.nextResend
	for i := range r.order {
		if targets == 0 && entries == 0 {
			return
		}
		rec := r.order[(first+i)%len(r.order)]
		if rec.dropped || rec.transmissions < cfg.MaxTransmissions && rec.pending != 0 || string(rec.entry) == exclude {
			continue
		}
		left := &targets
		if rec.entry != "" {
			left = &entries
		}
		if *left > 0 && out.add(cfg, rec) {
			*left--
			r.nextResend = (first + i + 1) % len(r.order)
		}
	}
}

// add adds a member to the batch and reports whether there was room.
func (b *batch) add(cfg *Config, rec *record) bool {
	switch {
	case rec.entry != "" && len(b.entries) < cfg.EntryDigests:
		b.entries = append(b.entries, rec.entry)
	case rec.target != "" && len(b.targets) < cfg.LoadDigests:
		b.targets = append(b.targets, rec.target)
	default:
		return false
	}
	b.full[rec.key] = rec.full
	return true
}

// sameExceptLoad reports whether two reports differ in nothing but the load.
func sameExceptLoad(a, b *member.TargetReport) bool {
	return a.State == b.State && a.Incarnation == b.Incarnation && a.Model == b.Model && a.Version == b.Version &&
		a.Role == b.Role && a.Address == b.Address && a.Slots == b.Slots && len(a.Adapters) == len(b.Adapters)
}
