package entry

import (
	"context"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/limit"
	"foxtailward.example/foxtailward/internal/coordination/request"
	peermsg "foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// Timing of asks for limits.
const (
	// askTimeout bounds the question to a limit's owner, while a caller waits.
	askTimeout = 300 * time.Millisecond
	// asksPerRequest bounds the asks for one request: requests that do not wait
	// for the lock may use what was granted for it.
	asksPerRequest = 16
	// renewEvery is the time between two looks for asks that are due.
	renewEvery = 250 * time.Millisecond
)

// limits holds the contracts' limits at one entry: what it may admit, and what
// it hands out as an owner.
type limits struct {
	process *Process
	relays  *peer.EntryClient
	local   *limit.Limiter
	shares  *limit.Allocator

	mu     sync.Mutex
	asking map[id.Contract]*sync.Mutex
}

func newLimits(p *Process, relays *peer.EntryClient) *limits {
	return &limits{
		process: p, relays: relays, local: limit.NewLimiter(), shares: limit.NewAllocator(),
		asking: map[id.Contract]*sync.Mutex{},
	}
}

// admit takes a place for a request that may cost so many tokens.
func (l *limits) admit(c *contract.Contract, cost int) (request.Ticket, *answer.Refusal) {
	clock := l.process.deps.Clock
	ticket, refused := l.local.Admit(c, cost, clock.Now())
	if refused != nil && refused.GrantRequest != nil {
		ticket, refused = l.askFor(c, cost)
	}
	if refused != nil {
		refusal := answer.NewRefusal(answer.CauseLimit, "the contract's %s is reached", refused.Limit)
		refusal.RetryAfter = refused.RetryAfter
		return request.Ticket{}, refusal
	}
	return request.Ticket{Done: func(tokens int) {
		now := clock.Now()
		l.local.CorrectCost(ticket, tokens, now)
		l.local.Release(ticket, now)
	}}, nil
}

// askFor asks the owner for one request's place. Requests of a contract ask one
// after another, since a grant says how many may run in all.
func (l *limits) askFor(c *contract.Contract, cost int) (limit.Ticket, *limit.Refusal) {
	clock := l.process.deps.Clock
	asking := l.lockOf(c.Name)
	asking.Lock()
	defer asking.Unlock()
	ticket, refused := l.local.Admit(c, cost, clock.Now())
	for range asksPerRequest {
		if refused == nil || refused.GrantRequest == nil {
			break
		}
		l.ask([]limit.GrantRequest{*refused.GrantRequest})
		ticket, refused = l.local.Admit(c, cost, clock.Now())
	}
	return ticket, refused
}

func (l *limits) lockOf(name id.Contract) *sync.Mutex {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asking[name] == nil {
		l.asking[name] = &sync.Mutex{}
	}
	return l.asking[name]
}

// ask puts asks to their owners and takes over the grants.
func (l *limits) ask(asks []limit.GrantRequest) {
	live := l.process.view.Snapshot().LiveEntries()
	byOwner := map[id.Entry][]limit.GrantRequest{}
	for _, a := range asks {
		owner := limit.OwnerOf(a.Contract, live)
		byOwner[owner] = append(byOwner[owner], a)
	}
	for owner, list := range byOwner {
		l.askOwner(owner, list)
	}
}

func (l *limits) askOwner(owner id.Entry, asks []limit.GrantRequest) {
	p := l.process
	if owner == p.settings.Name || owner == "" {
		for _, g := range l.answer(p.settings.Name, asks) {
			l.local.ApplyGrant(g, p.deps.Clock.Now())
		}
		return
	}
	ctx, cancel := context.WithTimeout(p.life, askTimeout)
	defer cancel()
	m := &peerpb.ShareRequest{Stamp: p.stamp()}
	for i := range asks {
		m.Asks = append(m.Asks, peermsg.FromGrantRequest(&asks[i]))
	}
	reply, err := l.relays.Share(ctx, owner, m)
	now := p.deps.Clock.Now()
	if err != nil {
		l.silent(owner, asks, now)
		return
	}
	for _, g := range reply.GetGrants() {
		l.local.ApplyGrant(peermsg.ToGrant(g), now)
	}
}

// silent goes on with the last shares when an owner does not answer.
func (l *limits) silent(owner id.Entry, asks []limit.GrantRequest, now time.Time) {
	entries := len(l.process.view.Entries())
	for i := range asks {
		l.local.OwnerUnreachable(asks[i].Contract, entries, now)
		l.process.emit(event.ShareStale, "contract", asks[i].Contract, "owner", owner)
	}
}

// answer grants asks of an entry as their owner.
func (l *limits) answer(from id.Entry, asks []limit.GrantRequest) []limit.Grant {
	p := l.process
	contracts := p.deps.Current.Snapshot().Contracts
	audience := l.audience()
	var grants []limit.Grant
	for _, a := range asks {
		if c, ok := contracts[a.Contract]; ok {
			grants = append(grants, l.shares.Grant(from, a, c.Limits, audience, p.deps.Clock.Now()))
		}
	}
	return grants
}

func (l *limits) audience() limit.EntryCounts {
	entries := l.process.view.Entries()
	audience := limit.EntryCounts{Known: len(entries)}
	for i := range entries {
		if entries[i].Live() {
			audience.Live++
		}
	}
	// An entry that is still joining counts itself when it is asked.
	audience.Live, audience.Known = max(1, audience.Live), max(1, audience.Known)
	return audience
}

// serve answers another entry's asks.
func (l *limits) serve(from id.Entry, m *peerpb.ShareRequest) *peerpb.ShareReply {
	asks := make([]limit.GrantRequest, len(m.GetAsks()))
	for i, a := range m.GetAsks() {
		asks[i] = peermsg.ToGrantRequest(a)
	}
	reply := &peerpb.ShareReply{}
	for _, g := range l.answer(from, asks) {
		reply.Grants = append(reply.Grants, peermsg.FromGrant(&g))
	}
	return reply
}

// run renews shares and forgets idle accounts until ctx ends.
func (l *limits) run(ctx context.Context) {
	ticker := l.process.deps.Clock.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		now := l.process.deps.Clock.Now()
		if asks := l.local.DueRenewals(now); len(asks) > 0 {
			l.ask(asks)
		}
		l.shares.RemoveIdle(now)
	}
}
