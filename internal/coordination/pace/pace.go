// Package pace learns how long a service's streams take, so that a request whose
// time is too short is refused at once instead of being read for nothing.
//
// # Usage
//
//	p := pace.New()
//	p.Finished(events, took)
//	if left < p.Least(promptTokens, done) { … }
package pace

import "time"

const (
	// learned is how many whole streams are seen before an estimate is given.
	learned = 20
	// weight is that of the newest stream.
	weight = 0.05
	// optimism scales the usual length and time of a stream to those of a short
	// and fast one. Only what even that one could not reach is refused.
	optimism = 0.7
	// prefillPerToken is the least time that an engine takes for a prompt's
	// token.
	prefillPerToken = 125 * time.Microsecond
)

// Estimator is what is known of one service's streams. It is not safe for concurrent
// use.
type Estimator struct {
	seen int
	// events is the usual number of events, perEvent the usual time of one.
	events   float64
	perEvent float64
}

// New returns a Pace that knows nothing.
func New() *Estimator { return &Estimator{} }

// Observe notes a whole stream of so many events, which took so long from its
// first event to its last.
func (p *Estimator) Observe(events int, took time.Duration) {
	if events < 2 {
		return
	}
	each := took.Seconds() / float64(events-1)
	if p.seen == 0 {
		p.events, p.perEvent = float64(events), each
	}
	p.seen++
	p.events += weight * (float64(events) - p.events)
	p.perEvent += weight * (each - p.perEvent)
}

// MinRemaining returns the least time in which a stream can be finished whose prompt
// must be read, and of which so many events are done. It is 0 while too little
// is known.
func (p *Estimator) MinRemaining(promptTokens, done int) time.Duration {
	if p.seen < learned {
		return 0
	}
	events := max(1, optimism*p.events-float64(done))
	rest := time.Duration(optimism * events * p.perEvent * float64(time.Second))
	return time.Duration(promptTokens)*prefillPerToken + rest
}
