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
//	r.SetLocal(handover.Run{Key: key, Began: attempt, …})
//	r.EndLocal(now, handover.Stream{Key: key, Began: attempt}, complete)
//	r.UpdateFromPeer(now, owner, runs)
//	run, ok := r.Take(now, handover.Stream{Key: key, Began: attempt})
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

// Stream identifies a stream. Equal requests share their key, but a stream must not go on from the
// run of another one.
type Stream struct {
	Key Key
	// Began is the attempt of the client that began the stream; empty if it is not known.
	Began id.Request
}

// Run is the generation of a stream whose state is copied to another engine.
type Run struct {
	Key Key `json:"key"`
	// Began is the attempt of the client that began the stream; empty if it is not known.
	Began id.Request `json:"began,omitempty"`
	// Holder is the engine that holds the copy.
	Holder id.Target `json:"holder"`
	// Address and Handle identify the copy to the engines.
	Address string `json:"address"`
	Handle  string `json:"handle"`
	// AgoMS is the time since the run was last known to be active, in
	// milliseconds.
	AgoMS int64 `json:"agoMs,omitempty"`
}

// Stream returns the stream that the run belongs to.
func (r *Run) Stream() Stream { return Stream{Key: r.Key, Began: r.Began} }

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
	local map[Stream]Run
	// ended holds the local runs that ended before their streams were complete.
	ended map[Stream]trackedRun
	peers map[Stream]trackedRun
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{local: map[Stream]Run{}, ended: map[Stream]trackedRun{}, peers: map[Stream]trackedRun{}}
}

// SetLocal records a run that this entry serves.
func (r *Registry) SetLocal(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local[run.Stream()] = run
}

// EndLocal records that this entry no longer serves a stream. If it is
// complete, its run is removed.
func (r *Registry) EndLocal(now time.Time, stream Stream, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, known := r.local[stream]
	delete(r.local, stream)
	if known && !complete {
		r.ended[stream] = trackedRun{run: run, lastActive: now}
	}
	if complete {
		delete(r.peers, stream)
		delete(r.ended, stream)
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
		if _, known := r.peers[run.Stream()]; !known {
			r.peers[run.Stream()] = trackedRun{run: run, lastActive: now}
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
		if old, known := r.peers[run.Stream()]; !known || !old.lastActive.After(t.lastActive) {
			r.peers[run.Stream()] = t
		}
	}
}

// dropUnreported handles the runs that an entry reported before and no longer
// reports. Their streams are complete, so the runs are removed, unless the entry
// has restarted; then they are marked as orphaned.
func (r *Registry) dropUnreported(from Owner, runs []Run) {
	reported := make(map[Stream]bool, len(runs))
	for _, run := range runs {
		reported[run.Stream()] = true
	}
	for stream, t := range r.peers {
		switch {
		case t.owner.Name != from.Name || reported[stream]:
		case t.owner.Incarnation == from.Incarnation:
			delete(r.peers, stream)
		default:
			t.orphaned = true
			r.peers[stream] = t
		}
	}
}

// Take returns and removes the run of an interrupted stream that another entry,
// or this one, served until recently. It is removed because a copy can be used
// only once. If it is not known which attempt began the stream, the run is returned
// if no other stream has the key.
func (r *Registry) Take(now time.Time, stream Stream) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stream.Began == "" {
		only, ok := r.only(now, stream.Key)
		if !ok {
			return Run{}, false
		}
		stream = only
	}
	for _, runs := range []map[Stream]trackedRun{r.ended, r.peers} {
		t, known := runs[stream]
		delete(runs, stream)
		if known && now.Sub(t.lastActive) <= copyTTL {
			return t.run, true
		}
	}
	return Run{}, false
}

// only returns the only stream with the key.
func (r *Registry) only(now time.Time, key Key) (Stream, bool) {
	found := map[Stream]bool{}
	for stream := range r.local {
		if stream.Key == key {
			found[stream] = true
		}
	}
	for _, runs := range []map[Stream]trackedRun{r.ended, r.peers} {
		for stream, t := range runs {
			if stream.Key == key && now.Sub(t.lastActive) <= copyTTL {
				found[stream] = true
			}
		}
	}
	for stream := range found {
		return stream, len(found) == 1
	}
	return Stream{}, false
}

func expire(now time.Time, runs map[Stream]trackedRun) {
	for stream, t := range runs {
		if now.Sub(t.lastActive) > copyTTL {
			delete(runs, stream)
		}
	}
}
