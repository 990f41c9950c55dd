package claim

import (
	"context"
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

// Batch writes the transactions of several asks as one, to keep to the
// key-value service's rate. While one write is under way the next ones gather;
// the first of them writes all. When a compare of a joint write fails, each is
// written by itself. The transactions must be about different keys or the ones
// that meet are kept apart. It is safe for concurrent use.
type Batch struct {
	commit func(ctx context.Context, txn store.Txn) (store.Result, error)
	mu     sync.Mutex
	queue  []*pending
	// writing says that an ask writes, and will write or hand on the queue.
	writing bool
}

// pending is one transaction in the queue.
type pending struct {
	txn    store.Txn
	result store.Result
	err    error
	// turn is closed when the transaction is written, or when lead is set and
	// its ask is to write.
	turn chan struct{}
	lead bool
}

// NewBatch returns a Batch that writes with commit.
func NewBatch(commit func(ctx context.Context, txn store.Txn) (store.Result, error)) *Batch {
	return &Batch{commit: commit}
}

// Commit writes txn, with others where it can. Its result and errors are those
// of store.Store's Commit; when ctx ends first, the error is ctx's and the
// write may take effect.
func (b *Batch) Commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	p := &pending{txn: txn, turn: make(chan struct{})}
	if !b.join(p) {
		select {
		case <-p.turn:
		case <-ctx.Done():
			if b.leave(p) {
				return store.Result{}, ctx.Err()
			}
			<-p.turn
		}
		if !p.lead {
			return p.result, p.err
		}
	}
	b.write(ctx)
	return p.result, p.err
}

// join puts p into the queue and reports whether its ask is to write.
func (b *Batch) join(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, p)
	if b.writing {
		return false
	}
	b.writing = true
	p.lead = true
	return true
}

// leave takes p out of the queue, and reports whether it was still there.
func (b *Batch) leave(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, q := range b.queue {
		if q == p && !p.lead {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// write writes the head of the queue, which starts with the caller's own, and
// hands the rest to the next in it.
func (b *Batch) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), batchTimeout)
	defer cancel()
	batch := b.take()
	b.commitAll(ctx, batch)
	for _, p := range batch[1:] {
		close(p.turn)
	}
	b.handOn()
}

func (b *Batch) handOn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.writing = false
		return
	}
	b.queue[0].lead = true
	close(b.queue[0].turn)
}

// take returns the head of the queue up to the bound, or up to a key that is
// in it already.
func (b *Batch) take() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{}
	n := 0
	for n < len(b.queue) && n < maxBatch && distinct(seen, &b.queue[n].txn) {
		n++
	}
	batch := b.queue[:n:n]
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

func (b *Batch) commitAll(ctx context.Context, batch []*pending) {
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

// Waiting returns the number of transactions in the queue.
func (b *Batch) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}
