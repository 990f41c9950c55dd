package deployment

import (
	"context"
	"fmt"
	"time"

	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/standin/service"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// SampleModel is the model of the sample deployment with long answers.
const SampleModel = "report"

// sampleCosts are the costs of the sample's engines: about 31 ms per token.
var sampleCosts = engine.Costs{
	Prefill:           200 * time.Microsecond,
	Step:              30 * time.Millisecond,
	StepPerGeneration: 250 * time.Microsecond,
	Order:             2 * time.Second,
}

// Sample returns the options of a small example deployment with the two client
// accounts of the project's brief. The arguments are the caller addresses of its
// two entries.
func Sample(callerAddress, callerAddress2 string) Options {
	opts := Options{
		Deployment: conf.Deployment{Models: conf.Models{
			{Name: SampleModel, Version: "v1", Replicas: 2},
			{Name: "easy-read", Version: "v1", Replicas: 1},
		}},
		Contracts: []contract.Contract{
			{
				Name: "staplerdienst", Class: generation.Long, Models: []id.Model{SampleModel},
				Services: contract.Services{{Name: "floor"}},
				Recovery: contract.Recovery{Prefer: generation.PreferLatency},
				Keys:     []contract.KeyHash{contract.HashKey("dev-staplerdienst")},
			},
			{
				Name: "belediye", Class: generation.Long, Models: []id.Model{"easy-read"},
				Services: contract.Services{{Name: "kiosk", Repeatable: true}},
				Recovery: contract.Recovery{Prefer: generation.PreferCost},
				Keys:     []contract.KeyHash{contract.HashKey("dev-belediye")},
			},
		},
		Entries: []EntryOptions{
			{Name: "entry-1", Place: place("olten", "ch-mittelland", 1), CallerAddress: callerAddress},
			{Name: "entry-2", Place: place("cankaya", "ankara", 2), CallerAddress: callerAddress2},
		},
	}
	zones := []id.Zone{"olten", "aarau", "bern"}
	for i, zone := range zones {
		opts.Engines = append(opts.Engines, sampleEngine(SampleModel, i, place(zone, "ch-mittelland", 10+i)))
	}
	opts.Services = []ServiceOptions{
		{Name: "floor-1", Place: place("olten", "ch-mittelland", 30), Service: service.Options{Name: "floor"}},
		{Name: "kiosk-1", Place: place("cankaya", "ankara", 31), Service: service.Options{Name: "kiosk"}},
	}
	// The store is never closed: it lives as long as the process.
	direct := store.New(store.Options{}).Direct()
	opts.Store = &direct
	for i, zone := range []id.Zone{"cankaya", "yenimahalle"} {
		opts.Engines = append(opts.Engines, sampleEngine("easy-read", i, place(zone, "ankara", 20+i)))
	}
	return opts
}

func sampleEngine(model string, i int, p settings.Place) EngineOptions {
	return EngineOptions{
		Name:   id.Target(fmt.Sprintf("%s-%d", model, i+1)),
		Place:  p,
		Engine: engine.Options{Model: model, Version: "v1", Costs: sampleCosts, Slots: 16},
	}
}

func place(zone id.Zone, region id.Region, host int) settings.Place {
	return settings.Place{Host: id.Host(fmt.Sprintf("host-%d", host)), Zone: zone, Region: region}
}

// crashPollInterval is the time between two checks for a crashed engine.
const crashPollInterval = 20 * time.Millisecond

// CrashFirst crashes the first engine of the model that has sent the given
// number of tokens, and keeps the other engines running. It waits until an
// engine has crashed or ctx ends.
func (d *Deployment) CrashFirst(ctx context.Context, model string, tokens int) {
	var armed []*Engine
	for _, e := range d.Engines {
		if served, _, _ := e.StandIn.Engine.Serving(); served == model {
			e.StandIn.Engine.CrashAfterTokens(tokens)
			armed = append(armed, e)
		}
	}
	ticker := time.NewTicker(crashPollInterval)
	defer ticker.Stop()
	for !anyCrashed(armed) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	for _, e := range armed {
		e.StandIn.Engine.CrashAfterTokens(neverCrash)
	}
}

// neverCrash disables Engine.CrashAfterTokens.
const neverCrash = -1

func anyCrashed(engines []*Engine) bool {
	for _, e := range engines {
		if e.StandIn.Engine.Crashed() {
			return true
		}
	}
	return false
}
