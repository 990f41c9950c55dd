package soak

import (
	"math/rand/v2"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// PlanText returns the plan of options as text, a line a step.
func PlanText(o Options) []string {
	o.SetDefaults()
	var lines []string
	for _, s := range newPlan(o, rand.New(rand.NewPCG(o.Seed, planStream))) {
		lines = append(lines, s.at.String()+" "+s.action.name+" "+s.lasts.String())
	}
	return lines
}

// PlanFitsDuration reports whether all steps begin within the time.
func PlanFitsDuration(o Options) bool {
	o.SetDefaults()
	for _, s := range newPlan(o, rand.New(rand.NewPCG(o.Seed, planStream))) {
		if s.at < 0 || s.at >= o.Duration {
			return false
		}
	}
	return true
}

// History lets tests write down what clients and targets did.
type History struct{ l *ledger }

// NewHistory returns an empty ledger.
func NewHistory() *History { return &History{newLedger(time.Now())} }

// RecordSent notes an attempt.
func (l *History) RecordSent(attempt, path, body string) {
	l.l.sends(direct.AttemptID(attempt), sent{at: time.Now(), path: path, body: body, account: account})
}

// RecordRefusal notes a refusal.
func (l *History) RecordRefusal(attempt string) { l.l.refused(direct.AttemptID(attempt)) }

// RecordClientLeft notes that the client left some time ago.
func (l *History) RecordClientLeft(attempt string, ago time.Duration) {
	l.l.left(direct.AttemptID(attempt))
	l.l.sent[direct.AttemptID(attempt)].leftAt = time.Now().Add(-ago)
}

// RecordRun notes a run and ends it.
func (l *History) RecordRun(attempt, target, path, body, account string) {
	l.l.begins(direct.AttemptID(attempt), id.Target(target), path, body, catalog.AccountName(account))()
}

// Audit returns the promises that do not hold.
func (l *History) Audit(excused bool) []Guarantee {
	l.l.audit(func(_, _ time.Time) bool { return excused })
	var broken []Guarantee
	for _, b := range l.l.broken {
		broken = append(broken, b.Promise)
	}
	return broken
}

// Proxy is a link for tests.
type Proxy struct{ p *proxy }

// NewProxy returns a link to the target.
func NewProxy(target string) (*Proxy, error) {
	p, err := newProxy("127.0.0.1:0", target)
	return &Proxy{p}, err
}

// Address returns the link's address.
func (p *Proxy) Address() string { return p.p.address() }

// SetSilent holds back all bytes, or ends this.
func (p *Proxy) SetSilent(on bool) {
	c := open
	if on {
		c = silent
	}
	p.p.set(c, 0, false)
}

// RefuseConnections refuses connections.
func (p *Proxy) RefuseConnections() { p.p.set(open, 0, true) }

// Reset breaks all connections.
func (p *Proxy) Reset() { p.p.reset() }

// Close ends the link.
func (p *Proxy) Close() { p.p.close() }
