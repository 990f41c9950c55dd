package peer

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/limit"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
)

// FromGrantRequest returns the message for r.
func FromGrantRequest(r *limit.GrantRequest) *peerpb.ShareAsk {
	return &peerpb.ShareAsk{
		Contract:              string(r.Contract),
		RequestsPerSecond:     r.RequestsPerSecond,
		TokensPerSecond:       r.TokensPerSecond,
		Running:               uint32(r.Running),
		Requests:              uint32(r.Requests),
		Tokens:                r.Tokens,
		Slots:                 uint32(r.Slots),
		TokensBack:            r.ReturnedTokens,
		RequestsBack:          r.ReturnedRequests,
		HeldRequestsPerSecond: r.HeldRequestsPerSecond,
		HeldTokensPerSecond:   r.HeldTokensPerSecond,
	}
}

// ToGrantRequest returns the grant request in m.
func ToGrantRequest(m *peerpb.ShareAsk) limit.GrantRequest {
	return limit.GrantRequest{
		Contract:              id.Contract(m.GetContract()),
		RequestsPerSecond:     m.GetRequestsPerSecond(),
		TokensPerSecond:       m.GetTokensPerSecond(),
		Running:               int(m.GetRunning()),
		Requests:              int(m.GetRequests()),
		Tokens:                m.GetTokens(),
		Slots:                 int(m.GetSlots()),
		ReturnedTokens:        m.GetTokensBack(),
		ReturnedRequests:      m.GetRequestsBack(),
		HeldRequestsPerSecond: m.GetHeldRequestsPerSecond(),
		HeldTokensPerSecond:   m.GetHeldTokensPerSecond(),
	}
}

// FromGrant returns the message for g.
func FromGrant(g *limit.Grant) *peerpb.ShareGrant {
	return &peerpb.ShareGrant{
		Contract:          string(g.Contract),
		RequestsPerSecond: g.RequestsPerSecond,
		TokensPerSecond:   g.TokensPerSecond,
		Concurrency:       uint32(g.Slots),
		LastsMs:           g.ValidFor.Milliseconds(),
		Requests:          uint32(g.Requests),
		Tokens:            g.Tokens,
		AskAfterMs:        g.RenewAfter.Milliseconds(),
		Refused:           string(g.RefusedBy),
		RetryAfterMs:      g.RetryAfter.Milliseconds(),
		NextAfterMs:       g.RetryIncrement.Milliseconds(),
		Contended:         g.Contended,
		Tight:             g.NearLimit,
		TokensBack:        g.ReturnedTokens,
	}
}

// ToGrant returns the grant in m.
func ToGrant(m *peerpb.ShareGrant) limit.Grant {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return limit.Grant{
		Contract:          id.Contract(m.GetContract()),
		RequestsPerSecond: m.GetRequestsPerSecond(),
		TokensPerSecond:   m.GetTokensPerSecond(),
		Slots:             int(m.GetConcurrency()),
		ValidFor:          ms(m.GetLastsMs()),
		Requests:          int(m.GetRequests()),
		Tokens:            m.GetTokens(),
		RenewAfter:        ms(m.GetAskAfterMs()),
		RefusedBy:         limit.Limit(m.GetRefused()),
		RetryAfter:        ms(m.GetRetryAfterMs()),
		RetryIncrement:    ms(m.GetNextAfterMs()),
		Contended:         m.GetContended(),
		NearLimit:         m.GetTight(),
		ReturnedTokens:    m.GetTokensBack(),
	}
}
