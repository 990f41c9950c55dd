// Package savekey chooses the keys under which an entry saves its state in the key-value service, so that
// no write replaces one that was made after it.
//
// The service may do a write seconds after its answer was lost, also once the process that made it has
// ended. A key is therefore used by one process alone, and by none any more once a write to it was not
// acknowledged: what is saved next has a key of its own. Readers take what has the newest key of an entry.
// Older keys are removed by the writes that take their place, and once more when no late write is to be
// expected.
//
// # Usage
//
//	keys := savekey.New("edge-1", start)
//	keys.Observe(prefix, listed) // at the start, and whenever they are listed
//	w := keys.Begin(now, prefix, …)
//	if commit(w.Key(prefix), …, w.Removes) { keys.Done(now, w) } else { keys.Lost(now, w) }
//	newest := savekey.Newest(listed)
package savekey

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// lateWriteTime is how long a write may be under way whose answer was lost.
	lateWriteTime = 30 * time.Second
	// maxRemoves limits the keys that one write removes.
	maxRemoves = 16
	// maxOutdated limits the keys that are remembered for each prefix. One that is forgotten is removed once it is
	// listed.
	maxOutdated = 256
)

// Key is where a process of an entry saves one part of its state, apart from the prefix of that part.
type Key struct {
	Entry id.Entry
	// Start is when the process started, but later than the processes whose keys it found, as the time of day may
	// have jumped; 0 for what a build without such keys saved.
	Start id.Incarnation
	// Incarnation tells apart the processes that found the same keys.
	Incarnation id.Incarnation
	// Number rises with each write that was not acknowledged.
	Number int64
}

// String returns the key without its prefix: ENTRY/START-INCARNATION-NUMBER.
func (k Key) String() string {
	if k.Start == 0 {
		return string(k.Entry)
	}
	return fmt.Sprintf("%s/%d-%d-%d", k.Entry, k.Start, k.Incarnation, k.Number)
}

// Parse returns the key that text stands for, without its prefix. What String did not write is the key of an entry
// of that name.
func Parse(text string) Key {
	if i := strings.LastIndexByte(text, '/'); i >= 0 {
		k := Key{Entry: id.Entry(text[:i])}
		if _, err := fmt.Sscanf(text[i+1:], "%d-%d-%d", &k.Start, &k.Incarnation, &k.Number); err == nil && k.String() == text {
			return k
		}
	}
	return Key{Entry: id.Entry(text)}
}

// Compare orders the keys of an entry by when they came into use.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Start, other.Start), cmp.Compare(k.Incarnation, other.Incarnation), cmp.Compare(k.Number, other.Number))
}

// Newest returns the newest key of each entry.
func Newest(listed []Key) map[id.Entry]Key {
	newest := map[id.Entry]Key{}
	for _, k := range listed {
		if known, ok := newest[k.Entry]; !ok || k.Compare(known) > 0 {
			newest[k.Entry] = k
		}
	}
	return newest
}

// outdated is a key whose state has been saved anew, or will be.
type outdated struct {
	// lateUntil is when no late write to it is to be expected any more.
	lateUntil time.Time
	removed   bool
}

// due reports whether the key is to be removed now.
func (o outdated) due(now time.Time) bool { return !o.removed || !now.Before(o.lateUntil) }

// Keys are the keys of an entry's process. It is safe for concurrent use.
//
// If the writes of a process were all lost, and the time of day has jumped back when the next one starts, a late write of
// the first one counts as newer until the next one finds its key.
type Keys struct {
	mu      sync.Mutex
	current Key
	// used is set once a write has begun.
	used bool
	// held is the key of the last write with each prefix that was acknowledged, and older are those that must
	// not count any more.
	held  map[string]Key
	older map[string]map[Key]outdated
}

// New returns the keys of a process of an entry that has started at a time.
func New(entry id.Entry, start id.Incarnation) *Keys {
	return &Keys{
		current: Key{Entry: entry, Start: max(1, start), Incarnation: start},
		held:    map[string]Key{}, older: map[string]map[Key]outdated{},
	}
}

// Observe records which keys with a prefix the service holds. Those of other processes of this entry are older.
func (k *Keys) Observe(prefix string, listed []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range listed {
		if key.Entry != k.current.Entry || (key == k.current && k.used) {
			continue
		}
		k.outdate(prefix, key, time.Time{})
		if key.Compare(k.current) > 0 || (key.Start == k.current.Start && (key.Incarnation != k.current.Incarnation || !k.used)) {
			k.current.Start = key.Start + 1
		}
	}
}

// outdate records that what a key holds is older. The caller holds mu.
func (k *Keys) outdate(prefix string, key Key, lateUntil time.Time) {
	older := k.older[prefix]
	if older == nil {
		older = map[Key]outdated{}
		k.older[prefix] = older
	}
	if known, ok := older[key]; ok && known.lateUntil.After(lateUntil) {
		lateUntil = known.lateUntil
	}
	older[key] = outdated{lateUntil: lateUntil}
	if len(older) > maxOutdated {
		delete(older, slices.MinFunc(slices.Collect(maps.Keys(older)), Key.Compare))
	}
}

// Write is a write of parts of the state.
type Write struct {
	key      Key
	prefixes []string
	removes  map[string][]Key
}

// Key returns the key of the part with a prefix.
func (w *Write) Key(prefix string) string { return prefix + w.key.String() }

// Number tells how many writes of this process were not acknowledged before.
func (w *Write) Number() int64 { return w.key.Number }

// Removes returns the keys that the write has to remove.
func (w *Write) Removes() []string {
	var keys []string
	for _, prefix := range w.prefixes {
		for _, key := range w.removes[prefix] {
			keys = append(keys, prefix+key.String())
		}
	}
	return keys
}

// Begin returns the write that saves the parts with the prefixes now. Done or Lost must follow.
func (k *Keys) Begin(now time.Time, prefixes ...string) *Write {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = true
	w := &Write{key: k.current, prefixes: prefixes, removes: map[string][]Key{}}
	left := maxRemoves
	for _, prefix := range prefixes {
		if held, ok := k.held[prefix]; ok && held != k.current {
			k.outdate(prefix, held, time.Time{})
		}
		var due []Key
		for key, o := range k.older[prefix] {
			if o.due(now) {
				due = append(due, key)
			}
		}
		// The newest are those that a reader could mistake.
		slices.SortFunc(due, func(a, b Key) int { return b.Compare(a) })
		due = due[:min(left, len(due))]
		left -= len(due)
		w.removes[prefix] = due
	}
	return w
}

// Done records that a write was acknowledged.
func (k *Keys) Done(now time.Time, w *Write) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, prefix := range w.prefixes {
		k.held[prefix] = w.key
		for _, key := range w.removes[prefix] {
			o := k.older[prefix][key]
			if now.Before(o.lateUntil) {
				k.older[prefix][key] = outdated{lateUntil: o.lateUntil, removed: true}
				continue
			}
			delete(k.older[prefix], key)
		}
	}
}

// Lost records that a write was not acknowledged. It may be done later, so its key is not used again.
func (k *Keys) Lost(now time.Time, w *Write) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, prefix := range w.prefixes {
		k.outdate(prefix, w.key, now.Add(lateWriteTime))
	}
	if k.current == w.key {
		k.current.Number++
	}
}
