package target_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	peertransport "foxtailward.example/foxtailward/internal/transport/peer"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// fakeEngine streams the tokens "t0 ", "t1 ", … as steps allows.
type fakeEngine struct {
	*httptest.Server
	// steps lets one token through for each value; nil lets all through.
	steps chan struct{}
	// cutAt is the token before which streams are cut; 0 cuts none.
	cutAt atomic.Int64
	// stream replaces the streams of the engine unless it is empty.
	stream    string
	starts    atomic.Int64
	cancelled atomic.Int64
	orders    chan engine.Order
	// cache holds the pages of cache events by the value of "after".
	cache map[string]engine.CacheEvents
}

func newFakeEngine(t testing.TB, steps chan struct{}) *fakeEngine {
	e := &fakeEngine{steps: steps, orders: make(chan engine.Order, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "# HELP x y\n%s{model=\"report\"} 0.031\n%s 7\n", engine.MetricTokenInterval, engine.MetricWaitingPrefill)
	})
	mux.HandleFunc("GET /cache_events", func(w http.ResponseWriter, r *http.Request) {
		if page, ok := e.cache[r.URL.Query().Get("after")]; ok {
			_ = json.NewEncoder(w).Encode(page)
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var order engine.Order
		_ = json.NewDecoder(r.Body).Decode(&order)
		e.orders <- order
		_ = json.NewEncoder(w).Encode(engine.OrderResult{Applied: true, Fence: order.Fence})
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func tokenAt(i int) generation.Token {
	return generation.Token{ID: uint32(1000 + i), Text: fmt.Sprintf("t%d ", i)}
}

func tokensTo(n int) []generation.Token {
	var tokens []generation.Token
	for i := range n {
		tokens = append(tokens, tokenAt(i))
	}
	return tokens
}

func (e *fakeEngine) complete(w http.ResponseWriter, r *http.Request) {
	e.starts.Add(1)
	var c engine.CompletionRequest
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusOK)
	if e.stream != "" {
		_, _ = io.WriteString(w, e.stream)
		return
	}
	flush := w.(http.Flusher).Flush
	flush()
	for i := len(c.PrefixTokenIDs); i < c.MaxTokens; i++ {
		if !e.step(r) {
			return
		}
		if at := e.cutAt.Load(); at != 0 && int64(i) == at {
			panic(http.ErrAbortHandler)
		}
		token := tokenAt(i)
		send(w, engine.Chunk{ID: "x", Model: "report", Choices: []engine.Choice{{
			Text: token.Text, TokenIDs: []uint32{token.ID}, TokenTexts: []string{token.Text},
		}}})
		flush()
	}
	reason := "length"
	send(w, engine.Chunk{
		Choices: []engine.Choice{{FinishReason: &reason}},
		Usage:   &engine.Usage{PromptTokens: 5, CompletionTokens: c.MaxTokens - len(c.PrefixTokenIDs), CachedTokens: 2},
	})
	fmt.Fprintf(w, "data: %s\n\n", engine.Done)
}

// step waits until the next token may be sent, and reports whether the client
// is still connected.
func (e *fakeEngine) step(r *http.Request) bool {
	if e.steps == nil {
		return true
	}
	select {
	case <-e.steps:
		return true
	case <-r.Context().Done():
		e.cancelled.Add(1)
		return false
	}
}

func send(w http.ResponseWriter, chunk engine.Chunk) {
	data, _ := json.Marshal(chunk)
	fmt.Fprintf(w, "data: %s\n\n", data)
}

// harness runs a target process beside a fake engine or service.
type harness struct {
	t       testing.TB
	clock   *clockwork.FakeClock
	process *target.Process
	conn    *grpc.ClientConn
	client  peerpb.TargetClient
	stop    context.CancelFunc
	done    chan error
	exited  bool
	err     error
}

const (
	testRequest = "ans-00000000-0123456789abcdef"
	startUnix   = 1_800_000_000
)

func engineSettings(url string) settings.Target {
	s := settings.Target{
		Name: "t1", Place: settings.Place{Host: "h1", Zone: "olten", Region: "ch-mittelland"},
		PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		Engine: &settings.Engine{URL: url, Model: "report", Version: "v1", Slots: 4},
	}
	s.SetDefaults()
	return s
}

// newHarness starts a process and waits until it is ready.
func newHarness(t testing.TB, s settings.Target, deps target.Deps) *harness {
	is := is.New(t)
	is.Helper()
	h := &harness{t: t, clock: clockwork.NewFakeClockAt(time.Unix(startUnix, 0)), done: make(chan error, 1)}
	deps.Clock = h.clock
	h.process = target.New(s, deps)
	is.NoErr(h.process.Listen())
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.done <- h.process.Run(ctx) }()
	pool := peertransport.NewPool(func() *peerpb.Stamp { return &peerpb.Stamp{Sender: "e1"} })
	conn, err := pool.Conn(h.process.Address())
	is.NoErr(err)
	h.conn, h.client = conn, peerpb.NewTargetClient(conn)
	h.eventually(func() bool { return h.process.Report().State == member.Ready })
	t.Cleanup(func() {
		stop()
		h.process.Abort()
		_ = h.waitEnd()
		pool.Close()
	})
	return h
}

// waitEnd advances the clock until the process has ended, and returns its
// error.
func (h *harness) waitEnd() error {
	for !h.exited {
		select {
		case h.err = <-h.done:
			h.exited = true
		default:
			h.advance(50 * time.Millisecond)
		}
	}
	return h.err
}

// advance moves the clock and lets the goroutines that it wakes run.
func (h *harness) advance(d time.Duration) {
	h.clock.Advance(d)
	time.Sleep(time.Millisecond)
}

// pollInterval is the time between two polls of the engine.
const pollInterval = 500 * time.Millisecond

// eventually waits until a condition holds. It does not move the clock.
func (h *harness) eventually(condition func() bool) {
	h.t.Helper()
	for range 5_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.t.Fatal("the condition never held")
}

func testSpec(maxTokens int) *generation.Spec {
	return &generation.Spec{
		Request: testRequest, Contract: "c", Model: "report", Version: "v1", Lineage: "l1",
		Class: generation.Standard, Prefer: generation.PreferLatency, MaxTokens: maxTokens, Prompt: "a prompt",
	}
}

type runClient = grpc.BidiStreamingClient[peerpb.RunRequest, peerpb.RunReply]

// run opens a stream with its first message.
func (h *harness) run(ctx context.Context, first *peerpb.RunRequest) runClient {
	is := is.New(h.t)
	is.Helper()
	stream, err := h.client.Run(ctx)
	is.NoErr(err)
	is.NoErr(stream.Send(first))
	return stream
}

func start(epoch id.Epoch, attempt id.Attempt, spec *generation.Spec, prefix ...generation.Token) *peerpb.RunRequest {
	return &peerpb.RunRequest{Message: &peerpb.RunRequest_Start{Start: &peerpb.Start{
		Spec: peer.FromSpec(spec), Epoch: uint64(epoch), Attempt: uint32(attempt), Prefix: peer.FromTokens(prefix),
	}}}
}

func adopt(epoch id.Epoch, attempt id.Attempt, from id.TokenIndex) *peerpb.RunRequest {
	return &peerpb.RunRequest{Message: &peerpb.RunRequest_Adopt{Adopt: &peerpb.Adopt{
		Request: testRequest, Epoch: uint64(epoch), Attempt: uint32(attempt), From: uint32(from),
	}}}
}

// streamResult is what was received on a stream.
type streamResult struct {
	accepted *peerpb.Accepted
	first    int
	tokens   []generation.Token
	finish   *peerpb.Finish
	refused  *peerpb.Refused
	loads    []*peerpb.Load
	messages int
	err      error
}

// next receives one message into r and reports whether more can follow.
func (r *streamResult) next(t testing.TB, stream runClient) bool {
	reply, err := stream.Recv()
	if err != nil {
		r.err = err
		return false
	}
	r.messages++
	if reply.Load != nil {
		r.loads = append(r.loads, reply.Load)
	}
	switch m := reply.Message.(type) {
	case *peerpb.RunReply_Accepted:
		r.accepted = m.Accepted
	case *peerpb.RunReply_Tokens:
		if len(r.tokens) == 0 {
			r.first = int(m.Tokens.First)
		}
		if int(m.Tokens.First) != r.first+len(r.tokens) {
			t.Fatalf("tokens from %d, want %d", m.Tokens.First, r.first+len(r.tokens))
		}
		r.tokens = append(r.tokens, peer.ToTokens(m.Tokens.Tokens)...)
	case *peerpb.RunReply_Finish:
		r.finish = m.Finish
	case *peerpb.RunReply_Refused:
		r.refused = m.Refused
	}
	return true
}

// readAll reads a stream to its end.
func readAll(t testing.TB, stream runClient) *streamResult {
	r := &streamResult{}
	for more := true; more; {
		more = r.next(t, stream)
	}
	return r
}

// readUntil reads a stream until it has received n tokens.
func readUntil(t testing.TB, stream runClient, n int) *streamResult {
	r := &streamResult{}
	for more := true; more && len(r.tokens) < n; {
		more = r.next(t, stream)
	}
	return r
}
