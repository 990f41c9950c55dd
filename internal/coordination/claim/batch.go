package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

const (
	// maxBatch is how many transactions are written together. The key-value
	// service bounds the operations of a transaction.
	maxBatch = 48
	// batchTimeout bounds a write that is made for several asks.
	batchTimeout = 5 * time.Second
)

// Batcher writes the transactions of several asks as one, to keep to the
// key-value service's rate. While one write is under way the next ones gather.
// When a compare of a joint write fails, each is written by itself.
// Transactions about the same key are kept apart. It is safe for concurrent
// use.
//
// A goroutine writes while there is something to write; each write is bounded
// in time.
type Batcher struct {
	commit CommitFunc

	mu    sync.Mutex
	queue []*pending
	// writing says that the goroutine runs.
	writing bool
}

// pending is one transaction.
type pending struct {
	txn    store.Txn
	result store.Result
	err    error
	// done is closed when the transaction is written.
	done chan struct{}
}

// NewBatcher returns a Batch that writes with commit.
func NewBatcher(commit CommitFunc) *Batcher {
	return &Batcher{commit: commit}
}

// Commit writes txn, with others where it can. Its result and errors are those
// of store.Store's Commit; when ctx ends first, the error is ctx's and the
// write may take effect, also later.
func (b *Batcher) Commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	p := &pending{txn: txn, done: make(chan struct{})}
	if b.join(p) {
		go b.write(context.WithoutCancel(ctx), []*pending{p})
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		b.leave(p)
		return store.Result{}, ctx.Err()
	}
}

// join puts p into the queue; when nothing is being written it reports true,
// and p is to be written at once.
func (b *Batcher) join(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writing {
		b.queue = append(b.queue, p)
		return false
	}
	b.writing = true
	return true
}

// leave takes p out of the queue when it is still there.
func (b *Batcher) leave(p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = slices.DeleteFunc(b.queue, func(q *pending) bool { return q == p })
}

// write writes the batch and then what has gathered, until nothing has.
func (b *Batcher) write(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		bounded, cancel := context.WithTimeout(ctx, batchTimeout)
		b.commitAll(bounded, batch)
		cancel()
		for _, p := range batch {
			close(p.done)
		}
		batch = b.take()
	}
}

// take takes the head of the queue up to the bound, or up to a key that is in
// it already.
func (b *Batcher) take() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{}
	n := 0
	for n < len(b.queue) && n < maxBatch && distinct(seen, &b.queue[n].txn) {
		n++
	}
	batch := b.queue[:n:n]
	b.writing = n > 0
	b.queue = append([]*pending(nil), b.queue[n:]...)
	return batch
}

func distinct(seen map[string]bool, txn *store.Txn) bool {
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
		result, err := b.commit(ctx, joint(batch))
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

func joint(batch []*pending) store.Txn {
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
