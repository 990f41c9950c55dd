package engine

import (
	"container/list"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
)

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// eventsKept bounds the events that a reader can still get; older ones are
// lost to it, which it sees as a gap.
const eventsKept = 1 << 14

// timedEvent is a cache event and the time from which it can be read.
type timedEvent struct {
	event   protocol.CacheEvent
	visible time.Time
}

// cache is a prefix cache in blocks; the least recently used block goes first.
// The engine's lock guards it.
type cache struct {
	clock  clockwork.Clock
	lag    time.Duration
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	events []timedEvent
	number uint64
	// losing is how many of the next events are lost.
	losing int
}

func newCache(limit int, clock clockwork.Clock, lag time.Duration) *cache {
	return &cache{
		clock:  clock,
		lag:    lag,
		limit:  limit,
		order:  list.New(),
		blocks: map[uint64]*list.Element{},
	}
}

// match returns how many of hashes, from the first, are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		element, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

// store puts a block into the cache and removes what no longer fits.
func (c *cache) store(hash uint64) {
	if c.limit < 0 {
		return
	}
	if element, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.emit(eventStored, hash)
	for len(c.blocks) > c.limit {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, oldest)
		c.emit(eventRemoved, oldest)
	}
}

// clear empties the cache.
func (c *cache) clear() {
	c.order.Init()
	clear(c.blocks)
	c.emit(eventCleared, 0)
}

// restart empties the cache and numbers the events from the start again, as a
// new process does.
func (c *cache) restart() {
	c.events, c.number = nil, 0
	c.clear()
}

func (c *cache) emit(kind string, hash uint64) {
	c.number++
	if c.losing > 0 {
		c.losing--
		return
	}
	e := protocol.CacheEvent{Number: c.number, Kind: kind, Block: hash}
	if kind != eventCleared {
		e.Tokens = protocol.BlockTokens
	}
	if len(c.events) >= 2*eventsKept {
		c.events = append(c.events[:0], c.events[eventsKept:]...)
	}
	c.events = append(c.events, timedEvent{event: e, visible: c.clock.Now().Add(c.lag)})
}

// after returns the visible events with a number above n. A number that this
// process has not reached comes from before its start; all events answer it.
func (c *cache) after(n uint64) protocol.CacheEvents {
	if n > c.number {
		n = 0
	}
	page := protocol.CacheEvents{Events: []protocol.CacheEvent{}, Next: n}
	now := c.clock.Now()
	first := sort.Search(len(c.events), func(i int) bool { return c.events[i].event.Number > n })
	for _, e := range c.events[first:] {
		if e.visible.After(now) {
			break
		}
		page.Events = append(page.Events, e.event)
		page.Next = e.event.Number
	}
	return page
}
