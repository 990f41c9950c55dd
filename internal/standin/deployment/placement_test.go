package deployment_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Tests a change of a model's version. The leading entry moves the engines one
// after another, the number of ready engines never falls below the configured
// replicas, and a running answer keeps its version.
func TestVersionChange(t *testing.T) {
	is := is.New(t)
	keyStore := store.New(store.Options{})
	t.Cleanup(keyStore.Close)
	direct := keyStore.Direct()
	repository := confstore.New(&direct, clockwork.NewRealClock())
	apply := func(version string) {
		value, err := json.Marshal(&conf.Deployment{
			Models:    conf.Models{{Name: "report", Version: id.Version(version), Replicas: 2}},
			Placement: conf.Placement{OrdersEnabled: true, MaxConcurrentLoads: 1},
		})
		is.NoErr(err)
		_, err = repository.Apply(t.Context(), confstore.Edit{Object: conf.DeploymentObject, Value: value, Author: "test"})
		is.NoErr(err)
	}
	opts := options(3, 2)
	opts.Store = &direct
	for i := range opts.Engines {
		opts.Engines[i].Engine.Costs.Order = 300 * time.Millisecond
		opts.Engines[i].Engine.IgnoresFence = i == 0
	}
	// The options put revision 2 in force at the start. Later revisions come from the
	// key-value service.
	value, err := json.Marshal(&opts.Contracts[0])
	is.NoErr(err)
	apply("v1")
	_, err = repository.Apply(t.Context(), confstore.Edit{
		Object: conf.ContractObject, Name: opts.Contracts[0].Name, Value: value, Author: "test",
	})
	is.NoErr(err)
	d := start(t, opts)

	var wait sync.WaitGroup
	wait.Go(func() {
		text, err := complete(context.Background(), d.Entries[0].URL(), "under way", 2000, true)
		is.NoErr(err)
		is.Equal(text, engine.Join(engine.Expect("report", "v1", "", "under way", 2000)))
	})
	time.Sleep(300 * time.Millisecond)
	apply("v2")
	lowest := watchReplicas(t, d)
	wait.Wait()
	is.True(lowest >= 2) // never fewer than the configured replicas
	text, err := complete(t.Context(), d.Entries[1].URL(), "after", 30, true)
	is.NoErr(err)
	is.Equal(text, engine.Join(engine.Expect("report", "v2", "", "after", 30)))
}

// watchReplicas waits until all engines serve v2 and returns the lowest number of
// ready engines seen meanwhile.
func watchReplicas(t *testing.T, d *deployment.Deployment) int {
	t.Helper()
	lowest := len(d.Engines)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready, updated := 0, 0
		for _, e := range d.Engines {
			r := e.Process.Report()
			if r.State == member.Ready {
				ready++
			}
			if r.Version == "v2" && r.State == member.Ready {
				updated++
			}
		}
		lowest = min(lowest, ready)
		if updated == len(d.Engines) {
			return lowest
		}
	}
	t.Fatal("not all engines serve v2 after 60 s")
	return 0
}
