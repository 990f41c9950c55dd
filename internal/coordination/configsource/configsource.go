// Package configsource decides where an entry reads a new version of the
// configuration: from the key-value service or from another entry.
//
// A configuration can be as large as a megabyte, and all entries learn of a new one in
// the same moment. So only a few entries read it from the key-value service at once.
// The others wait a short time for one of these to have it, and read it from there,
// where it is compressed; an entry that has it passes it on. The waiting time grows with
// the entry's rank, so that each entry reads the key-value service soon enough even if
// no other one helps.
//
// # Usage
//
//	t := configsource.NewTracker()
//	t.Observe(address, version)                     // a message of another entry
//	address, ok := t.Source(random)                 // an entry that has a newer version
//	wait := configsource.Turn(self, alive)          // before reading the key-value service
//	t.PutInForce(version)
package configsource

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// firstReaders is the number of entries that read the key-value service at once.
	// Each further group is as large as all before it.
	firstReaders = 4
	// groupInterval is the time between two groups.
	groupInterval = 150 * time.Millisecond
	// maxListed limits the addresses that Holders returns.
	maxListed = 16
)

// Turn returns how long an entry waits before it reads a large new version from the
// key-value service. alive are the addresses of the other entries.
func Turn(self string, alive []string) time.Duration {
	rank := id.RendezvousRank("config", self, alive)
	return time.Duration(bits.Len(uint(rank/firstReaders))) * groupInterval
}

// Tracker knows which entries have which version. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	inForce catalog.Version
	// refused is the highest version that can't be used here.
	refused catalog.Version
	// holders maps the address of an entry to the version that is in force there. It
	// holds only entries with a version that is at least the one in force here.
	holders map[string]catalog.Version
}

// NewTracker returns a Tracker without entries.
func NewTracker() *Tracker { return &Tracker{holders: map[string]catalog.Version{}} }

// Observe records that a version is in force at another entry. It reports whether
// this entry should read it.
func (t *Tracker) Observe(address string, v catalog.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v >= t.inForce {
		t.holders[address] = v
	} else {
		delete(t.holders, address)
	}
	return t.wants(v)
}

// wants reports whether a version is newer than this entry's and can be used here. The
// caller holds the lock.
func (t *Tracker) wants(v catalog.Version) bool { return v > max(t.inForce, t.refused) }

// PutInForce records this entry's version.
func (t *Tracker) PutInForce(v catalog.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inForce = max(t.inForce, v)
	for address, held := range t.holders {
		if held < t.inForce {
			delete(t.holders, address)
		}
	}
}

// Drop forgets an entry from which a version could not be read, until it is heard of
// again.
func (t *Tracker) Drop(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.holders, address)
}

// Refuse records that the version of an entry can't be used here.
func (t *Tracker) Refuse(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = max(t.refused, t.holders[address])
}

// Source returns an entry to read a newer version from, and false if none is known.
// random is in [0, 1).
func (t *Tracker) Source(random float64) (string, bool) {
	sources := t.list(t.wants)
	if len(sources) == 0 {
		return "", false
	}
	return sources[int(random*float64(len(sources)))], true
}

// Holders returns some entries that have at least this entry's version.
func (t *Tracker) Holders() []string {
	all := t.list(func(catalog.Version) bool { return true })
	return all[max(0, len(all)-maxListed):]
}

// list returns the addresses of the entries whose version is wanted, in order.
func (t *Tracker) list(wanted func(catalog.Version) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for address, v := range t.holders {
		if wanted(v) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
