package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

const (
	// maxBatch bounds the transactions that are merged into one, because the
	// key-value service bounds the operations of a transaction.
	maxBatch = 48
	// batchTimeout bounds the write of a batch.
	batchTimeout = 5 * time.Second
)

// Batcher merges the transactions of several invocations into one write, to stay within
// the key-value service's rate limit. While one write is in progress, further
// transactions wait in a queue. If a compare of a merged transaction fails, each
// transaction is written separately. Transactions on the same key are never merged. It
// is safe for concurrent use.
//
// One goroutine writes as long as the queue is not empty; each write has a timeout.
type Batcher struct {
	commit CommitFunc

	mu    sync.Mutex
	queue []*pending
	// writing says that the writing goroutine is running.
	writing bool
}

// pending is one transaction with its result.
type pending struct {
	txn    store.Txn
	result store.Result
	err    error
	// done is closed once result and err are set.
	done chan struct{}
}

// NewBatcher returns a Batcher that writes with commit.
func NewBatcher(commit CommitFunc) *Batcher {
	return &Batcher{commit: commit}
}

// Commit writes txn, merged with others where possible. Its result and errors are those
// of store.Store.Commit. If ctx ends first, its error is returned, and the write may have
// taken effect or may still do so.
func (b *Batcher) Commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	p := &pending{txn: txn, done: make(chan struct{})}
	if b.enqueue(p) {
		go b.run(context.WithoutCancel(ctx), []*pending{p})
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		b.dequeue(p)
		return store.Result{}, ctx.Err()
	}
}

// enqueue adds p to the queue. If no write is in progress, it returns true instead, and
// the caller must write p immediately.
func (b *Batcher) enqueue(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writing {
		b.queue = append(b.queue, p)
		return false
	}
	b.writing = true
	return true
}

// dequeue removes p from the queue if it is still there.
func (b *Batcher) dequeue(p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = slices.DeleteFunc(b.queue, func(q *pending) bool { return q == p })
}

// run writes the batch, and then batches from the queue until it is empty.
func (b *Batcher) run(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		bounded, cancel := context.WithTimeout(ctx, batchTimeout)
		b.commitAll(bounded, batch)
		cancel()
		for _, p := range batch {
			close(p.done)
		}
		batch = b.nextBatch()
	}
}

// nextBatch removes the head of the queue: at most maxBatch transactions, up to the first
// one on a key that the batch already has.
func (b *Batcher) nextBatch() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{}
	n := 0
	for n < len(b.queue) && n < maxBatch && addKeys(seen, &b.queue[n].txn) {
		n++
	}
	batch := b.queue[:n:n]
	b.writing = n > 0
	b.queue = append([]*pending(nil), b.queue[n:]...)
	return batch
}

// addKeys adds the keys of txn to seen, and returns false if one was there already.
func addKeys(seen map[string]bool, txn *store.Txn) bool {
	for _, c := range txn.Compares {
		if seen[c.Key] {
			return false
		}
		seen[c.Key] = true
	}
	return true
}

func (b *Batcher) commitAll(ctx context.Context, batch []*pending) {
	if len(batch) > 1 {
		result, err := b.commit(ctx, mergeTxns(batch))
		if err != nil || result.Succeeded {
			for _, p := range batch {
				p.result, p.err = result, err
			}
			return
		}
	}
	for _, p := range batch {
		p.result, p.err = b.commit(ctx, p.txn)
	}
}

func mergeTxns(batch []*pending) store.Txn {
	var all store.Txn
	for _, p := range batch {
		all.Compares = append(all.Compares, p.txn.Compares...)
		all.Puts = append(all.Puts, p.txn.Puts...)
		all.Deletes = append(all.Deletes, p.txn.Deletes...)
	}
	return all
}

// QueueLen returns the number of transactions in the queue.
func (b *Batcher) QueueLen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}
