package losses

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"

	"github.com/jonboulle/clockwork"
)

const (
	model   = "report"
	version = "v1"
	// key is the bearer key of the run's one contract.
	key = "recover"
	// minPrompt is the shortest prompt, in tokens.
	minPrompt = 16
	// entries is how many entries the callers use in turn.
	entries = 2
	// zones is how many zones the engines are spread over.
	zones = 4
	// ampleSlots is how many times the slots are there that the answers need.
	ampleSlots = 4
	// scarceSlots is how many more there are when headroom is scarce.
	scarceSlots = 1
)

// task is one request of the run.
type task struct {
	prompt string
	tokens int
	// killAt is the count of tokens at which its engine fails; 0 for never.
	killAt int
}

// plan draws the requests and the failures.
func plan(o *Options) []task {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	tasks := make([]task, o.Requests)
	for i := range tasks {
		words := minPrompt + rng.IntN(o.PromptTokens-minPrompt+1)
		tasks[i] = task{prompt: promptOf(o.Seed, i, words), tokens: o.Tokens}
	}
	for _, i := range rng.Perm(o.Requests)[:o.Failures] {
		tasks[i].killAt = 1 + rng.IntN(o.Tokens-1)
	}
	return tasks
}

// promptOf returns a prompt that shares no cache block with another.
func promptOf(seed uint64, i, words int) string {
	return fmt.Sprintf("%d-%d", seed, i) + strings.Repeat(" item", words)
}

// deployment returns the options of the run's deployment.
func (r *run) deployment() deployment.Options {
	o := &r.opts
	opts := deployment.Options{
		Seed:       o.Seed,
		Contracts:  []contract.Contract{r.contract()},
		Deployment: conf.Deployment{Models: conf.Models{{Name: model, Version: version, Replicas: 1}}},
		Log:        event.NewLog(r.races, clockwork.NewRealClock()),
	}
	opts.Deployment.SetDefaults()
	// The deaths are nobody's fault and far more frequent than in a platform.
	// An attempt that begins while its engine dies is a death that the killer
	// does not see, on a busy machine more than one; so more are allowed than the
	// whole run has.
	opts.Deployment.Recovery.QuarantineThreshold = o.Failures + o.MaxFailuresPerRequest + 2
	if o.RetryShare != nil {
		opts.Deployment.Recovery.RetryShare = *o.RetryShare
	}
	if o.HedgeShare != nil {
		opts.Deployment.Recovery.HedgeShare = *o.HedgeShare
	}
	slots := max(1, (o.Concurrency+o.Engines-1)/o.Engines)
	if o.FewSlots {
		slots += scarceSlots
	} else {
		slots *= ampleSlots
	}
	for i := range o.Engines {
		opts.Engines = append(opts.Engines, deployment.EngineOptions{
			Name:   id.Target(fmt.Sprintf("engine-%d", i)),
			Place:  place(i),
			Engine: engine.Options{Model: model, Version: version, Costs: o.Costs, Slots: slots},
		})
	}
	for i := range entries {
		opts.Entries = append(opts.Entries, deployment.EntryOptions{Name: id.Entry(fmt.Sprintf("entry-%d", i)), Place: place(i)})
	}
	return opts
}

func place(i int) settings.Place {
	return settings.Place{
		Host: id.Host(fmt.Sprintf("host-%d", i)), Zone: id.Zone(fmt.Sprintf("zone-%d", i%zones)), Region: "ch-mittelland",
	}
}

// contract returns a contract that limits nothing.
func (r *run) contract() contract.Contract {
	prefer := generation.Preference(r.opts.Mode)
	if r.opts.Mode == NaiveClient {
		prefer = generation.PreferLatency
	}
	return contract.Contract{
		Name: "recover", Class: generation.Long, Models: []id.Model{model},
		Limits: contract.Limits{
			TokensPerSecond: math.MaxInt32, RequestsPerSecond: math.MaxInt32, Concurrency: math.MaxInt32,
			AnswerTokens: contract.MaxAnswerTokens,
		},
		Recovery: contract.Recovery{Prefer: prefer},
		Keys:     []contract.KeyHash{contract.HashKey(key)},
	}
}
