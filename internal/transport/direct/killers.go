package direct

import (
	"slices"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/upstream"
)

const (
	// quarantineTime is how long a request is refused after the last target that
	// it ended.
	quarantineTime = 5 * time.Minute
	// tellDeaths is how long news of a target's death is told to other entries. It
	// spans several messages, since any of them may be lost.
	tellDeaths = time.Second
)

// killers finds requests that end the targets that run them, from what this
// entry and the others have seen. It is safe for concurrent use.
type killers struct {
	mu   sync.Mutex
	list *quarantine.Tracker
	// seen holds the fingerprints of which this entry itself learned something
	// lately. What others told is not told again: they tell all entries.
	seen map[id.Fingerprint]time.Time
}

func newKillers() *killers {
	return &killers{
		list: quarantine.New(quarantine.Config{QuarantineTime: quarantineTime}),
		seen: map[id.Fingerprint]time.Time{},
	}
}

// refused returns how long requests with the fingerprint are still refused, or 0.
func (k *killers) refused(now time.Time, f id.Fingerprint) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.list.Status(now, f); j.State == quarantine.Refused {
		return j.Until.Sub(now)
	}
	return 0
}

// lost notes that a target was lost. Requests that ran there are blamed only if
// the target was lost alone.
func (k *killers) lost(at time.Time, t *catalog.Target, running ...id.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.Expire(at)
	k.list.RecordFailure(quarantine.Failure{
		FailureID: quarantine.FailureID{Target: t.ID, Incarnation: t.Incarnation},
		Place:     member.Place{Zone: t.Zone}, At: at, Running: running,
	})
	for _, f := range running {
		k.seen[f] = at
	}
}

// deaths returns how many targets' ends requests with the fingerprint are
// suspected of.
func (k *killers) deaths(now time.Time, f id.Fingerprint) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Status(now, f).Failures
}

// finished notes that a request was answered, which clears it.
func (k *killers) finished(now time.Time, f id.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list.Status(now, f).Failures == 0 {
		return
	}
	k.list.RecordCompletion(f)
	k.seen[f] = now
}

// news returns what this entry itself has learned in the last tellDeaths.
func (k *killers) news(now time.Time) []quarantine.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	for f, at := range k.seen {
		if now.Sub(at) > tellDeaths {
			delete(k.seen, f)
		}
	}
	if len(k.seen) == 0 {
		return nil
	}
	return slices.DeleteFunc(k.list.Records(now), func(r quarantine.Record) bool {
		_, seen := k.seen[r.Fingerprint]
		return !seen
	})
}

// suspects returns the requests that have ended more than one target, for an
// entry that has just started.
func (k *killers) suspects(now time.Time) []quarantine.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(k.list.Records(now), func(r quarantine.Record) bool {
		return r.Fingerprint == 0 || len(r.Observations) < 2
	})
}

// heard takes what another entry told.
func (k *killers) heard(now time.Time, records []quarantine.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.Merge(now, records)
}

// fingerprint identifies what the request asks for and for whom.
func (c *call) fingerprint() id.Fingerprint {
	return id.FingerprintOf(string(c.accountName()), c.r.Method, c.r.Host, c.r.RequestURI, string(c.body))
}

// accountName returns the name of the request's client account; empty for none.
func (c *call) accountName() catalog.AccountName {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// noteDeath notes what the outcome of a send says of the target and of the
// request. Only a connection that breaks may be a target's death; silence and
// foreign bytes blame no request.
func (c *call) noteDeath(now time.Time, t *catalog.Target, outcome balance.Outcome, err error) {
	switch {
	case outcome == balance.Succeeded || outcome == balance.Failed:
		c.e.killers.finished(now, c.print)
	case outcome == balance.Lost && fault.Is(err, upstream.ConnectionLost):
		c.e.killers.lost(now, t, c.print)
		if deaths := c.e.killers.deaths(now, c.print); deaths > 1 {
			c.log(event.RequestSuspected, "fingerprint", c.print, "target", t.ID, "incarnation", t.Incarnation, "deaths", deaths)
		}
	case outcome == balance.Lost || outcome == balance.Unreachable:
		c.e.killers.lost(now, t)
	}
}

// quarantined reports whether the request is refused because it ends the targets
// that run it.
func (c *call) quarantined(now time.Time) bool {
	c.quarantine = c.e.killers.refused(now, c.print)
	if c.quarantine == 0 {
		return false
	}
	c.log(event.RequestQuarantined, "fingerprint", c.print, "remaining", c.quarantine, "sends", c.sends)
	return true
}
