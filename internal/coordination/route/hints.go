package route

import (
	"math"
	"sync/atomic"

	"foxtailward.example/foxtailward/internal/state/id"
)

// CacheEventKind says what an engine's prefix cache did.
type CacheEventKind string

// Kinds of cache events.
const (
	BlockStored  CacheEventKind = "stored"
	BlockRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Numbers rise by one;
// events come late, and a gap means that some were lost.
type CacheEvent struct {
	Number uint64
	Kind   CacheEventKind
	// Block is the hash of a block of tokens and all blocks before it.
	Block uint64
}

const (
	hintBuckets = 256
	hintWays    = 4
	// gapTrust is what a gap leaves of the trust in hints.
	gapTrust = 0.5
	// trustGain is how much of the lost trust a report of a use restores.
	trustGain = 0.2
)

// hints is a small set of the blocks that a replica is believed to cache. The
// oldest block of a bucket makes room for a new one. Reading takes no lock;
// writes come from one goroutine at a time.
type hints struct {
	table atomic.Pointer[hintTable]
	last  uint64
	// trust is the part of hinted tokens that was found cached, as the bits of
	// a float64; 0 means that nothing was found out yet.
	trust atomic.Uint64
}

type hintTable struct {
	blocks [hintBuckets][hintWays]atomic.Uint64
	next   [hintBuckets]uint8
}

func (h *hints) has(block uint64) bool {
	table := h.table.Load()
	if table == nil {
		return false
	}
	bucket := &table.blocks[block%hintBuckets]
	for i := range bucket {
		if bucket[i].Load() == block {
			return true
		}
	}
	return false
}

// cached returns how many of the blocks' tokens are believed to be cached. A
// block is cached only with all blocks before it, so the search halves.
func (h *hints) cached(blocks []uint64, blockTokens int) int {
	if len(blocks) == 0 || h.table.Load() == nil || !h.has(blocks[0]) {
		return 0
	}
	low, high := 1, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if h.has(blocks[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return int(h.trusted() * float64(low*blockTokens))
}

func (h *hints) trusted() float64 {
	bits := h.trust.Load()
	if bits == 0 {
		return 1
	}
	return math.Float64frombits(bits)
}

func (h *hints) setTrust(trust float64) {
	h.trust.Store(math.Float64bits(max(trust, 0.01)))
}

func (h *hints) store(block uint64) {
	table := h.table.Load()
	if table == nil {
		table = &hintTable{}
		h.table.Store(table)
	}
	if block == 0 || h.has(block) {
		return
	}
	n := block % hintBuckets
	way := table.next[n] % hintWays
	table.next[n]++
	table.blocks[n][way].Store(block)
}

func (h *hints) remove(block uint64) {
	table := h.table.Load()
	if table == nil {
		return
	}
	bucket := &table.blocks[block%hintBuckets]
	for i := range bucket {
		bucket[i].CompareAndSwap(block, 0)
	}
}

// apply takes over events. What came before is ignored, and a gap halves the
// trust, since removals may be among what was lost.
func (h *hints) apply(events []CacheEvent) {
	for _, e := range events {
		if e.Number <= h.last {
			continue
		}
		if h.last != 0 && e.Number != h.last+1 {
			h.setTrust(h.trusted() * gapTrust)
		}
		h.last = e.Number
		switch e.Kind {
		case BlockStored:
			h.store(e.Block)
		case BlockRemoved:
			h.remove(e.Block)
		case CacheCleared:
			h.table.Store(nil)
			h.trust.Store(0)
		}
	}
}

// found takes over that of the hinted tokens so many were cached.
func (h *hints) found(hinted, cached int) {
	if hinted <= 0 {
		return
	}
	share := min(1, float64(cached)/float64(hinted))
	h.setTrust(h.trusted() + trustGain*(share-h.trusted()))
}

// ApplyCacheEvents takes over cache events of a target, in the order of their numbers.
func (r *Router) ApplyCacheEvents(target id.Target, events []CacheEvent) {
	rep := r.replica(target)
	r.hintsMu.Lock()
	defer r.hintsMu.Unlock()
	rep.hints.apply(events)
}

// AddCachedBlocks notes that a target has computed the blocks of a prompt, and so caches
// them for a time.
func (r *Router) AddCachedBlocks(target id.Target, blocks []uint64) {
	rep := r.replica(target)
	r.hintsMu.Lock()
	defer r.hintsMu.Unlock()
	for _, b := range blocks {
		rep.hints.store(b)
	}
}

// RecordCacheResult notes that of the tokens that a decision believed cached, cached ones
// were.
func (r *Router) RecordCacheResult(target id.Target, hinted, cached int) {
	rep := r.replica(target)
	r.hintsMu.Lock()
	defer r.hintsMu.Unlock()
	rep.hints.found(hinted, cached)
}
