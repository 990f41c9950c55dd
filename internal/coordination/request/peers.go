package request

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// RelayRequest requests that another entry opens an answer.
type RelayRequest struct {
	Contract id.Contract
	Request  id.Request
	// Spec is started if the answer does not exist. A nil Spec only reads an
	// existing answer.
	Spec *generation.Spec
	// Lineage and From are the lineage and the number of tokens that the caller
	// already has.
	Lineage  id.Lineage
	From     id.TokenIndex
	Buffered bool
	// AnnouncesOwnership means that the sender owns the request from now on,
	// unless the receiver knows of another owner. Spec is nil.
	AnnouncesOwnership bool
	// Via lists the entries that relayed the request.
	Via Via
}

// Via lists the entries that relayed a request, in order.
type Via []id.Entry

// maxHops limits how often a request is relayed while the entries' membership
// views differ.
const maxHops = 2

// allows reports whether the request may be relayed to e: it has not been there
// and has not reached maxHops.
func (v Via) allows(e id.Entry) bool {
	for _, passed := range v {
		if passed == e {
			return false
		}
	}
	return len(v) < maxHops
}

// Peers gives access to other entries.
type Peers struct {
	// Joined reports whether this entry has met the others, or is alone. Before that it
	// does not know which answers exist. Nil stands for true.
	Joined func() bool
	// Live returns the entries that accept requests, including this one.
	Live func() []id.Entry
	// PreviousOwner returns the entry that owned r before the membership changes
	// within the retention, and whether it is still alive. It returns this entry
	// if the owner of r did not change.
	PreviousOwner func(r id.Request) (id.Entry, bool)
	// Relay opens an answer at another entry. Its error is an *answer.Refusal,
	// or has this package's kind Lost if the entry is unreachable.
	Relay func(ctx context.Context, e id.Entry, r RelayRequest) (*answer.Reader, error)
	// Call relays a call to another entry. Its errors are those of Relay.
	Call func(ctx context.Context, e id.Entry, call answer.Call, via Via) (*answer.Reply, error)
	// ReportUnreachable reports that an entry did not answer.
	ReportUnreachable func(e id.Entry)
}

// Ticket represents the share of its contract's limits that a request uses.
type Ticket struct {
	// Done releases the share and reports the tokens that were actually used.
	Done func(tokens int)
}

// AdmissionControl decides which requests are admitted.
type AdmissionControl struct {
	// Admit reserves a request with an estimated cost in tokens.
	Admit func(c *contract.Contract, cost int) (Ticket, *answer.Refusal)
	// CheckQuarantine refuses requests that are quarantined because they crash
	// targets.
	CheckQuarantine func(spec *generation.Spec) *answer.Refusal
	// Conf returns the configuration in force.
	Conf func() *conf.Snapshot
}

// joinRetryAfter is when a read is tried again that came before this entry met the others.
const joinRetryAfter = time.Second

// Timing and limits of an owner's background work.
const (
	// sweepInterval is the interval between two sweeps of the registry.
	sweepInterval = time.Second
	// findTimeout is the timeout of the query for held attempts at one target
	// process.
	findTimeout = time.Second
	// maxConcurrentFinds is the maximum number of concurrent queries for held
	// attempts.
	maxConcurrentFinds = 16
	// followInterval is the interval between two queries for another owner's
	// attempt.
	followInterval = 300 * time.Millisecond
	// announceTimeout is the timeout of the ownership announcement to the next
	// entry.
	announceTimeout = 500 * time.Millisecond
	// followTimeout is how long a followed attempt may make no progress.
	followTimeout = 10 * time.Second
)
