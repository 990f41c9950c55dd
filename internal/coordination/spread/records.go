package spread

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// record is what is known of how far the news of a member has been passed on.
type record struct {
	key     Key
	dropped bool
	target  id.Target
	entry   id.Entry
	// sequence is that of the newest report, newsOf that of the one passed on.
	sequence id.Sequence
	newsOf   id.Sequence
	newsAt   time.Time
	sent     int
	// full says that the whole report is to be passed on.
	full bool
}

// records are the members that digests may name.
type records struct {
	byKey map[Key]*record
	order []*record
	// next is where the next message goes on looking for news.
	next int
	// old is where it goes on with what is no news.
	old     int
	keys    map[string]Key
	targets int
	entries int
}

func newRecords() *records {
	return &records{byKey: map[Key]*record{}, keys: map[string]Key{}}
}

// of returns the record of a member's key and drops the one of the key before.
func (r *records) of(target id.Target, entry id.Entry, key Key) *record {
	rec := r.byKey[key]
	if rec != nil {
		return rec
	}
	name := "t/" + string(target)
	if entry != "" {
		name = "e/" + string(entry)
	}
	if old, ok := r.keys[name]; ok {
		r.drop(old)
	}
	rec = &record{key: key, target: target, entry: entry}
	r.byKey[key] = rec
	r.keys[name] = key
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

// drop forgets a member; its place in the order is cleared when it is met.
func (r *records) drop(key Key) {
	if rec := r.byKey[key]; rec != nil {
		r.count(rec, -1)
		rec.dropped = true
		delete(r.byKey, key)
	}
}

// compact removes the places of forgotten members.
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
	r.next, r.old = 0, 0
}

// note takes over a newer report. Its load is news when the last news of the
// member is older than every; a change of state always is.
func (rec *record) note(sequence id.Sequence, now time.Time, every time.Duration, changed bool) {
	rec.sequence = sequence
	if changed {
		rec.full = true
	}
	if changed || now.Sub(rec.newsAt) >= every-every/8 {
		rec.newsOf, rec.newsAt, rec.sent = sequence, now, 0
	}
}

// batch is the news for one message.
type batch struct {
	targets []id.Target
	entries []id.Entry
	fullOf  map[Key]bool
}

// pick returns news that has been passed on the least, within the bounds.
func (r *records) pick(cfg *Config, without string) batch {
	out := batch{fullOf: map[Key]bool{}}
	var picked []*record
	for sent := range cfg.MaxTransmissions {
		for i := range r.order {
			rec := r.order[(r.next+i)%len(r.order)]
			if rec.sent != sent || rec.dropped || rec.newsOf == 0 || string(rec.entry) == without {
				continue
			}
			if out.add(cfg, rec) {
				picked = append(picked, rec)
			}
		}
	}
	r.addOld(cfg, &out, without)
	for _, rec := range picked {
		rec.sent++
		rec.full = rec.full && rec.sent < cfg.MaxTransmissions
	}
	if len(r.order) > 0 {
		r.next = (r.next + len(r.order)/3 + 1) % len(r.order)
	}
	return out
}

// addOld fills a batch up with a few members whose news was passed on often
// enough, in turn. Who does not know one of them asks for it.
func (r *records) addOld(cfg *Config, out *batch, without string) {
	targets, entries := cfg.AntiEntropyDigests, cfg.AntiEntropyDigests
	first := r.old
	for i := range r.order {
		if targets == 0 && entries == 0 {
			return
		}
		rec := r.order[(first+i)%len(r.order)]
		if rec.dropped || rec.sent < cfg.MaxTransmissions && rec.newsOf != 0 || string(rec.entry) == without {
			continue
		}
		left := &targets
		if rec.entry != "" {
			left = &entries
		}
		if *left > 0 && out.add(cfg, rec) {
			*left--
			r.old = (first + i + 1) % len(r.order)
		}
	}
}

// add takes a member's news into the batch unless it is full.
func (b *batch) add(cfg *Config, rec *record) bool {
	switch {
	case rec.entry != "" && len(b.entries) < cfg.EntryDigests:
		b.entries = append(b.entries, rec.entry)
	case rec.target != "" && len(b.targets) < cfg.LoadDigests:
		b.targets = append(b.targets, rec.target)
	default:
		return false
	}
	b.fullOf[rec.key] = rec.full
	return true
}

// sameKind reports whether nothing but the load differs.
func sameKind(a, b *member.TargetReport) bool {
	return a.State == b.State && a.Incarnation == b.Incarnation && a.Model == b.Model && a.Version == b.Version &&
		a.Role == b.Role && a.Address == b.Address && a.Slots == b.Slots && len(a.Adapters) == len(b.Adapters)
}
