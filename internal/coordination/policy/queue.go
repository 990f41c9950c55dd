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

// queuePollInterval is the interval at which a waiting request checks its
// queue.
const queuePollInterval = 25 * time.Millisecond

// queues holds the requests that wait for capacity, by model.
type queues struct {
	mu     sync.Mutex
	byName map[id.Model]*modelQueue
}

// modelQueue is the queue of one model, together with the outcomes that its
// requests have not picked up yet.
type modelQueue struct {
	queue   *overload.Queue
	waiting map[id.Request]bool
	granted map[id.Request]bool
	dropped map[id.Request]overload.Dropped
}

func newQueues() *queues { return &queues{byName: map[id.Model]*modelQueue{}} }

func (q *queues) of(m id.Model) *modelQueue {
	if q.byName[m] == nil {
		q.byName[m] = &modelQueue{
			queue:   overload.NewQueue(overload.Config{}),
			waiting: map[id.Request]bool{}, granted: map[id.Request]bool{}, dropped: map[id.Request]overload.Dropped{},
		}
	}
	return q.byName[m]
}

// admit reports whether a request may be sent to a target now. If not, the
// choice says whether to hold or to give it up.
func (q *queues) admit(item *overload.Item, model id.Model, free bool, now time.Time) (request.Choice, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.of(model)
	if choice, dropped := m.takeDropped(item.Request); dropped {
		return choice, false
	}
	if !m.waiting[item.Request] && !m.granted[item.Request] {
		return m.offer(item, free, now)
	}
	m.advance(free, now)
	if choice, dropped := m.takeDropped(item.Request); dropped {
		return choice, false
	}
	if m.granted[item.Request] {
		delete(m.granted, item.Request)
		return request.Choice{}, true
	}
	return holdInQueue(), false
}

// takeDropped returns and removes the refusal of a request that the queue has
// dropped.
func (m *modelQueue) takeDropped(r id.Request) (request.Choice, bool) {
	dropped, ok := m.dropped[r]
	if !ok {
		return request.Choice{}, false
	}
	delete(m.dropped, r)
	return refuseOverload(dropped.Reason, dropped.RetryAfter), true
}

func (m *modelQueue) offer(item *overload.Item, free bool, now time.Time) (request.Choice, bool) {
	verdict, displaced := m.queue.Offer(*item, free, now)
	if displaced != nil {
		m.drop(displaced)
	}
	switch verdict.Kind {
	case overload.Run:
		return request.Choice{}, true
	case overload.Refused:
		return refuseOverload(verdict.Reason, verdict.RetryAfter), false
	}
	m.waiting[item.Request] = true
	return holdInQueue(), false
}

// advance grants the first waiting request if there is capacity, and drops
// those that would start too late.
func (m *modelQueue) advance(free bool, now time.Time) {
	for _, d := range m.queue.DropLate(now) {
		m.drop(&d)
	}
	if !free {
		return
	}
	if item, ok := m.queue.Next(func(*overload.Item) bool { return true }, now); ok {
		delete(m.waiting, item.Request)
		m.granted[item.Request] = true
	}
}

func (m *modelQueue) drop(d *overload.Dropped) {
	delete(m.waiting, d.Item.Request)
	m.dropped[d.Item.Request] = *d
}

// forget removes a request that has ended.
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
	delete(m.dropped, r)
}

func holdInQueue() request.Choice {
	return request.Choice{Action: request.Hold, Wait: queuePollInterval, Reason: string(overload.Enqueued)}
}

func refuseOverload(reason overload.Reason, retryAfter time.Duration) request.Choice {
	return request.Choice{
		Action: request.GiveUp, Cause: answer.CauseOverload, Wait: max(retryAfter, defaultRetryAfter), Reason: string(reason),
	}
}

// itemOf returns the queue item of a request. Its service time is estimated
// from the pace of the target that was chosen.
func (p *Policy) itemOf(spec *generation.Spec, d *route.Decision) overload.Item {
	item := overload.Item{
		Request: spec.Request, Contract: spec.Contract, Class: spec.Class, Weight: 1, Deadline: spec.Deadline,
		Cost: float64(spec.PromptTokens() + spec.MaxTokens),
	}
	if c := p.deps.Conf().Contracts[spec.Contract]; c != nil {
		item.Weight = c.Weight
	}
	if report, ok := p.report(d.Target); ok {
		item.ServiceTime = time.Duration(spec.MaxTokens) * report.Pace
	}
	return item
}
