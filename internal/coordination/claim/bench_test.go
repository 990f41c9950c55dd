package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/claim"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/id"
)

// BenchmarkClaims runs 200 concurrent calls against a key-value service with a latency of
// 5 ms, and reports the writes and reads per call.
func BenchmarkClaims(b *testing.B) {
	const calls = 200
	for _, batched := range []bool{false, true} {
		b.Run(fmt.Sprint("grouped ", batched), func(b *testing.B) {
			s := store.New(store.Options{Latency: 5 * time.Millisecond})
			defer s.Close()
			direct := s.Direct()
			clock := clockwork.NewRealClock()
			leases := &claim.Leases{Grant: direct.Grant, Clock: clock, MinRetention: 24 * time.Hour}
			commit := direct.Commit
			if batched {
				commit = claim.NewBatcher(direct.Commit).Commit
			}
			c := &claim.Claimer{Get: direct.Get, Commit: leases.Bind(commit), Clock: clock}
			for n := range b.N {
				var wait sync.WaitGroup
				for i := range calls {
					wait.Go(func() {
						request := id.Request(fmt.Sprintf("ans-00000000-%x", n*calls+i))
						result := c.Do(context.Background(), claim.Invocation{Request: request, Owner: "e", Call: runCall})
						if result.Outcome != claim.Done {
							b.Errorf("%s is %s: %v", request, result.Outcome, result.Err)
						}
					})
				}
				wait.Wait()
			}
			done := float64(b.N * calls)
			b.ReportMetric(float64(s.Calls().Writes())/done, "writes/call")
			b.ReportMetric(float64(s.Calls().Reads())/done, "reads/call")
		})
	}
}

func runCall(context.Context, claim.Claim) (claim.Outcome, *claim.Reply, error) {
	return claim.Done, &claim.Reply{Status: 200, Body: []byte("ok")}, nil
}
