package route

import (
	"math"
	"sync/atomic"

	"foxtailward.example/foxtailward/internal/state/id"
)

// CacheEventKind is a kind of change to an engine's prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	BlockStored  CacheEventKind = "stored"
	BlockRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change to an engine's prefix cache. Numbers rise by one.
// Events may arrive late, and a gap in the numbers means that some were lost.
type CacheEvent struct {
	Number uint64
	Kind   CacheEventKind
	// Block is the hash of a block of tokens and all blocks before it.
	Block uint64
}

const (
	hintBuckets = 256
	hintWays    = 4
	// gapAccuracyFactor is applied to the accuracy after a gap in the events.
	gapAccuracyFactor = 0.5
	// accuracySmoothing is the weight of a new observation of the accuracy.
	accuracySmoothing = 0.2
)

// cacheHints is a small set of the blocks that a replica probably has cached. A
// new block replaces the oldest one of its bucket. Reading takes no lock; only
// one goroutine may write at a time.
type cacheHints struct {
	table atomic.Pointer[hintTable]
	last  uint64
	// accuracy is the share of expected tokens that were found cached, as the
	// bits of a float64. 0 means that nothing was observed yet.
	accuracy atomic.Uint64
}

type hintTable struct {
	blocks [hintBuckets][hintWays]atomic.Uint64
	next   [hintBuckets]uint8
}

func (h *cacheHints) has(block uint64) bool {
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

// cached returns how many of the blocks' tokens are expected to be cached. A
// block is cached only with all blocks before it, so a binary search is enough.
func (h *cacheHints) cached(blocks []uint64, blockTokens int) int {
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
	return int(h.currentAccuracy() * float64(low*blockTokens))
}

func (h *cacheHints) currentAccuracy() float64 {
	bits := h.accuracy.Load()
	if bits == 0 {
		return 1
	}
	return math.Float64frombits(bits)
}

// setAccuracy stores the accuracy, but at least 0.01, since 0 stands for no
// observation.
func (h *cacheHints) setAccuracy(accuracy float64) {
	h.accuracy.Store(math.Float64bits(max(accuracy, 0.01)))
}

func (h *cacheHints) store(block uint64) {
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

func (h *cacheHints) remove(block uint64) {
	table := h.table.Load()
	if table == nil {
		return
	}
	bucket := &table.blocks[block%hintBuckets]
	for i := range bucket {
		bucket[i].CompareAndSwap(block, 0)
	}
}

// apply applies events. Events that were applied before are ignored. A gap in
// the numbers halves the accuracy, since removals may be among the lost events.
func (h *cacheHints) apply(events []CacheEvent) {
	for _, e := range events {
		if e.Number <= h.last {
			continue
		}
		if h.last != 0 && e.Number != h.last+1 {
			h.setAccuracy(h.currentAccuracy() * gapAccuracyFactor)
		}
		h.last = e.Number
		switch e.Kind {
		case BlockStored:
			h.store(e.Block)
		case BlockRemoved:
			h.remove(e.Block)
		case CacheCleared:
			h.table.Store(nil)
			h.accuracy.Store(0)
		}
	}
}

// recordResult updates the accuracy: of the expected tokens, cached ones were
// found in the cache.
func (h *cacheHints) recordResult(expected, cached int) {
	if expected <= 0 {
		return
	}
	share := min(1, float64(cached)/float64(expected))
	h.setAccuracy(h.currentAccuracy() + accuracySmoothing*(share-h.currentAccuracy()))
}

// ApplyCacheEvents applies cache events of a target, in the order of their
// numbers.
func (r *Router) ApplyCacheEvents(target id.Target, events []CacheEvent) {
	rep := r.replica(target)
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	rep.hints.apply(events)
}

// AddCachedBlocks records that a target has computed the blocks of a prompt,
// and so caches them for a time.
func (r *Router) AddCachedBlocks(target id.Target, blocks []uint64) {
	rep := r.replica(target)
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	for _, b := range blocks {
		rep.hints.store(b)
	}
}

// RecordCacheResult records how many of the tokens that a decision expected to
// be cached were found in the target's cache.
func (r *Router) RecordCacheResult(target id.Target, expected, cached int) {
	rep := r.replica(target)
	r.cacheMu.Lock()
	defer r.cacheMu.Unlock()
	rep.hints.recordResult(expected, cached)
}
