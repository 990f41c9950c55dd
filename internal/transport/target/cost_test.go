//go:build !race

// Under the race detector sync.Pool drops at random what it holds, so the
// allocations that are counted here say nothing there.

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

// script is an engine whose events were encoded before, so that it costs next
// to nothing beside the process that is measured.
type script struct {
	*httptest.Server
	events [][]byte
	end    []byte
	// gate lets one event pass for each value; nil lets all pass.
	gate chan struct{}
	// hold keeps a stream open after its tokens until it is closed.
	hold chan struct{}
}

func newScript(t testing.TB, tokens int, gate chan struct{}) *script {
	s := &script{gate: gate, hold: make(chan struct{})}
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

func (s *script) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	flush := w.(http.Flusher).Flush
	for _, e := range s.events {
		_, _ = w.Write(e)
		flush()
		if s.gate != nil {
			<-s.gate
		}
	}
	select {
	case <-s.hold:
	case <-r.Context().Done():
	}
	_, _ = w.Write(s.end)
}

// rawCodec leaves what it receives encoded, so that the reader costs little.
type rawCodec struct{ encoding.CodecV2 }

type rawReply struct{ last []byte }

func (c rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	if raw, ok := v.(*rawReply); ok {
		raw.last = data.MaterializeToBuffer(mem.DefaultBufferPool()).ReadOnlyData()
		return nil
	}
	return c.CodecV2.Unmarshal(data, v)
}

// readRaw runs a request and calls each for every message until the end.
func (b *bench) readRaw(ctx context.Context, first *peerpb.RunRequest, each func(message []byte)) {
	stream, err := b.conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true},
		peerpb.Target_Run_FullMethodName, grpc.ForceCodecV2(rawCodec{encoding.GetCodecV2("proto")}))
	is := is.New(b.t)
	is.NoErr(err)
	is.NoErr(stream.SendMsg(first))
	var reply rawReply
	for stream.RecvMsg(&reply) == nil {
		each(reply.last)
	}
}

// maxAllocs bounds the allocations of one token that travels alone. At the
// target a token needs its text, the encoded message with its buffers (4), the
// message's header and its place in the connection's queue (2). In the same
// count are the reader's frame and message (5), and on both sides the probes
// and window updates that grpc sends for a message that comes by itself (5).
// That is 17; three more are for the slices that grow now and then. A decoder
// or a message that is made anew for each token passes the bound.
const maxAllocs = 20

func TestRelayAllocs(t *testing.T) {
	is := is.New(t)
	const tokens = 4000
	s := newScript(t, tokens, make(chan struct{}, 1))
	close(s.hold)
	b := newBench(t, engineSettings(s.URL), target.Deps{})
	each := func(message []byte) {
		if bytes.Contains(message, []byte("abcd ")) {
			s.gate <- struct{}{}
		}
	}
	b.readRaw(t.Context(), numbered(0, tokens), each)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.readRaw(t.Context(), numbered(1, tokens), each)
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / tokens
	t.Logf("%.1f allocations for each token", allocs)
	is.True(allocs <= maxAllocs)
}

// numbered returns a start of a request of its own.
func numbered(n, tokens int) *peerpb.RunRequest {
	spec := testSpec(tokens)
	spec.Request = id.Request(fmt.Sprintf("ans-00000000-%08x", n))
	return start(1, 1, spec)
}

// BenchmarkRelay measures a token's cost, with the reader's part: alone, each
// token comes after the reader has had the one before.
func BenchmarkRelay(b *testing.B) {
	const tokens = 4000
	for name, gate := range map[string]chan struct{}{"alone": make(chan struct{}, 1), "free": nil} {
		b.Run(name, func(b *testing.B) {
			s := newScript(b, tokens, gate)
			close(s.hold)
			p := newBench(b, engineSettings(s.URL), target.Deps{})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			messages := 0
			each := func(message []byte) {
				messages++
				if gate != nil && bytes.Contains(message, []byte("abcd ")) {
					gate <- struct{}{}
				}
			}
			for n := range b.N {
				p.readRaw(b.Context(), numbered(n, tokens), each)
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

// BenchmarkStreamMemory measures what a running stream of 4,000 tokens takes:
// its log, in all with both of its neighbours in this process, the engine's
// server and the entry's client, and what the engine's server and a plain HTTP
// client take without a target process between them.
func BenchmarkStreamMemory(b *testing.B) {
	const (
		tokens  = 4000
		streams = 250
	)
	for range b.N {
		s := newScript(b, tokens, nil)
		b.ReportMetric(float64(s.direct(b, streams, tokens))/streams, "directB/stream")
		settings := engineSettings(s.URL)
		settings.Engine.Slots, settings.Engine.QueueSize = 2*streams, 2*streams
		p := newBench(b, settings, target.Deps{})
		before := memoryInUse()
		var readers, arrived sync.WaitGroup
		arrived.Add(streams)
		for n := range streams {
			readers.Go(func() {
				count := 0
				p.readRaw(b.Context(), numbered(n, tokens), func(message []byte) {
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
		b.ReportMetric(float64(p.process.Status().LogBytes)/streams, "logB/stream")
		close(s.hold)
		readers.Wait()
	}
}

// direct returns what streams take that are read from the engine itself.
func (s *script) direct(b *testing.B, streams, tokens int) uint64 {
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

// BenchmarkManyStreams measures the tokens a second of 1,000 unpaced streams at
// once, engine's server and reader included.
func BenchmarkManyStreams(b *testing.B) {
	const (
		tokens  = 400
		streams = 1000
	)
	s := newScript(b, tokens, nil)
	close(s.hold)
	settings := engineSettings(s.URL)
	settings.Engine.Slots, settings.Engine.QueueSize = 2*streams, 2*streams
	p := newBench(b, settings, target.Deps{})
	b.ResetTimer()
	for round := range b.N {
		var readers sync.WaitGroup
		for n := range streams {
			readers.Go(func() { p.readRaw(b.Context(), numbered(round*streams+n, tokens), func([]byte) {}) })
		}
		readers.Wait()
	}
	b.ReportMetric(float64(b.N)*tokens*streams/b.Elapsed().Seconds(), "tokens/s")
}
