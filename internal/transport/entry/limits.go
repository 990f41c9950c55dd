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
	"foxtailward.example/foxtailward/internal/state/timing"
	"foxtailward.example/foxtailward/internal/transport/peer"
)

// Timing and number of grant requests.
const (
	// grantTimeout limits a grant request to a limit's owner, while a caller waits.
	grantTimeout = 300 * time.Millisecond
	// maxGrantRequests limits the grant requests for one caller's request. More
	// than one may be needed, because other requests that do not wait for the
	// contract's lock may use up what was granted.
	maxGrantRequests = 16
	// renewCheckInterval is the time between two checks for shares to renew.
	renewCheckInterval = 250 * time.Millisecond
)

// limits enforces the contracts' limits at one entry. The limiter admits requests
// here, and the allocator grants shares of the limits that this entry owns.
type limits struct {
	process     *Process
	entryClient *peer.EntryClient
	limiter     *limit.Limiter
	allocator   *limit.Allocator

	mu            sync.Mutex
	contractLocks map[id.Contract]*sync.Mutex
}

func newLimits(p *Process, client *peer.EntryClient) *limits {
	return &limits{
		process: p, entryClient: client, limiter: limit.NewLimiter(), allocator: limit.NewAllocator(),
		contractLocks: map[id.Contract]*sync.Mutex{},
	}
}

// admit admits a request with an estimated cost in tokens, or refuses it.
func (l *limits) admit(c *contract.Contract, cost int) (request.Ticket, *answer.Refusal) {
	clock := l.process.deps.Clock
	ticket, refused := l.limiter.Admit(c, cost, clock.Now())
	if refused != nil && refused.GrantRequest != nil {
		ticket, refused = l.admitWithGrant(c, cost)
	}
	if refused != nil {
		refusal := answer.NewRefusal(answer.CauseLimit, "the contract's %s is reached", refused.Limit)
		refusal.RetryAfter = refused.RetryAfter
		return request.Ticket{}, refusal
	}
	return request.Ticket{Done: func(tokens int) {
		now := clock.Now()
		l.limiter.CorrectCost(ticket, tokens, now)
		l.limiter.Release(ticket, now)
	}}, nil
}

// admitWithGrant requests a grant from the limit's owner and then admits the
// request. Only one request of a contract does this at a time, because a grant
// says how many requests may run in total.
func (l *limits) admitWithGrant(c *contract.Contract, cost int) (limit.Ticket, *limit.Refusal) {
	clock := l.process.deps.Clock
	lock := l.contractLock(c.Name)
	lock.Lock()
	defer lock.Unlock()
	ticket, refused := l.limiter.Admit(c, cost, clock.Now())
	for range maxGrantRequests {
		if refused == nil || refused.GrantRequest == nil {
			break
		}
		l.requestGrants([]limit.GrantRequest{*refused.GrantRequest})
		ticket, refused = l.limiter.Admit(c, cost, clock.Now())
	}
	return ticket, refused
}

func (l *limits) contractLock(name id.Contract) *sync.Mutex {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.contractLocks[name] == nil {
		l.contractLocks[name] = &sync.Mutex{}
	}
	return l.contractLocks[name]
}

// requestGrants sends grant requests to the limits' owners and applies the grants.
func (l *limits) requestGrants(requests []limit.GrantRequest) {
	live := l.process.view.Snapshot().LiveEntries()
	byOwner := map[id.Entry][]limit.GrantRequest{}
	for _, r := range requests {
		owner := limit.OwnerOf(r.Contract, live)
		byOwner[owner] = append(byOwner[owner], r)
	}
	for owner, list := range byOwner {
		l.requestFromOwner(owner, list)
	}
}

func (l *limits) requestFromOwner(owner id.Entry, requests []limit.GrantRequest) {
	p := l.process
	if owner == p.settings.Name || owner == "" {
		for _, g := range l.grant(p.settings.Name, requests) {
			l.limiter.ApplyGrant(g, p.deps.Clock.Now())
		}
		return
	}
	ctx, cancel := context.WithTimeout(p.runCtx, grantTimeout)
	defer cancel()
	m := &peerpb.ShareRequest{Stamp: p.stamp()}
	for i := range requests {
		m.Asks = append(m.Asks, peermsg.FromGrantRequest(&requests[i]))
	}
	reply, err := l.entryClient.Share(ctx, owner, m)
	now := p.deps.Clock.Now()
	if err != nil {
		l.ownerUnreachable(owner, requests, now)
		return
	}
	for _, g := range reply.GetGrants() {
		l.limiter.ApplyGrant(peermsg.ToGrant(g), now)
	}
}

// ownerUnreachable keeps the last shares in force when an owner does not answer.
func (l *limits) ownerUnreachable(owner id.Entry, requests []limit.GrantRequest, now time.Time) {
	entries := len(l.process.view.Entries())
	for i := range requests {
		l.limiter.OwnerUnreachable(requests[i].Contract, entries, now)
		l.process.emit(event.ShareStale, "contract", requests[i].Contract, "owner", owner)
	}
}

// grant answers an entry's grant requests for limits that this entry owns.
func (l *limits) grant(from id.Entry, requests []limit.GrantRequest) []limit.Grant {
	p := l.process
	contracts := p.deps.Current.Snapshot().Contracts
	counts := l.entryCounts()
	var grants []limit.Grant
	for _, r := range requests {
		if c, ok := contracts[r.Contract]; ok {
			grants = append(grants, l.allocator.Grant(from, r, c.Limits, counts, p.deps.Clock.Now()))
		}
	}
	return grants
}

func (l *limits) entryCounts() limit.EntryCounts {
	entries := l.process.view.Entries()
	counts := limit.EntryCounts{Known: len(entries)}
	for i := range entries {
		if entries[i].Live() {
			counts.Live++
		}
	}
	// An entry that is still joining may already receive grant requests, and then
	// counts itself.
	counts.Live, counts.Known = max(1, counts.Live), max(1, counts.Known)
	return counts
}

// serveShares answers another entry's grant requests.
func (l *limits) serveShares(from id.Entry, m *peerpb.ShareRequest) *peerpb.ShareReply {
	requests := make([]limit.GrantRequest, len(m.GetAsks()))
	for i, a := range m.GetAsks() {
		requests[i] = peermsg.ToGrantRequest(a)
	}
	reply := &peerpb.ShareReply{}
	for _, g := range l.grant(from, requests) {
		reply.Grants = append(reply.Grants, peermsg.FromGrant(&g))
	}
	return reply
}

// run renews shares and removes idle accounts until ctx ends.
func (l *limits) run(ctx context.Context) {
	timing.Every(ctx, l.process.deps.Clock, renewCheckInterval, func() {
		now := l.process.deps.Clock.Now()
		if renewals := l.limiter.DueRenewals(now); len(renewals) > 0 {
			l.requestGrants(renewals)
		}
		l.allocator.RemoveIdle(now)
	})
}
