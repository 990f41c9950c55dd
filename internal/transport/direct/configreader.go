package direct

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/configsource"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/timing"
)

const (
	// configPath serves the configuration in force to other entries.
	configPath = "/config"
	// maxConfigReaders limits the entries that read the configuration from this one at
	// the same time. It is small so that the first of them can soon pass it on.
	maxConfigReaders = 4
	// peerPatience is how long a read of the key-value service waits for a read from
	// another entry.
	peerPatience = 700 * time.Millisecond
	// busyPause is the time until the next try while all entries that have the
	// version are busy. Up to the same time again is added as random jitter.
	busyPause = 60 * time.Millisecond
	// maxAnnouncements limits the entries to which an entry passes on that it has a
	// version which it read from another entry.
	maxAnnouncements = 8
)

// configReader reads new versions of the configuration from other entries, and passes
// them on.
type configReader struct {
	e       *Entry
	peers   *peerExchange
	tracker *configsource.Tracker

	mu sync.Mutex
	// reading is set while a read from another entry is in progress.
	reading bool
	// changed is closed and replaced when such a read ends, or a version is in force.
	changed chan struct{}
	// encoded is the configuration in force as other entries read it; nil until one
	// asks for it.
	encoded []byte
	// readers is the number of entries that read it now.
	readers int
}

func newConfigReader(e *Entry, peers *peerExchange) *configReader {
	return &configReader{e: e, peers: peers, tracker: configsource.NewTracker(), changed: make(chan struct{})}
}

// notify wakes waiting reads up. The caller holds the lock.
func (c *configReader) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// observe records the version that is in force at another entry, and starts to read
// it from there if it is newer than this entry's.
func (c *configReader) observe(ctx context.Context, address string, v catalog.Version) {
	if !c.tracker.Observe(address, v) {
		return
	}
	c.e.storeWatcher.noteVersion(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return
	}
	c.reading = true
	go c.readNewer(ctx)
}

// putInForce is called when a version is in force. It tells other entries: all of them
// if the version was read from the key-value service, and some otherwise.
func (c *configReader) putInForce(v catalog.Version, source itemSource) {
	c.tracker.PutInForce(v)
	c.mu.Lock()
	c.encoded = nil
	c.notify()
	c.mu.Unlock()
	addresses := c.peers.roster.Addresses(c.e.deps.Clock.Now())
	if source == fromEntry && len(addresses) > maxAnnouncements {
		first := int(c.e.deps.Random() * float64(len(addresses)))
		addresses = append(addresses[first:], addresses[:first]...)[:maxAnnouncements]
	}
	c.peers.announce(addresses)
}

// readNewer reads newer versions from other entries, one read at a time, until no
// entry is known to have one.
func (c *configReader) readNewer(ctx context.Context) {
	for {
		address, ok := c.nextSource(ctx)
		if !ok {
			return
		}
		busy, err := c.readFrom(ctx, address)
		switch {
		case err != nil:
			c.tracker.Drop(address)
			c.e.deps.Log.Emit(event.PeerUpdateRejected, "peer", address, "error", err)
		case busy:
			timing.Sleep(ctx, c.e.deps.Clock, busyPause+time.Duration(c.e.deps.Random()*float64(busyPause)))
		}
	}
}

// nextSource returns the entry to read from next. If there is none, or ctx has ended,
// it ends the reading and returns false.
func (c *configReader) nextSource(ctx context.Context) (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil {
		address, ok = c.tracker.Source(c.e.deps.Random())
	}
	if !ok {
		c.reading = false
		c.notify()
	}
	return address, ok
}

// readFrom reads the configuration of another entry. It reports whether that entry is
// busy; then it has named others that have the version too.
func (c *configReader) readFrom(ctx context.Context, address string) (busy bool, err error) {
	status, data, err := c.peers.get(ctx, address, configPath)
	if err != nil {
		return false, err
	}
	switch status {
	case http.StatusOK:
		copied, err := direct.DecodeStoreCopy(data)
		if err != nil {
			return false, err
		}
		for _, item := range copied.Items {
			if err := c.e.storeWatcher.applyConfig(item, copied.Era, fromEntry); err != nil {
				c.tracker.Refuse(address)
				return false, err
			}
		}
		// What is still not newer than this entry's version does not help.
		c.tracker.Drop(address)
		return false, nil
	case http.StatusServiceUnavailable:
		var holders configHolders
		if err := json.Unmarshal(data, &holders); err != nil {
			return false, err
		}
		for _, other := range holders.Addresses {
			if other != c.e.cfg.PeerAddress {
				c.tracker.Observe(other, holders.Version)
			}
		}
		return true, nil
	default:
		c.tracker.Drop(address)
		return false, nil
	}
}

// configHolders names entries that have a version of the configuration.
type configHolders struct {
	Version   catalog.Version `json:"version"`
	Addresses []string        `json:"addresses"`
}

// serve sends the configuration in force to another entry. If too many others are
// reading it, it answers which entries have it too.
func (c *configReader) serve(w http.ResponseWriter) {
	if !c.beginServing() {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		// An error means that the reader has disconnected.
		_ = json.NewEncoder(w).Encode(configHolders{c.e.configVersion(), c.tracker.Holders()})
		return
	}
	defer c.endServing()
	data, err := c.encode()
	if err != nil {
		c.e.deps.Log.Emit(event.TaskFailed, "duty", "config", "error", err)
	}
	if len(data) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c.peers.writeCopy(w, data)
}

func (c *configReader) beginServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readers >= maxConfigReaders {
		return false
	}
	c.readers++
	return true
}

func (c *configReader) endServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers--
}

// encode returns the configuration in force as other entries read it, or nothing if
// there is none.
func (c *configReader) encode() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil {
		return c.encoded, nil
	}
	item, era := c.e.storeWatcher.currentConfig()
	if !item.Exists() {
		return nil, nil
	}
	data, err := (&direct.StoreCopy{Era: era, Items: []store.Item{item}}).Encode()
	c.encoded = data
	return data, err
}

// largeAnswer returns the function that paces a large answer of the key-value service
// about the configuration: the read waits for this entry's turn, and for a read from
// another entry, but not for long.
func (c *configReader) largeAnswer() func(context.Context) error {
	now := c.e.deps.Clock.Now()
	turn := now.Add(configsource.Turn(c.e.cfg.PeerAddress, c.peers.roster.Alive(now)))
	patience := turn.Add(peerPatience)
	return func(ctx context.Context) error {
		for {
			now := c.e.deps.Clock.Now()
			c.mu.Lock()
			until, changed := turn, c.changed
			if c.reading {
				until = patience
			}
			c.mu.Unlock()
			if !now.Before(until) {
				return ctx.Err()
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			case <-c.e.deps.Clock.After(until.Sub(now)):
			}
		}
	}
}

// configVersion returns the version in force, or 0 if there is none.
func (e *Entry) configVersion() catalog.Version {
	if cfg := e.directory.View().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// LargeAnswer returns the function that the client of the key-value service calls
// before it reads each part of a large answer about the keys with a prefix, or one that
// never waits.
func (e *Entry) LargeAnswer(prefix string) func(context.Context) error {
	if e.configReader == nil || prefix != e.deps.Codec.ConfigPrefix || e.configVersion() == 0 {
		return func(context.Context) error { return nil }
	}
	return e.configReader.largeAnswer()
}
