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

// RelayRequest asks another entry for an answer that it owns.
type RelayRequest struct {
	Contract id.Contract
	Request  id.Request
	// Spec is what to start when the answer does not exist; nil reads only.
	Spec *generation.Spec
	// Lineage and From are what the caller has.
	Lineage  id.Lineage
	From     id.TokenIndex
	Buffered bool
	// AnnouncesOwnership says that the sender owns the request from now on, unless another
	// entry is known to. Spec is nil.
	AnnouncesOwnership bool
	// Via names the entries that passed the request on.
	Via Via
}

// Via is the way of a relayed request over entries.
type Via []id.Entry

// maxHops bounds how often a request is passed on while views differ.
const maxHops = 2

// open reports whether the request may be passed on to e.
func (v Via) open(e id.Entry) bool {
	for _, passed := range v {
		if passed == e {
			return false
		}
	}
	return len(v) < maxHops
}

// Peers reaches other entries.
type Peers struct {
	// Live returns the entries that take work, this one included.
	Live func() []id.Entry
	// PreviousOwner returns the entry that owned r in the membership before the
	// changes within the retention, and whether it still lives. It returns
	// this entry when nothing changed for r.
	PreviousOwner func(r id.Request) (id.Entry, bool)
	// Relay opens an answer at another entry. Its errors are *answer.Refusal,
	// or this package's kind Lost when the entry cannot be reached.
	Relay func(ctx context.Context, e id.Entry, r RelayRequest) (*answer.Reader, error)
	// Call passes a call on to another entry, with the same errors.
	Call func(ctx context.Context, e id.Entry, call answer.Call, via Via) (*answer.Reply, error)
	// ReportUnreachable tells that an entry did not answer.
	ReportUnreachable func(e id.Entry)
}

// Ticket is a request's place within its contract's limits.
type Ticket struct {
	// Done gives the place back with the tokens that were really used.
	Done func(tokens int)
}

// AdmissionControl decides on what may enter.
type AdmissionControl struct {
	// Admit takes a place for a request that may cost so many tokens.
	Admit func(c *contract.Contract, cost int) (Ticket, *answer.Refusal)
	// CheckQuarantine refuses requests that kill targets.
	CheckQuarantine func(spec *generation.Spec) *answer.Refusal
	// Conf returns the configuration in force.
	Conf func() *conf.Snapshot
}

// Timing of an owner's duties.
const (
	// sweepEvery is the time between two sweeps of the registry.
	sweepEvery = time.Second
	// findTimeout bounds the question to one target process.
	findTimeout = time.Second
	// findAtOnce bounds the questions on the way.
	findAtOnce = 16
	// followEvery is the time between two looks at another owner's attempt.
	followEvery = 300 * time.Millisecond
	// pledgeTimeout bounds the pledge to the next entry.
	pledgeTimeout = 500 * time.Millisecond
	// followPatience is how long an attempt may stand still while followed.
	followPatience = 10 * time.Second
)
