package direct

import (
	"context"
	"sync"
)

// joined asks a question about a key for all that need its answer at the same time. An answer that holds for whoever came before it was
// asked for answers them all, so there are never more than one question under way and one that follows. It is safe for
// concurrent use.
type joined[K comparable, V any] struct {
	mu   sync.Mutex
	keys map[K]*joinedKey[V]
}

// joinedKey is the question about one key. next is what those wait for that came since the current question began.
type joinedKey[V any] struct {
	running bool
	next    *joinedAnswer[V]
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
	if j.keys == nil {
		j.keys = map[K]*joinedKey[V]{}
	}
	k := j.keys[key]
	if k == nil {
		k = &joinedKey[V]{}
		j.keys[key] = k
	}
	if k.next == nil {
		k.next = &joinedAnswer[V]{done: make(chan struct{})}
	}
	if !k.running {
		k.running = true
		go j.askAll(key, k, question)
	}
	return k.next
}

// askAll asks as long as somebody waits for an answer.
func (j *joined[K, V]) askAll(key K, k *joinedKey[V], question func() V) {
	for {
		j.mu.Lock()
		current := k.next
		k.next = nil
		if current == nil {
			delete(j.keys, key)
			j.mu.Unlock()
			return
		}
		j.mu.Unlock()
		current.value = question()
		close(current.done)
	}
}
