// Package origin tracks at which version of a target's software each stream began. A
// stream may go on only at that version, at any entry, also after the entry that served
// it has ended.
//
// A Registry holds the streams that this entry serves, and those that other entries have
// told it about. Versions holds which versions have served recently, and which processes serve that
// no record describes. Where one version alone has served for longer than a stream lasts, a stream
// that nobody remembers began there, as far as the records tell.
//
// # Usage
//
//	streams := origin.New()
//	streams.Record(now, origin.Stream{Attempt: attempt, Software: "v1"})
//	for address, untold := range streams.Untold(now, keepers) { … send it … }
//	streams.Merge(now, received)
//	s, ok := streams.Find(now, attempt)
//
//	versions := origin.NewVersions()
//	versions.Observe(now, targets, fresh)
//	software, ok := versions.Sole(now, service)
//
// Both types are safe for concurrent use.
package origin

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// DefaultLifetime is how long after its first event a stream may be resumed, unless
	// the configuration allows longer streams.
	DefaultLifetime = 30 * time.Second
	// ResumeMargin is how much longer than a stream may last it is remembered.
	ResumeMargin = 5 * time.Second
	// retellDelay is how long after the first message about a stream the second one is
	// sent, because the first may be lost.
	retellDelay = 300 * time.Millisecond
	// maxTells is the number of messages about a stream to each entry that keeps it.
	maxTells = 2
	// expireInterval is how often streams that are over are dropped.
	expireInterval = time.Second
	// maxStreams limits the streams of other entries.
	maxStreams = 100_000
)

// Stream says where a stream began.
type Stream struct {
	// Attempt is the client's attempt that brought the stream's first event, or what
	// ContentKey returns.
	Attempt id.Request `json:"attempt"`
	// Software is the version that began the stream.
	Software id.SoftwareVersion `json:"software,omitempty"`
	// Unknown is set if the version is not known. Target is then the target that began the
	// stream, and Start the start that its process named, if a record can still tell the version.
	Unknown bool           `json:"unknown,omitempty"`
	Target  id.Target      `json:"target,omitempty"`
	Start   id.Incarnation `json:"start,omitempty"`
	// Startless is set if the version is that of a record that named no start of its process. It is believed as long as no
	// record names one.
	Startless bool `json:"startless,omitempty"`
	// Ambiguous is set if streams of equal requests began at different versions.
	Ambiguous bool `json:"ambiguous,omitempty"`
	// AgeMS is the time since the stream was last known to run, in milliseconds.
	AgeMS int64 `json:"agoMs,omitempty"`
}

// Source is from what an entry knows at which version a stream began.
type Source string

// Sources.
const (
	// ByReport means that the process that sent the first event named its start.
	ByReport Source = "report"
	// ByRecord means that the record of the target that began the stream tells.
	ByRecord Source = "record"
	// ByOwn means that this entry has served the stream before.
	ByOwn Source = "own"
	// ByPeer means that another entry told it, or had saved it.
	ByPeer Source = "peer"
	// BySole means that nobody remembers the stream, and one version alone has served.
	BySole Source = "sole"
	// NoSource means that it is not known.
	NoSource Source = "none"
)

// contentPrefix begins the keys of streams by what their requests ask for.
const contentPrefix = "content:"

// ContentKey returns the key by which the stream of a client is found that does not name
// its attempt. Streams of equal requests share it, so it tells the version only if they
// all began at the same one.
func ContentKey(key string) id.Request { return id.Request(contentPrefix + key) }

// Known reports whether the stream's version is known.
func (s *Stream) Known() bool { return !s.Unknown && !s.Ambiguous }

// merged returns what is known of a stream with what else is said of it. The version that
// was known first stays.
func (s *Stream) merged(other Stream) Stream {
	byContent := strings.HasPrefix(string(s.Attempt), contentPrefix)
	switch {
	case s.Ambiguous, other.Ambiguous, byContent && !s.Unknown && !other.Unknown && s.Software != other.Software:
		return Stream{Attempt: s.Attempt, Ambiguous: true}
	case s.Unknown && !other.Unknown, s.Unknown && s.Target == "":
		return other
	}
	return *s
}

// tracked is a stream that this entry knows.
type tracked struct {
	Stream
	activeAt time.Time
	// own is set for streams that this entry has served. told holds the messages about it
	// by the address of the entry that keeps it.
	own  bool
	told map[string]tells
	// toldAll is the set of entries of which those that keep the stream know it; 0 for none.
	toldAll EntrySet
}

// EntrySet identifies the entries that are alive. It changes with them, and is not 0.
type EntrySet uint64

// tells counts the reports of a stream to one entry.
type tells struct {
	n  int
	at time.Time
}

// Registry holds streams by the attempts that began them.
type Registry struct {
	mu       sync.Mutex
	lifetime time.Duration
	streams  map[id.Request]*tracked
	// expiredAt is when streams that are over were last dropped.
	expiredAt time.Time
	// changed is closed and replaced when streams of other entries arrive.
	changed chan struct{}
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{lifetime: DefaultLifetime, streams: map[id.Request]*tracked{}, changed: make(chan struct{})}
}

// SetLifetime sets how long a stream may last, if that is more than DefaultLifetime.
func (r *Registry) SetLifetime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifetime = max(d, DefaultLifetime)
}

// Record records a stream that this entry serves. What is known of its version stays.
func (r *Registry) Record(now time.Time, s Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	t := r.streams[s.Attempt]
	if t == nil {
		t = &tracked{Stream: s, told: map[string]tells{}}
		r.streams[s.Attempt] = t
	}
	t.activeAt, t.own = now, true
	t.update(s)
}

// Touch records that this entry still serves a stream.
func (r *Registry) Touch(now time.Time, attempt id.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.streams[attempt]; t != nil {
		t.activeAt = now
	}
}

// Merge records streams that other entries have reported, or that were saved.
func (r *Registry) Merge(now time.Time, streams []Stream) {
	if len(streams) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, s := range streams {
		activeAt := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		s.AgeMS = 0
		t := r.streams[s.Attempt]
		switch {
		case s.Attempt == "" || now.Sub(activeAt) > r.lifetime:
		case t == nil && len(r.streams) < maxStreams:
			r.streams[s.Attempt] = &tracked{Stream: s, activeAt: activeAt, told: map[string]tells{}}
		case t == nil:
		default:
			t.update(s)
			t.activeAt = latest(t.activeAt, activeAt)
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// update records what else is said of the stream. A change is reported again to the
// entries that keep it.
func (t *tracked) update(s Stream) {
	merged := t.merged(s)
	if merged != t.Stream {
		t.Stream = merged
		t.told, t.toldAll = map[string]tells{}, 0
	}
}

// Resolve records the versions of streams that began at processes whose records have arrived. find
// returns a target's record, or nil.
func (r *Registry) Resolve(find func(id.Target) *catalog.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.streams {
		if !t.Unknown || t.Target == "" {
			continue
		}
		if record := find(t.Target); record != nil && record.Incarnation == t.Start && !record.SoftwareUnknown {
			t.update(Stream{Attempt: t.Attempt, Software: record.Software})
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Find returns a stream by the attempt that began it.
func (r *Registry) Find(now time.Time, attempt id.Request) (Stream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.streams[attempt]
	if t == nil || now.Sub(t.activeAt) > r.lifetime {
		return Stream{}, false
	}
	return t.withAge(now), true
}

// Source returns from what a stream is known that Find returns.
func (r *Registry) Source(attempt id.Request) Source {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch t := r.streams[attempt]; {
	case t == nil:
		return NoSource
	case t.own:
		return ByOwn
	}
	return ByPeer
}

func (t *tracked) withAge(now time.Time) Stream {
	s := t.Stream
	s.AgeMS = max(0, now.Sub(t.activeAt).Milliseconds())
	return s
}

// Changed returns a channel that is closed when streams of other entries arrive.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Own returns the streams that this entry serves or has served, to save them, in order.
func (r *Registry) Own(now time.Time) []Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var own []Stream
	for _, t := range r.streams {
		if t.own {
			own = append(own, t.withAge(now))
		}
	}
	slices.SortFunc(own, func(a, b Stream) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return own
}

// expire drops the streams that are over. It does nothing if it did so a short time ago.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expireInterval {
		return
	}
	r.expiredAt = now
	maps.DeleteFunc(r.streams, func(_ id.Request, t *tracked) bool { return now.Sub(t.activeAt) > r.lifetime })
}

// Untold returns the streams of this entry to report to other entries now, by address,
// and counts them as reported. keepers returns the addresses of the entries that keep a stream, of those
// that are alive.
func (r *Registry) Untold(now time.Time, alive EntrySet, keepers func(attempt id.Request) []string) map[string][]Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	untold := map[string][]Stream{}
	for attempt, t := range r.streams {
		if !t.own || t.toldAll == alive {
			continue
		}
		addresses := keepers(attempt)
		for _, address := range addresses {
			if t.tell(now, address) {
				untold[address] = append(untold[address], t.withAge(now))
			}
		}
		if !slices.ContainsFunc(addresses, func(address string) bool { return t.told[address].n < maxTells }) {
			t.toldAll = alive
		}
	}
	return untold
}

// Tell returns the addresses to which a stream of this entry is reported now, of those that keep
// it, and counts it as reported.
func (r *Registry) Tell(now time.Time, attempt id.Request, keepers []string) (Stream, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.streams[attempt]
	if t == nil || !t.own {
		return Stream{}, nil
	}
	var addresses []string
	for _, address := range keepers {
		if t.tell(now, address) {
			addresses = append(addresses, address)
		}
	}
	return t.withAge(now), addresses
}

// tell reports whether an entry needs a report of the stream now, and counts it.
func (t *tracked) tell(now time.Time, address string) bool {
	told := t.told[address]
	if told.n >= maxTells || (told.n > 0 && now.Sub(told.at) < retellDelay) {
		return false
	}
	t.told[address] = tells{n: told.n + 1, at: now}
	return true
}

// Forgotten records that the entry at an address has started again, and so has to be told
// about its streams again.
func (r *Registry) Forgotten(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.streams {
		delete(t.told, address)
		t.toldAll = 0
	}
}
