package direct

import (
	"sync"

	"foxtailward.example/foxtailward/internal/state/id"
)

// originQuestions holds the questions of where streams began that other entries have not all
// answered yet. It is safe for concurrent use.
type originQuestions struct {
	mu   sync.Mutex
	open map[id.Request]map[*originQuestion]struct{}
}

// originQuestion is one question. Requests that resume the same stream each have their own.
type originQuestion struct {
	attempt id.Request
	// missing holds the addresses of the entries that have not answered. all is closed once
	// there are none.
	missing map[string]struct{}
	all     chan struct{}
}

func newOriginQuestions() *originQuestions {
	return &originQuestions{open: map[id.Request]map[*originQuestion]struct{}{}}
}

// ask begins a question to the entries at the addresses.
func (o *originQuestions) ask(attempt id.Request, addresses []string) *originQuestion {
	q := &originQuestion{attempt: attempt, missing: make(map[string]struct{}, len(addresses)), all: make(chan struct{})}
	for _, address := range addresses {
		q.missing[address] = struct{}{}
	}
	if len(q.missing) == 0 {
		close(q.all)
		return q
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open[attempt] == nil {
		o.open[attempt] = map[*originQuestion]struct{}{}
	}
	o.open[attempt][q] = struct{}{}
	return q
}

// unanswered returns the addresses of the entries that have not answered.
func (o *originQuestions) unanswered(q *originQuestion) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	addresses := make([]string, 0, len(q.missing))
	for address := range q.missing {
		addresses = append(addresses, address)
	}
	return addresses
}

// answered records that the entry at an address has answered about an attempt.
func (o *originQuestions) answered(address string, attempt id.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for q := range o.open[attempt] {
		if _, waits := q.missing[address]; !waits {
			continue
		}
		if delete(q.missing, address); len(q.missing) == 0 {
			close(q.all)
		}
	}
}

// end forgets a question.
func (o *originQuestions) end(q *originQuestion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if delete(o.open[q.attempt], q); len(o.open[q.attempt]) == 0 {
		delete(o.open, q.attempt)
	}
}
