package request_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/event"
)

// BenchmarkAnswerMemory measures the heap that the owner of an answer of 4,000
// tokens uses, including its reader and the token texts made by the fake target.
func BenchmarkAnswerMemory(b *testing.B) {
	const tokens, answers = 4000, 200
	f := newFakeTargets(1)
	clock := clockwork.NewRealClock()
	cfg := request.Config{Self: "e1", Clock: clock, Log: event.NewLogfmtLog(io.Discard, clock)}
	for b.Loop() {
		co := request.NewCoordinator(cfg, f.client(), soloPeers("e1"), f.policy(), openAdmission())
		before := heapBytes()
		var readers []*answer.Reader
		for i := range answers {
			reader, err := co.Open(b.Context(), newRequest("stapler", fmt.Sprint(i), "p", tokens))
			if err != nil {
				b.Fatal(err)
			}
			for next := 0; next < tokens; {
				part, err := reader.Next(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				next = int(part.First) + len(part.Tokens)
			}
			readers = append(readers, reader)
		}
		b.ReportMetric(float64(heapBytes()-before)/answers, "B/answer")
		runtime.KeepAlive(readers)
		co.Close()
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
