package losses

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
)

// downPart is the part of the engines that may be down at once.
const downPart = 3

// killer makes engines fail when the requests reach their planned tokens.
type killer struct {
	opts    *Options
	engines []*deployment.Engine

	mu  sync.Mutex
	rng *rand.Rand
	// due counts the failures whose moment has come but that could not be
	// made yet; the next request that can carry one does.
	due, made, down int
	running         map[string]*caller
	revivals        sync.WaitGroup
	err             error
}

func newKiller(d *deployment.Deployment, opts *Options) *killer {
	return &killer{
		opts: opts, engines: d.Engines, rng: rand.New(rand.NewPCG(opts.Seed, 2)), running: map[string]*caller{},
	}
}

// begin notes that the engines know a caller's request by this name.
func (k *killer) begin(name string, c *caller) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running[name] = c
}

// end forgets a request.
func (k *killer) end(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.running, name)
}

// reached notes that a caller has so many tokens, and fails its engine if that
// is planned.
func (k *killer) reached(c *caller, count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.task.killAt > 0 && !c.planned && count >= c.task.killAt {
		c.planned = true
		k.due++
	}
	if k.due == 0 || k.down >= max(1, len(k.engines)/downPart) || count >= c.task.tokens {
		return
	}
	for _, e := range k.engines {
		requests := e.StandIn.Engine.Stats().Requests
		for _, r := range requests {
			if nameOf(r.RequestID) == c.name {
				k.fail(e, r.RequestID, requests)
				return
			}
		}
	}
}

// nameOf returns the request that a generation of an engine belongs to. The
// engine's name of it is the request, the epoch and the attempt.
func nameOf(generation string) string {
	for range 2 {
		generation = generation[:max(0, strings.LastIndexByte(generation, '-'))]
	}
	return generation
}

// fail makes an engine fail, unless a request there has met too many failures.
func (k *killer) fail(e *deployment.Engine, generation string, requests []engine.RunningRequest) {
	if k.opts.Stall {
		requests = []engine.RunningRequest{{RequestID: generation}}
	}
	var hit []*caller
	for _, r := range requests {
		c := k.running[nameOf(r.RequestID)]
		if c == nil {
			continue
		}
		if len(c.hits) >= k.opts.MaxFailuresPerRequest {
			return
		}
		hit = append(hit, c)
	}
	k.due--
	k.made++
	k.down++
	now := time.Now()
	for _, c := range hit {
		c.hits = append(c.hits, now)
	}
	if k.opts.Stall {
		e.StandIn.Engine.Stall(generation)
	} else {
		e.StandIn.Engine.Crash()
	}
	down := k.opts.DownTime.draw(k.rng)
	k.revivals.Go(func() { k.revive(e, generation, down) })
}

// revive brings an engine back after a time.
func (k *killer) revive(e *deployment.Engine, generation string, after time.Duration) {
	time.Sleep(after)
	var err error
	if k.opts.Stall {
		e.StandIn.Engine.Unstall(generation)
	} else {
		err = e.StandIn.Engine.Restart()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down--
	if err != nil && k.err == nil {
		k.err = err
	}
}

// finish waits until all engines are back.
func (k *killer) finish() error {
	k.revivals.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err
}
