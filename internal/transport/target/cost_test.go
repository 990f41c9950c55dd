//go:build !race

// Under the race detector sync.Pool drops items at random, so allocation
// counts are meaningless there.

package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"

	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// scriptedEngine is an engine that sends events encoded in advance, so that
// it adds almost no cost to the process being measured.
type scriptedEngine struct {
	*httptest.Server
	events [][]byte
	end    []byte
	// steps must deliver a value after each event before the next one is sent;
	// nil means no wait.
	steps chan struct{}
	// hold keeps a stream open after its tokens until it is closed.
	hold chan struct{}
}

func newScriptedEngine(t testing.TB, tokens int, steps chan struct{}) *scriptedEngine {
	s := &scriptedEngine{steps: steps, hold: make(chan struct{})}
	for i := range tokens {
		s.events = append(s.events, event(engine.Chunk{ID: "cmpl-1", Model: "report", Choices: []engine.Choice{{
			Text: "abcd ", TokenIDs: []uint32{uint32(i)}, TokenTexts: []string{"abcd "},
		}}}))
	}
	reason := "length"
	s.end = append(event(engine.Chunk{
		Choices: []engine.Choice{{FinishReason: &reason}}, Usage: &engine.Usage{PromptTokens: 5, CompletionTokens: tokens},
	}), "data: [DONE]\n\n"...)
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func event(chunk engine.Chunk) []byte {
	data, _ := json.Marshal(chunk)
	return fmt.Appendf(nil, "data: %s\n\n", data)
}

func (s *scriptedEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	flush := w.(http.Flusher).Flush
	for _, e := range s.events {
		_, _ = w.Write(e)
		flush()
		if s.steps != nil {
			<-s.steps
		}
	}
	select {
	case <-s.hold:
	case <-r.Context().Done():
	}
	_, _ = w.Write(s.end)
}

// rawCodec leaves received messages encoded, so that the reader adds little
// cost.
type rawCodec struct{ encoding.CodecV2 }

type rawReply struct{ last []byte }

func (c rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	if raw, ok := v.(*rawReply); ok {
		raw.last = data.MaterializeToBuffer(mem.DefaultBufferPool()).ReadOnlyData()
		return nil
	}
	return c.CodecV2.Unmarshal(data, v)
}

// readRaw opens a stream and calls each for every message until the stream
// ends.
func (h *harness) readRaw(ctx context.Context, first *peerpb.RunRequest, each func(message []byte)) {
	stream, err := h.conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true},
		peerpb.Target_Run_FullMethodName, grpc.ForceCodecV2(rawCodec{encoding.GetCodecV2("proto")}))
	is := is.New(h.t)
	is.NoErr(err)
	is.NoErr(stream.SendMsg(first))
	var reply rawReply
	for stream.RecvMsg(&reply) == nil {
		each(reply.last)
	}
}

// maxAllocs limits the allocations for a token that is sent in a message of
// its own. The target process needs them for the token's text, the encoded
// message with its buffers (4), and the message's header and its slot in the
// connection's queue (2). The count also includes the reader's frame and
// message (5), and the probes and window updates that grpc sends on both
// sides for a separate message (5). That is 17; three more allow for slices
// that grow occasionally. Allocating a decoder or a message for each token
// exceeds the limit.
const maxAllocs = 20

func TestRelayAllocs(t *testing.T) {
	is := is.New(t)
	const tokens = 4000
	s := newScriptedEngine(t, tokens, make(chan struct{}, 1))
	close(s.hold)
	h := newHarness(t, engineSettings(s.URL), target.Deps{})
	each := func(message []byte) {
		if bytes.Contains(message, []byte("abcd ")) {
			s.steps <- struct{}{}
		}
	}
	h.readRaw(t.Context(), startNumbered(0, tokens), each)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.readRaw(t.Context(), startNumbered(1, tokens), each)
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / tokens
	t.Logf("%.1f allocations for each token", allocs)
	is.True(allocs <= maxAllocs)
}

// startNumbered returns a start message for request number n.
func startNumbered(n, tokens int) *peerpb.RunRequest {
	spec := testSpec(tokens)
	spec.Request = id.Request(fmt.Sprintf("ans-00000000-%08x", n))
	return start(1, 1, spec)
}

// BenchmarkRelay measures the cost of a token, including the reader. In the
// case "alone", each token is sent after the reader has received the previous
// one.
func BenchmarkRelay(b *testing.B) {
	const tokens = 4000
	for name, steps := range map[string]chan struct{}{"alone": make(chan struct{}, 1), "free": nil} {
		b.Run(name, func(b *testing.B) {
			s := newScriptedEngine(b, tokens, steps)
			close(s.hold)
			h := newHarness(b, engineSettings(s.URL), target.Deps{})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			messages := 0
			each := func(message []byte) {
				messages++
				if steps != nil && bytes.Contains(message, []byte("abcd ")) {
					steps <- struct{}{}
				}
			}
			for n := range b.N {
				h.readRaw(b.Context(), startNumbered(n, tokens), each)
			}
			b.StopTimer()
			runtime.ReadMemStats(&after)
			all := float64(b.N) * tokens
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/all, "allocs/token")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/all, "ns/token")
			b.ReportMetric(all/float64(messages), "tokens/message")
		})
	}
}

// BenchmarkStreamMemory measures the memory of a running stream of 4,000
// tokens: the log alone (logB/stream); the total with the engine's server and
// the entry's client, which run in the same process (B/stream); and a stream
// from the engine's server to a plain HTTP client without a target process
// (directB/stream).
func BenchmarkStreamMemory(b *testing.B) {
	const (
		tokens  = 4000
		streams = 250
	)
	for range b.N {
		s := newScriptedEngine(b, tokens, nil)
		b.ReportMetric(float64(s.directMemory(b, streams, tokens))/streams, "directB/stream")
		settings := engineSettings(s.URL)
		settings.Engine.Slots, settings.Engine.QueueSize = 2*streams, 2*streams
		h := newHarness(b, settings, target.Deps{})
		before := memoryInUse()
		var readers, arrived sync.WaitGroup
		arrived.Add(streams)
		for n := range streams {
			readers.Go(func() {
				count := 0
				h.readRaw(b.Context(), startNumbered(n, tokens), func(message []byte) {
					count += bytes.Count(message, []byte("abcd "))
					if count == tokens {
						count++
						arrived.Done()
					}
				})
			})
		}
		arrived.Wait()
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		b.ReportMetric(float64(h.process.Status().LogBytes)/streams, "logB/stream")
		close(s.hold)
		readers.Wait()
	}
}

// directMemory returns the memory of streams that are read from the engine
// directly.
func (s *scriptedEngine) directMemory(b *testing.B, streams, tokens int) uint64 {
	is := is.New(b)
	client := &http.Client{Transport: &http.Transport{}}
	before := memoryInUse()
	var bodies []io.Closer
	for range streams {
		resp, err := client.Post(s.URL, "application/json", nil)
		is.NoErr(err)
		_, err = io.CopyN(io.Discard, resp.Body, int64(tokens*len(s.events[0])))
		is.NoErr(err)
		bodies = append(bodies, resp.Body)
	}
	used := memoryInUse() - before
	for _, body := range bodies {
		is.NoErr(body.Close())
	}
	client.CloseIdleConnections()
	return used
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkManyStreams measures the tokens per second of 1,000 concurrent
// streams without pacing, including the engine's server and the readers.
func BenchmarkManyStreams(b *testing.B) {
	const (
		tokens  = 400
		streams = 1000
	)
	s := newScriptedEngine(b, tokens, nil)
	close(s.hold)
	settings := engineSettings(s.URL)
	settings.Engine.Slots, settings.Engine.QueueSize = 2*streams, 2*streams
	h := newHarness(b, settings, target.Deps{})
	b.ResetTimer()
	for round := range b.N {
		var readers sync.WaitGroup
		for n := range streams {
			readers.Go(func() { h.readRaw(b.Context(), startNumbered(round*streams+n, tokens), func([]byte) {}) })
		}
		readers.Wait()
	}
	b.ReportMetric(float64(b.N)*tokens*streams/b.Elapsed().Seconds(), "tokens/s")
}
