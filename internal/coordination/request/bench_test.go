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

// BenchmarkAnswerMemory measures what the owner of an answer of 4,000 tokens
// holds, its reader included. The texts of the tokens, which the fake target
// makes, are counted with it.
func BenchmarkAnswerMemory(b *testing.B) {
	const tokens, answers = 4000, 200
	f := newTargets(1)
	clock := clockwork.NewRealClock()
	cfg := request.Config{Self: "e1", Clock: clock, Log: event.NewLogfmtLog(io.Discard, clock)}
	for b.Loop() {
		d := request.NewCoordinator(cfg, f.link(), alone("e1"), f.policy(), openGate())
		before := heap()
		var readers []*answer.Reader
		for i := range answers {
			reader, err := d.Open(b.Context(), ask("stapler", fmt.Sprint(i), "p", tokens))
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
		b.ReportMetric(float64(heap()-before)/answers, "B/answer")
		runtime.KeepAlive(readers)
		d.Close()
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
