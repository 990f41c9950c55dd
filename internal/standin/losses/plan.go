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
	// key is the bearer key of the run's only contract.
	key = "recover"
	// minPromptTokens is the minimum length of a prompt.
	minPromptTokens = 16
	// entries is the number of entries, which the callers use in turn.
	entries = 2
	// zones is the number of zones that the engines are spread over.
	zones = 4
	// ampleSlotFactor multiplies the slots that the concurrent answers need.
	ampleSlotFactor = 4
	// fewExtraSlots is the number of slots per engine beyond those needed with
	// Options.FewSlots.
	fewExtraSlots = 1
)

// task is one request of the run.
type task struct {
	prompt string
	tokens int
	// failAtToken is the number of received tokens at which the engine fails; 0
	// means never.
	failAtToken int
}

// plan chooses the requests and the failures at random.
func plan(o *Options) []task {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	tasks := make([]task, o.Requests)
	for i := range tasks {
		words := minPromptTokens + rng.IntN(o.PromptTokens-minPromptTokens+1)
		tasks[i] = task{prompt: promptOf(o.Seed, i, words), tokens: o.Tokens}
	}
	for _, i := range rng.Perm(o.Requests)[:o.Failures] {
		tasks[i].failAtToken = 1 + rng.IntN(o.Tokens-1)
	}
	return tasks
}

// promptOf returns a prompt that shares no cache block with any other prompt.
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
		Log:        event.NewLog(r.hedgeLog, clockwork.NewRealClock()),
	}
	opts.Deployment.SetDefaults()
	// No request causes the failures, and they are far more frequent than in a real
	// platform. An attempt that begins while its engine crashes counts as a failure
	// that the fault injector does not see, and on a busy machine there can be
	// several. So the threshold is above the number of failures in the whole run.
	opts.Deployment.Recovery.QuarantineThreshold = o.Failures + o.MaxFailuresPerRequest + 2
	if o.RetryShare != nil {
		opts.Deployment.Recovery.RetryShare = *o.RetryShare
	}
	if o.HedgeShare != nil {
		opts.Deployment.Recovery.HedgeShare = *o.HedgeShare
	}
	slots := max(1, (o.Concurrency+o.Engines-1)/o.Engines)
	if o.FewSlots {
		slots += fewExtraSlots
	} else {
		slots *= ampleSlotFactor
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

// contract returns a contract without effective limits.
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
