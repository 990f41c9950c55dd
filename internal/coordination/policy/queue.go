package policy

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/overload"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/coordination/route"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// queueLook is the time between two looks of a request that waits in a queue.
const queueLook = 25 * time.Millisecond

// queues holds the requests that wait for room, by model.
type queues struct {
	mu     sync.Mutex
	byName map[id.Model]*modelQueue
}

// modelQueue is the queue of one model, and what came of those in it.
type modelQueue struct {
	queue   *overload.Queue
	waiting map[id.Request]bool
	granted map[id.Request]bool
	givenUp map[id.Request]overload.Dropped
}

func newQueues() *queues { return &queues{byName: map[id.Model]*modelQueue{}} }

func (q *queues) of(m id.Model) *modelQueue {
	if q.byName[m] == nil {
		q.byName[m] = &modelQueue{
			queue:   overload.NewQueue(overload.Config{}),
			waiting: map[id.Request]bool{}, granted: map[id.Request]bool{}, givenUp: map[id.Request]overload.Dropped{},
		}
	}
	return q.byName[m]
}

// turn reports whether a request may be sent on now. When it may not, the
// choice says to hold, or that it is given up.
func (q *queues) turn(item *overload.Item, model id.Model, free bool, now time.Time) (request.Choice, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.of(model)
	if choice, gone := m.gone(item.Request); gone {
		return choice, false
	}
	if !m.waiting[item.Request] && !m.granted[item.Request] {
		return m.offer(item, free, now)
	}
	m.move(free, now)
	if choice, gone := m.gone(item.Request); gone {
		return choice, false
	}
	if m.granted[item.Request] {
		delete(m.granted, item.Request)
		return request.Choice{}, true
	}
	return hold(), false
}

// gone returns the final answer of a request that was given up.
func (m *modelQueue) gone(r id.Request) (request.Choice, bool) {
	given, ok := m.givenUp[r]
	if !ok {
		return request.Choice{}, false
	}
	delete(m.givenUp, r)
	return refuse(given.Reason, given.RetryAfter), true
}

func (m *modelQueue) offer(item *overload.Item, free bool, now time.Time) (request.Choice, bool) {
	verdict, displaced := m.queue.Offer(*item, free, now)
	if displaced != nil {
		m.giveUp(displaced)
	}
	switch verdict.Kind {
	case overload.Run:
		return request.Choice{}, true
	case overload.Refused:
		return refuse(verdict.Reason, verdict.RetryAfter), false
	}
	m.waiting[item.Request] = true
	return hold(), false
}

// move lets the first that waits go on when there is room, and gives up those
// that would start too late.
func (m *modelQueue) move(free bool, now time.Time) {
	for _, g := range m.queue.DropLate(now) {
		m.giveUp(&g)
	}
	if !free {
		return
	}
	if item, ok := m.queue.Next(func(*overload.Item) bool { return true }, now); ok {
		delete(m.waiting, item.Request)
		m.granted[item.Request] = true
	}
}

func (m *modelQueue) giveUp(g *overload.Dropped) {
	delete(m.waiting, g.Item.Request)
	m.givenUp[g.Item.Request] = *g
}

// forget drops a request that ended.
func (q *queues) forget(model id.Model, r id.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.byName[model]
	if m == nil {
		return
	}
	if m.waiting[r] {
		m.queue.Remove(r)
	}
	delete(m.waiting, r)
	delete(m.granted, r)
	delete(m.givenUp, r)
}

func hold() request.Choice {
	return request.Choice{Action: request.Hold, Wait: queueLook, Reason: string(overload.Enqueued)}
}

func refuse(reason overload.Reason, retryAfter time.Duration) request.Choice {
	return request.Choice{
		Action: request.GiveUp, Cause: answer.CauseOverload, Wait: max(retryAfter, comeBack), Reason: string(reason),
	}
}

// itemOf returns the queue's view of a request that would go to a target with
// the pace.
func (p *Policy) itemOf(spec *generation.Spec, d *route.Decision) overload.Item {
	item := overload.Item{
		Request: spec.Request, Contract: spec.Contract, Class: spec.Class, Weight: 1, Deadline: spec.Deadline,
		Cost: float64(spec.PromptTokens() + spec.MaxTokens),
	}
	if c := p.tools.Conf().Contracts[spec.Contract]; c != nil {
		item.Weight = c.Weight
	}
	if report, ok := p.report(d.Target); ok {
		item.ServiceTime = time.Duration(spec.MaxTokens) * report.Pace
	}
	return item
}
