package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/caller"
)

const (
	testKey     = "key-of-staplerdienst"
	testLineage = id.Lineage("lin-1")
)

// fakeHandlers answers each request with the same tokens.
type fakeHandlers struct {
	// replyTail is appended to the bodies of replies to calls.
	replyTail string
	tokens    []generation.Token
	// failAfter ends each answer with failure after that many tokens. A negative
	// value means never.
	failAfter int
	failure   error
	// corrupt changes a part before it is returned.
	corrupt func(*answer.Part)
	// blocks makes Next block before it returns the token with index blockAt.
	blockAt id.TokenIndex
	blocks  bool
	closed  chan struct{}
	// restartAt begins a new lineage after that many tokens. A negative value means
	// never.
	restartAt int

	mu       sync.Mutex
	requests []answer.GenerationRequest
	calls    []answer.Call
	opened   map[id.Request]answer.GenerationRequest
}

func newFakeHandlers(texts ...string) *fakeHandlers {
	f := &fakeHandlers{failAfter: -1, restartAt: -1, closed: make(chan struct{}, 16), opened: map[id.Request]answer.GenerationRequest{}}
	for i, text := range texts {
		f.tokens = append(f.tokens, generation.Token{ID: uint32(i + 1), Text: text})
	}
	return f
}

func testContract() *contract.Contract {
	c := &contract.Contract{
		Name:   "staplerdienst",
		Models: []id.Model{"report"},
		Services: contract.Services{
			{Name: "parts", Repeatable: true}, {Name: "orders"}, {Name: "floor", RepeatableReads: true},
		},
		Keys: []contract.KeyHash{contract.HashKey(testKey)},
	}
	c.SetDefaults()
	c.Limits.PromptBytes = 1000
	return c
}

func (f *fakeHandlers) handlers() *answer.Handlers {
	c := testContract()
	return &answer.Handlers{
		Authenticate: func(key string) (*contract.Contract, bool) {
			return c, contract.HashKey(key) == c.Keys[0]
		},
		Models: func(*contract.Contract) []id.Model { return []id.Model{"report"} },
		Open:   f.open,
		Resume: f.resume,
		Call:   f.call,
	}
}

func (f *fakeHandlers) open(_ context.Context, request answer.GenerationRequest) (*answer.Reader, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	if request.Spec.Model != "report" {
		return nil, answer.NewRefusal(answer.CauseForbidden, "the contract does not allow model %s", request.Spec.Model)
	}
	answerID := id.NewRequest("entry-1")
	if request.Key != "" {
		answerID = id.RequestForKey(request.Contract.Name, request.Key)
	}
	if old, ok := f.opened[answerID]; ok && old.Spec.RequestFingerprint != request.Spec.RequestFingerprint {
		return nil, answer.NewRefusal(answer.CauseConflict, "the key belongs to another request")
	}
	f.opened[answerID] = request
	return f.reader(answerID, request.Spec, 0), nil
}

func (f *fakeHandlers) resume(_ context.Context, resume answer.ResumeRequest) (*answer.Reader, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request, ok := f.opened[resume.Request]
	if !ok {
		return nil, answer.NewRefusal(answer.CauseNotFound, "no answer %s", resume.Request)
	}
	from := resume.From
	if resume.Lineage != testLineage {
		from = 0
	}
	return f.reader(resume.Request, request.Spec, from), nil
}

func (f *fakeHandlers) call(_ context.Context, call answer.Call) (*answer.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return &answer.Reply{
		Request: id.NewRequest("entry-1"),
		Status:  http.StatusAccepted,
		Header:  http.Header{"X-Part": {"7"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:    []byte("done" + f.replyTail),
	}, nil
}

func (f *fakeHandlers) reader(request id.Request, spec generation.Spec, from id.TokenIndex) *answer.Reader {
	next, lineage := from, testLineage
	var once sync.Once
	return &answer.Reader{
		Request: request,
		Lineage: testLineage,
		Spec:    spec,
		Next: func(ctx context.Context) (answer.Part, error) {
			if f.blocks && next == f.blockAt {
				<-ctx.Done()
				return answer.Part{}, ctx.Err()
			}
			if f.failAfter >= 0 && int(next) >= f.failAfter {
				return answer.Part{}, f.failure
			}
			if lineage == testLineage && int(next) == f.restartAt {
				next, lineage = 0, "lin-2"
			}
			part := f.part(next)
			part.Lineage = lineage
			next += id.TokenIndex(len(part.Tokens))
			if f.corrupt != nil {
				f.corrupt(&part)
			}
			return part, nil
		},
		Close: func() { once.Do(func() { f.closed <- struct{}{} }) },
	}
}

// part returns one token at a time and then the end.
func (f *fakeHandlers) part(next id.TokenIndex) answer.Part {
	if int(next) < len(f.tokens) {
		return answer.Part{First: next, Tokens: f.tokens[next : next+1]}
	}
	return answer.Part{First: next, Finish: &generation.Finish{
		Reason:       generation.Stop,
		TokenCount:   id.TokenIndex(len(f.tokens)),
		Checksum:     generation.ChecksumOf(f.tokens),
		PromptTokens: 5,
	}}
}

func testConfig() caller.Config {
	var cfg caller.Config
	cfg.SetDefaults()
	return cfg
}

// startServer starts a server from NewServer that uses f.
func startServer(t testing.TB, cfg caller.Config, f *fakeHandlers) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config = caller.NewServer(cfg, f.handlers(), caller.Dependencies{
		Metrics: metrics.NewRegistry(),
		NewSeed: func() int64 { return 42 },
	})
	server.Start()
	t.Cleanup(server.Close)
	return server
}
