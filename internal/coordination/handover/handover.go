// Package handover tracks where the runs of unfinished streams are copied to, so
// that an entry can resume a stream that was interrupted because another entry,
// or the connection to the client, failed.
//
// Entries report their runs to each other while these are in progress. A client
// that reconnects with the same request and its last event is then served from
// the copy, as long as the engine that holds the copy has not freed it.
//
// # Usage
//
//	r := handover.New()
//	r.SetLocal(handover.Run{Key: key, …})
//	r.EndLocal(now, key, complete)
//	r.UpdateFromPeer(now, owner, runs)
//	run, ok := r.Take(now, key)
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
	// copyTTL is how long a copy is usable after its run was last reported
	// active. An engine keeps a copy for about as long after it received the last
	// part.
	copyTTL = 4 * time.Second
)

// Key identifies a request. It is the same for every attempt of the client to
// send the request.
type Key string

// KeyOf returns the key of a request with these parts.
func KeyOf(parts ...string) Key {
	d := xxhash.New()
	for _, part := range parts {
		// Writing to a digest never fails. The length prefix separates the parts.
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Key(strconv.FormatUint(d.Sum64(), 16))
}

// Run is the generation of a stream whose state is copied to another engine.
type Run struct {
	Key Key `json:"key"`
	// Holder is the engine that holds the copy.
	Holder id.Target `json:"holder"`
	// Address and Handle identify the copy to the engines.
	Address string `json:"address"`
	Handle  string `json:"handle"`
	// AgoMS is the time since the run was last known to be active, in
	// milliseconds.
	AgoMS int64 `json:"agoMs,omitempty"`
}

// trackedRun is a run that this entry does not serve, or no longer serves.
type trackedRun struct {
	run Run
	// lastActive is when the run was last known to be active.
	lastActive time.Time
	// owner is the incarnation of the entry that served the run. It is zero if
	// this entry served the run, if a third entry reported it, or if it was read
	// from the store.
	owner Owner
	// orphaned means that the entry that served the run has restarted since.
	orphaned bool
}

// Owner is an incarnation of the entry that serves a run.
type Owner struct {
	Name        id.Entry
	Incarnation id.Incarnation
}

// Registry holds the runs of this entry and those that other entries reported.
type Registry struct {
	mu    sync.Mutex
	local map[Key]Run
	// ended holds the local runs that ended before their streams were complete.
	ended map[Key]trackedRun
	peers map[Key]trackedRun
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{local: map[Key]Run{}, ended: map[Key]trackedRun{}, peers: map[Key]trackedRun{}}
}

// SetLocal records a run that this entry serves.
func (r *Registry) SetLocal(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local[run.Key] = run
}

// EndLocal records that this entry no longer serves a request. If the stream is
// complete, its run is removed.
func (r *Registry) EndLocal(now time.Time, key Key, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, known := r.local[key]
	delete(r.local, key)
	if known && !complete {
		r.ended[key] = trackedRun{run: run, lastActive: now}
	}
	if complete {
		delete(r.peers, key)
		delete(r.ended, key)
	}
}

// RunsToShare returns the runs of this entry that other entries should know: those that
// it serves, and those whose streams were interrupted.
func (r *Registry) RunsToShare(now time.Time) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	expire(now, r.ended)
	expire(now, r.peers)
	runs := make([]Run, 0, len(r.local)+len(r.ended))
	for _, run := range r.local {
		runs = append(runs, run)
	}
	for _, t := range r.ended {
		runs = append(runs, t.withAge(now))
	}
	return runs
}

// OrphanedRuns returns the runs of entries that have restarted or that have sent no update
// for longer than silence, for an entry that has just started. The others know them from
// those entries themselves, so repeating them to all would cost more with each entry.
func (r *Registry) OrphanedRuns(now time.Time, silence time.Duration) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	expire(now, r.peers)
	var runs []Run
	for _, t := range r.peers {
		if t.orphaned || (t.owner != Owner{} && now.Sub(t.lastActive) > silence) {
			runs = append(runs, t.withAge(now))
		}
	}
	return runs
}

// LocalRuns returns the runs that this entry serves.
func (r *Registry) LocalRuns() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.local))
	for _, run := range r.local {
		runs = append(runs, run)
	}
	return runs
}

// Restore adds runs that were read from the store. A run that is already known
// from a peer is not replaced.
func (r *Registry) Restore(now time.Time, runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		if _, known := r.peers[run.Key]; !known {
			r.peers[run.Key] = trackedRun{run: run, lastActive: now}
		}
	}
}

// withAge returns the run with AgoMS set.
func (t *trackedRun) withAge(now time.Time) Run {
	run := t.run
	run.AgoMS = max(1, now.Sub(t.lastActive).Milliseconds())
	return run
}

// UpdateFromPeer records the runs reported by another entry.
func (r *Registry) UpdateFromPeer(now time.Time, from Owner, runs []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUnreported(from, runs)
	for _, run := range runs {
		t := trackedRun{run: run, lastActive: now, owner: from}
		if run.AgoMS > 0 {
			t.lastActive, t.owner = now.Add(-time.Duration(run.AgoMS)*time.Millisecond), Owner{}
			t.run.AgoMS = 0
		}
		if old, known := r.peers[run.Key]; !known || !old.lastActive.After(t.lastActive) {
			r.peers[run.Key] = t
		}
	}
}

// dropUnreported handles the runs that an entry reported before and no longer
// reports. Their streams are complete, so the runs are removed, unless the entry
// has restarted; then they are marked as orphaned.
func (r *Registry) dropUnreported(from Owner, runs []Run) {
	reported := make(map[Key]bool, len(runs))
	for _, run := range runs {
		reported[run.Key] = true
	}
	for key, t := range r.peers {
		switch {
		case t.owner.Name != from.Name || reported[key]:
		case t.owner.Incarnation == from.Incarnation:
			delete(r.peers, key)
		default:
			t.orphaned = true
			r.peers[key] = t
		}
	}
}

// Take returns and removes the run of an interrupted request that another entry,
// or this one, served until recently. It is removed because a copy can be used
// only once.
func (r *Registry) Take(now time.Time, key Key) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range []map[Key]trackedRun{r.ended, r.peers} {
		t, known := runs[key]
		delete(runs, key)
		if known && now.Sub(t.lastActive) <= copyTTL {
			return t.run, true
		}
	}
	return Run{}, false
}

func expire(now time.Time, runs map[Key]trackedRun) {
	for key, t := range runs {
		if now.Sub(t.lastActive) > copyTTL {
			delete(runs, key)
		}
	}
}
