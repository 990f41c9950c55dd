// Package handover keeps where the runs of unfinished streams are copied to, so
// that an entry can go on with a stream that another entry, or its connection to
// the client, has lost.
//
// Entries tell each other their runs while they go on. A client that comes back
// with the same request and the last event that it has is then served from the
// copy, before the engine that holds it frees it.
//
// # Usage
//
//	r := handover.New()
//	r.Put(key, handover.Run{…})
//	r.End(now, key, whole)
//	r.Heard(now, owner, runs)
//	run, ok := r.Find(now, key)
//
// A Registry is safe for concurrent use.
package handover

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// copyLife is how long a copy is of use after its run was last heard of. An
	// engine keeps it about as long after its last part.
	copyLife = 4 * time.Second
	// silentTime is how long an entry may say nothing before others tell of its
	// runs.
	silentTime = 400 * time.Millisecond
)

// Key identifies a request, whichever attempt of the client brings it.
type Key string

// KeyOf returns the key of a request with these parts.
func KeyOf(parts ...string) Key {
	d := xxhash.New()
	for _, part := range parts {
		// Writing to a digest can't fail. The length keeps parts apart.
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Key(strconv.FormatUint(d.Sum64(), 16))
}

// Run is a run that is copied to another engine.
type Run struct {
	Key Key `json:"key"`
	// Holder is the engine that holds the copy.
	Holder id.Target `json:"holder"`
	// Address and Handle name the copy, as the engines know it.
	Address string `json:"address"`
	Handle  string `json:"handle"`
	// AgoMS is how long ago the run was last known to go on, in milliseconds.
	AgoMS int64 `json:"agoMs,omitempty"`
}

// heard is a run that is not this entry's own, or no longer.
type heard struct {
	run Run
	// at is when the run was last known to go on.
	at time.Time
	// from is the entry that served it, in this incarnation. It is zero where a
	// third one told of it.
	from Owner
	// orphan says that its entry has started again since.
	orphan bool
}

// Owner is one incarnation of the entry that serves a run.
type Owner struct {
	Name        id.Entry
	Incarnation id.Incarnation
}

// Registry holds the runs of one entry and those that it heard of.
type Registry struct {
	mu  sync.Mutex
	own map[Key]Run
	// ended holds the own runs that ended before their streams were whole.
	ended map[Key]heard
	peers map[Key]heard
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{own: map[Key]Run{}, ended: map[Key]heard{}, peers: map[Key]heard{}}
}

// SetLocal notes a run of this entry.
func (r *Registry) SetLocal(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[run.Key] = run
}

// EndLocal notes that this entry no longer serves a request. The run of one that is
// whole is forgotten.
func (r *Registry) EndLocal(now time.Time, key Key, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, known := r.own[key]
	delete(r.own, key)
	if known && !whole {
		r.ended[key] = heard{run: run, at: now}
	}
	if whole {
		delete(r.peers, key)
		delete(r.ended, key)
	}
}

// RunsToShare returns the runs to tell other entries: the own ones, and those of entries
// that told this one of them and have fallen silent or started again.
func (r *Registry) RunsToShare(now time.Time) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	expire(now, r.ended)
	expire(now, r.peers)
	runs := make([]Run, 0, len(r.own)+len(r.ended))
	for _, run := range r.own {
		runs = append(runs, run)
	}
	for _, h := range r.ended {
		runs = append(runs, h.told(now))
	}
	for _, h := range r.peers {
		if h.orphan || (h.from != Owner{} && now.Sub(h.at) > silentTime) {
			runs = append(runs, h.told(now))
		}
	}
	return runs
}

// LocalRuns returns the runs of this entry.
func (r *Registry) LocalRuns() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.own))
	for _, run := range r.own {
		runs = append(runs, run)
	}
	return runs
}

// Restore notes runs that were kept elsewhere, unless more is known of them.
func (r *Registry) Restore(now time.Time, runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		if _, known := r.peers[run.Key]; !known {
			r.peers[run.Key] = heard{run: run, at: now}
		}
	}
}

// told returns the run with its age.
func (h *heard) told(now time.Time) Run {
	run := h.run
	run.AgoMS = max(1, now.Sub(h.at).Milliseconds())
	return run
}

// UpdateFromPeer notes the runs that another entry told.
func (r *Registry) UpdateFromPeer(now time.Time, from Owner, runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disown(from, runs)
	for _, run := range runs {
		h := heard{run: run, at: now, from: from}
		if run.AgoMS > 0 {
			h.at, h.from = now.Add(-time.Duration(run.AgoMS)*time.Millisecond), Owner{}
			h.run.AgoMS = 0
		}
		if old, known := r.peers[run.Key]; !known || !old.at.After(h.at) {
			r.peers[run.Key] = h
		}
	}
}

// disown goes through the runs that an entry told before and no longer tells:
// they are whole, unless the entry has started again.
func (r *Registry) disown(from Owner, runs []Run) {
	still := make(map[Key]bool, len(runs))
	for _, run := range runs {
		still[run.Key] = true
	}
	for key, h := range r.peers {
		switch {
		case h.from.Name != from.Name || still[key]:
		case h.from.Incarnation == from.Incarnation:
			delete(r.peers, key)
		default:
			h.orphan = true
			r.peers[key] = h
		}
	}
}

// Take returns the run of a request that another entry, or this one, served
// until a moment ago. It is found once, since a copy can be used once.
func (r *Registry) Take(now time.Time, key Key) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range []map[Key]heard{r.ended, r.peers} {
		h, known := runs[key]
		delete(runs, key)
		if known && now.Sub(h.at) <= copyLife {
			return h.run, true
		}
	}
	return Run{}, false
}

func expire(now time.Time, runs map[Key]heard) {
	for key, h := range runs {
		if now.Sub(h.at) > copyLife {
			delete(runs, key)
		}
	}
}
