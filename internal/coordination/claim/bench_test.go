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

// BenchmarkClaims runs 200 calls at once against a key-value service that
// takes 5 ms for each call, and tells its writes for each call.
func BenchmarkClaims(b *testing.B) {
	const calls = 200
	for _, grouped := range []bool{false, true} {
		b.Run(fmt.Sprint("grouped ", grouped), func(b *testing.B) {
			s := store.New(store.Options{Latency: 5 * time.Millisecond})
			defer s.Close()
			direct := s.Direct()
			clock := clockwork.NewRealClock()
			leases := &claim.Leases{Grant: direct.Grant, Clock: clock, MinRetention: 24 * time.Hour}
			commit := direct.Commit
			if grouped {
				commit = claim.NewBatcher(direct.Commit).Commit
			}
			c := &claim.Claimer{Get: direct.Get, Commit: leases.Bind(commit), Clock: clock}
			for n := range b.N {
				var wait sync.WaitGroup
				for i := range calls {
					wait.Go(func() {
						request := id.Request(fmt.Sprintf("ans-00000000-%x", n*calls+i))
						result := c.Do(context.Background(), claim.Invocation{Request: request, Owner: "e", Call: runs})
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

func runs(context.Context, claim.Claim) (claim.Outcome, *claim.Reply, error) {
	return claim.Done, &claim.Reply{Status: 200, Body: []byte("ok")}, nil
}
