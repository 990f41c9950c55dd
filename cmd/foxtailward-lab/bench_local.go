package main

import (
	"context"
	"math"
	"time"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

const (
	// localKey is the bearer key of a local deployment.
	localKey = "bench"
	// localReadyTimeout bounds the start of a local deployment.
	localReadyTimeout = 20 * time.Second
)

// localDeployment starts one engine, its target process and one entry in this
// process, with a contract that limits nothing.
func (f *benchFlags) localDeployment(ctx context.Context) (*deployment.Deployment, error) {
	place := settings.Place{Host: "host-1", Zone: "olten", Region: "ch-mittelland"}
	d, err := deployment.Start(deployment.Options{
		Deployment: conf.Deployment{Models: conf.Models{
			{Name: id.Model(f.opts.Model), Version: id.Version(f.opts.Version), Replicas: 1},
		}},
		Contracts: []contract.Contract{f.localContract()},
		Engines: []deployment.EngineOptions{{
			Name:  "engine-1",
			Place: place,
			Engine: engine.Options{
				Model: f.opts.Model, Version: f.opts.Version, Costs: f.costs, Slots: 2 * f.opts.Streams,
			},
		}},
		Entries: []deployment.EntryOptions{{Name: "entry-1", Place: place}},
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, localReadyTimeout)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (f *benchFlags) localContract() contract.Contract {
	return contract.Contract{
		Name:   "bench",
		Class:  generation.Short,
		Models: []id.Model{id.Model(f.opts.Model)},
		Limits: contract.Limits{
			TokensPerSecond:   math.MaxInt32,
			RequestsPerSecond: math.MaxInt32,
			Concurrency:       math.MaxInt32,
			AnswerTokens:      contract.MaxAnswerTokens,
		},
		Keys: []contract.KeyHash{contract.HashKey(localKey)},
	}
}
