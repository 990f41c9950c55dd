package confstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	standin "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/conf"
)

// contractsAtSize is the number of client accounts in the reference deployment.
const contractsAtSize = 580

// filled returns a service that holds n contracts, and a repository for it.
func filled(tb testing.TB, n int, opts standin.Options) (*standin.Service, *confstore.Repository) {
	service := standin.New(opts)
	tb.Cleanup(service.Close)
	direct := service.Direct()
	r := confstore.New(&direct, clockwork.NewRealClock())
	for i := range n {
		if _, err := r.Apply(context.Background(), contractEdit(fmt.Sprintf("c%d", i), 1)); err != nil {
			tb.Fatal(err)
		}
	}
	return service, r
}

// TestCalls checks the number of calls to the service that each operation
// makes.
func TestCalls(t *testing.T) {
	service, r := filled(t, 20, standin.Options{})
	tests := []struct {
		name          string
		do            func() error
		reads, writes int64
	}{
		{"put a contract", func() error {
			_, err := r.Apply(t.Context(), contractEdit("c1", 2))
			return err
		}, 2, 1},
		{"put the deployment", func() error {
			_, err := r.Apply(t.Context(), deploymentEdit(3))
			return err
		}, 2, 1},
		{"load", func() error {
			_, err := r.Load(t.Context())
			return err
		}, 4, 0},
		{"since, none", func() error {
			_, err := r.ChangesSince(t.Context(), 22)
			return err
		}, 1, 0},
		{"since, one", func() error {
			_, err := r.ChangesSince(t.Context(), 21)
			return err
		}, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := service.Calls()
			is.NoErr(tt.do())
			after := service.Calls()
			is.Equal(after.Reads()-before.Reads(), tt.reads)
			is.Equal(after.Writes()-before.Writes(), tt.writes)
		})
	}
}

func BenchmarkLoad(b *testing.B) {
	_, r := filled(b, contractsAtSize, standin.Options{})
	s, err := r.Load(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	whole, err := json.Marshal(s)
	if err != nil {
		b.Fatal(err)
	}
	change, err := r.Get(b.Context(), conf.ContractObject, "c1")
	if err != nil {
		b.Fatal(err)
	}
	one, err := json.Marshal(change)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := r.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(whole)), "wholeBytes")
	b.ReportMetric(float64(len(one)), "changeBytes")
}

// BenchmarkRace has 12 operators write different contracts at the same time,
// with a latency of 2 ms per call.
func BenchmarkRace(b *testing.B) {
	const operators = 12
	service, r := filled(b, 0, standin.Options{})
	service.SetLatency(2 * time.Millisecond)
	before := service.Calls()
	b.ResetTimer()
	for n := range b.N {
		var wait sync.WaitGroup
		for i := range operators {
			wait.Go(func() {
				if _, err := r.Apply(context.Background(), contractEdit(fmt.Sprintf("c%d", i), n+1)); err != nil {
					b.Error(err)
				}
			})
		}
		wait.Wait()
	}
	calls := service.Calls()
	changes := float64(b.N * operators)
	b.ReportMetric(float64(calls.Writes()-before.Writes())/changes, "writes/change")
	b.ReportMetric(float64(calls.Reads()-before.Reads())/changes, "reads/change")
}
