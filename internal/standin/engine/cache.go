package engine

import (
	"container/list"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// Kinds of cache events, as sent in the API.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// retainedEvents is the least number of the newest events that a reader can still
// get. A reader that is further behind misses events and sees a gap in their
// numbers.
const retainedEvents = 1 << 14

// timedEvent is a cache event with the time from which readers can see it.
type timedEvent struct {
	event     protocol.CacheEvent
	visibleAt time.Time
}

// cache is a prefix cache of blocks that evicts the least recently used block.
// It is guarded by Engine.mu.
type cache struct {
	clock      clockwork.Clock
	eventLag   time.Duration
	maxBlocks  int
	lru        *list.List
	blocks     map[uint64]*list.Element
	events     []timedEvent
	lastNumber uint64
	// eventsToDrop is the number of upcoming events to drop. LoseCacheEvents sets it.
	eventsToDrop int
}

func newCache(limit int, clock clockwork.Clock, lag time.Duration) *cache {
	return &cache{
		clock:     clock,
		eventLag:  lag,
		maxBlocks: limit,
		lru:       list.New(),
		blocks:    map[uint64]*list.Element{},
	}
}

// match returns the number of leading hashes that are cached, and marks these
// blocks as used.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		element, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(hashes)
}

// store adds a block, or marks it as used, and evicts blocks beyond maxBlocks.
func (c *cache) store(hash uint64) {
	if c.maxBlocks < 0 {
		return
	}
	if element, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.emit(eventStored, hash)
	for len(c.blocks) > c.maxBlocks {
		oldest := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, oldest)
		c.emit(eventRemoved, oldest)
	}
}

// clear removes all blocks.
func (c *cache) clear() {
	c.lru.Init()
	clear(c.blocks)
	c.emit(eventCleared, 0)
}

// restart clears the cache and starts the event numbers again, as a new engine
// process does.
func (c *cache) restart() {
	c.events, c.lastNumber = nil, 0
	c.clear()
}

func (c *cache) emit(kind string, hash uint64) {
	c.lastNumber++
	if c.eventsToDrop > 0 {
		c.eventsToDrop--
		return
	}
	e := protocol.CacheEvent{Number: c.lastNumber, Kind: kind, Block: hash}
	if kind != eventCleared {
		e.Tokens = protocol.BlockTokens
	}
	if len(c.events) >= 2*retainedEvents {
		c.events = append(c.events[:0], c.events[retainedEvents:]...)
	}
	c.events = append(c.events, timedEvent{event: e, visibleAt: c.clock.Now().Add(c.eventLag)})
}

// eventsAfter returns the visible events with a number above n. If n is higher than
// the last event's number, the reader got it before the engine restarted, so all
// events are returned.
func (c *cache) eventsAfter(n uint64) protocol.CacheEvents {
	if n > c.lastNumber {
		n = 0
	}
	page := protocol.CacheEvents{Events: []protocol.CacheEvent{}, Next: n}
	now := c.clock.Now()
	first := sort.Search(len(c.events), func(i int) bool { return c.events[i].event.Number > n })
	for _, e := range c.events[first:] {
		if e.visibleAt.After(now) {
			break
		}
		page.Events = append(page.Events, e.event)
		page.Next = e.event.Number
	}
	return page
}
