package direct

import (
	"context"
	"sync"
)

// joined asks a question about a key for all that need its answer at the same time. An answer that holds for whoever came before it was
// asked for answers them all, so there are never more than one question under way and one that follows. It is safe for
// concurrent use.
type joined[K comparable, V any] struct {
	mu sync.Mutex
	// next has the keys with a question under way, and the answer that those wait for who came since it began; nil for nobody.
	next map[K]*joinedAnswer[V]
}

type joinedAnswer[V any] struct {
	done  chan struct{}
	value V
}

// ask returns the answer to a question that is asked from now on; false if ctx ends before that. All calls for a key must have the same
// question, which has to end by itself.
func (j *joined[K, V]) ask(ctx context.Context, key K, question func() V) (V, bool) {
	next := j.join(key, question)
	select {
	case <-next.done:
		return next.value, true
	case <-ctx.Done():
		var none V
		return none, false
	}
}

func (j *joined[K, V]) join(key K, question func() V) *joinedAnswer[V] {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.next == nil {
		j.next = map[K]*joinedAnswer[V]{}
	}
	next, running := j.next[key]
	if next == nil {
		next = &joinedAnswer[V]{done: make(chan struct{})}
		j.next[key] = next
	}
	if !running {
		go j.askAll(key, question)
	}
	return next
}

// askAll asks as long as somebody waits for an answer.
func (j *joined[K, V]) askAll(key K, question func() V) {
	for {
		current := j.take(key)
		if current == nil {
			return
		}
		current.value = question()
		close(current.done)
	}
}

// take returns the answer that somebody waits for, or nil; then no question is under way any more.
func (j *joined[K, V]) take(key K) *joinedAnswer[V] {
	j.mu.Lock()
	defer j.mu.Unlock()
	current := j.next[key]
	if current == nil {
		delete(j.next, key)
		return nil
	}
	j.next[key] = nil
	return current
}
