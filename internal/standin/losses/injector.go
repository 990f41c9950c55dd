package losses

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
)

// maxDownDivisor limits the engines that may be down simultaneously to the number
// of engines divided by it.
const maxDownDivisor = 3

// faultInjector makes engines fail when requests reach their planned tokens.
type faultInjector struct {
	opts    *Options
	engines []*deployment.Engine

	mu  sync.Mutex
	rng *rand.Rand
	// pending counts the planned failures that are due but could not be injected
	// yet. They are injected at the next request that allows it. injected counts the
	// failures so far, and down the engines that are down now.
	pending, injected, down int
	// running maps request IDs to callers.
	running  map[string]*caller
	restores sync.WaitGroup
	err      error
}

func newFaultInjector(d *deployment.Deployment, opts *Options) *faultInjector {
	return &faultInjector{
		opts: opts, engines: d.Engines, rng: rand.New(rand.NewPCG(opts.Seed, 2)), running: map[string]*caller{},
	}
}

// register sets the caller of a request ID.
func (f *faultInjector) register(requestID string, c *caller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[requestID] = c
}

// unregister removes a request ID.
func (f *faultInjector) unregister(requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, requestID)
}

// onTokens is called when a caller has received count tokens. It makes the engine of
// the caller's request fail if a failure is due.
func (f *faultInjector) onTokens(c *caller, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.task.failAtToken > 0 && !c.triggered && count >= c.task.failAtToken {
		c.triggered = true
		f.pending++
	}
	if f.pending == 0 || f.down >= max(1, len(f.engines)/maxDownDivisor) || count >= c.task.tokens {
		return
	}
	for _, e := range f.engines {
		requests := e.StandIn.Engine.Stats().Requests
		for _, r := range requests {
			if requestIDOf(r.RequestID) == c.requestID {
				f.failEngine(e, r.RequestID, requests)
				return
			}
		}
	}
}

// requestIDOf returns the request ID in the ID of an engine's generation, which
// consists of request ID, epoch and attempt.
func requestIDOf(generation string) string {
	for range 2 {
		generation = generation[:max(0, strings.LastIndexByte(generation, '-'))]
	}
	return generation
}

// failEngine makes an engine fail, unless one of the requests that would be affected
// has had MaxFailuresPerRequest failures already.
func (f *faultInjector) failEngine(e *deployment.Engine, generation string, requests []engine.RunningRequest) {
	if f.opts.Stall {
		requests = []engine.RunningRequest{{RequestID: generation}}
	}
	var affected []*caller
	for _, r := range requests {
		c := f.running[requestIDOf(r.RequestID)]
		if c == nil {
			continue
		}
		if len(c.failures) >= f.opts.MaxFailuresPerRequest {
			return
		}
		affected = append(affected, c)
	}
	f.pending--
	f.injected++
	f.down++
	now := time.Now()
	for _, c := range affected {
		c.failures = append(c.failures, now)
	}
	if f.opts.Stall {
		e.StandIn.Engine.Stall(generation)
	} else {
		e.StandIn.Engine.Crash()
	}
	downTime := f.opts.DownTime.random(f.rng)
	f.restores.Go(func() { f.restoreEngine(e, generation, downTime) })
}

// restoreEngine ends the failure of an engine after a delay.
func (f *faultInjector) restoreEngine(e *deployment.Engine, generation string, delay time.Duration) {
	time.Sleep(delay)
	var err error
	if f.opts.Stall {
		e.StandIn.Engine.Unstall(generation)
	} else {
		err = e.StandIn.Engine.Restart()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down--
	if err != nil && f.err == nil {
		f.err = err
	}
}

// wait waits until all failures have ended.
func (f *faultInjector) wait() error {
	f.restores.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}
