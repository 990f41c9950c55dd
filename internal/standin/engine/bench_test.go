package engine_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/engine"
)

// BenchmarkStreams reads 1,000 concurrent streams of 200 tokens each from an engine
// without simulated costs.
func BenchmarkStreams(b *testing.B) {
	const streams, tokens = 1_000, 200
	is := is.New(b)
	s, err := engine.Listen("127.0.0.1:0", engine.Options{Slots: streams})
	is.NoErr(err)
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		var readers sync.WaitGroup
		for i := range streams {
			readers.Go(func() {
				got, err := complete(s.URL(), newRequest(fmt.Sprintf("Truck %d", i), tokens))
				if err != nil || len(got.tokens) != tokens {
					b.Error("a stream failed or is incomplete")
				}
			})
		}
		readers.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}
