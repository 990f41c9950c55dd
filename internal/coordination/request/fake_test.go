package request_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// expected returns the tokens that the fake engines generate for a prompt.
func expected(version id.Version, prompt string, n int) []generation.Token {
	out := make([]generation.Token, n)
	for i := range out {
		sum := id.FingerprintOf(string(version), prompt, strconv.Itoa(i))
		out[i] = generation.Token{ID: uint32(sum), Text: " " + sum.String()[:4]}
	}
	return out
}

// script defines the behaviour of an attempt at a fake target.
type script struct {
	// refuse is the kind of error with which the attempt is refused, if any.
	refuse request.Kind
	// disconnectAfter breaks the stream after this many tokens, if not negative.
	disconnectAfter int
	// stallAfter stalls the stream after this many tokens, if not negative.
	stallAfter int
	// corruptAt changes the token at this index of the answer, if not negative.
	corruptAt int
}

var healthy = script{disconnectAfter: -1, stallAfter: -1, corruptAt: -1}

// fakeTargets simulates the target processes that a coordinator calls.
type fakeTargets struct {
	mu      sync.Mutex
	reports []member.TargetReport
	// scripts are used for the first attempts, one each; later attempts are healthy.
	scripts []script
	starts  []request.StartRequest
	cancels int
	held    []request.FoundAttempt
	// tokenPermits, if set, must deliver a value before each token is sent.
	tokenPermits chan struct{}
	// stallTimeout is how long a stream may deliver no token.
	stallTimeout time.Duration
	// generated counts the generated tokens.
	generated int
}

func newFakeTargets(n int) *fakeTargets {
	f := &fakeTargets{stallTimeout: defaultStallTimeout}
	for i := range n {
		name := id.Target("t" + strconv.Itoa(i))
		f.reports = append(f.reports, member.TargetReport{
			Target: name, Address: "127.0.0.1:1", Model: "report", Version: "v1", State: member.Ready,
		})
	}
	return f
}

func (f *fakeTargets) client() request.TargetClient {
	return request.TargetClient{Start: f.start, Adopt: f.adopt, Find: f.find, Cancel: f.cancel}
}

func (f *fakeTargets) start(ctx context.Context, t *member.TargetReport, s request.StartRequest) (*request.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, s)
	if len(s.Prefix) >= s.Spec.MaxTokens {
		return nil, fault.New("fake.start", request.Invalid, "nothing is left to generate")
	}
	behaviour := healthy
	if len(f.scripts) > 0 {
		behaviour, f.scripts = f.scripts[0], f.scripts[1:]
	}
	if behaviour.refuse != "" {
		return nil, fault.New("fake.start", behaviour.refuse, "scripted")
	}
	return f.stream(ctx, behaviour, s.Attempt, expected(t.Version, s.Spec.Prompt, s.Spec.MaxTokens), len(s.Prefix)), nil
}

// stream returns a stream that follows a script and sends the tokens of an answer
// from index next on, one per frame.
func (f *fakeTargets) stream(ctx context.Context, behaviour script, attempt id.Attempt, tokens []generation.Token, next int) *request.Stream {
	ctx, cancel := context.WithCancel(ctx)
	sent := 0
	step := func() (request.Frame, error) {
		switch {
		case sent == behaviour.disconnectAfter:
			return request.Frame{}, fault.Wrap("fake.next", request.Lost, io.ErrUnexpectedEOF)
		case sent == behaviour.stallAfter:
			<-ctx.Done()
			return request.Frame{}, fault.Wrap("fake.next", request.Lost, ctx.Err())
		case next == len(tokens):
			return request.Frame{Attempt: attempt, Finish: &generation.Finish{
				Reason: generation.Length, TokenCount: id.TokenIndex(len(tokens)), Checksum: generation.ChecksumOf(tokens),
			}}, nil
		}
		if f.tokenPermits != nil {
			select {
			case <-f.tokenPermits:
			case <-ctx.Done():
				return request.Frame{}, fault.Wrap("fake.next", request.Lost, ctx.Err())
			}
		}
		token := tokens[next]
		if next == behaviour.corruptAt {
			token.Text = "?"
		}
		frame := request.Frame{Attempt: attempt, First: id.TokenIndex(next), Tokens: []generation.Token{token}}
		next++
		sent++
		f.mu.Lock()
		f.generated++
		f.mu.Unlock()
		return frame, nil
	}
	return &request.Stream{Next: step, Close: cancel}
}

func (f *fakeTargets) adopt(ctx context.Context, _ *member.TargetReport, a request.AdoptRequest) (*request.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.held {
		if h.Attempt == a.Attempt {
			all := expected(h.Spec.Version, h.Spec.Prompt, h.Spec.MaxTokens)
			return f.stream(ctx, healthy, a.Attempt, all, int(a.From)), nil
		}
	}
	return nil, fault.New("fake.adopt", request.UnknownAttempt, "not held")
}

func (f *fakeTargets) find(_ context.Context, t *member.TargetReport, r id.Request, _ id.Epoch) ([]request.FoundAttempt, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []request.FoundAttempt
	for _, h := range f.held {
		if h.Target.Target == t.Target && h.Spec.Request == r {
			out = append(out, h)
		}
	}
	return out, nil
}

func (f *fakeTargets) cancel(context.Context, *member.TargetReport, id.Request, id.Epoch, id.Attempt) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels++
	return nil
}

// policy returns a policy that chooses the targets in turn and gives up when
// there are none.
func (f *fakeTargets) policy() request.Policy {
	return request.Policy{
		Route: func(req request.RouteRequest, _ time.Time) request.Choice {
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.reports) == 0 {
				return request.Choice{Action: request.GiveUp, Reason: "noTarget", Wait: time.Second}
			}
			t := f.reports[len(req.Losses)%len(f.reports)]
			if t.Version != req.Spec.Version && req.MayRestart {
				return request.Choice{Action: request.Restart, Target: t, Reason: "otherVersion"}
			}
			if t.Version != req.Spec.Version {
				return request.Choice{Action: request.GiveUp, Reason: "noVersion"}
			}
			return request.Choice{Action: request.Dispatch, Target: t, Reason: "inTurn"}
		},
		AttemptStarted: func(*member.TargetReport, *generation.Spec) func(request.Usage) { return func(request.Usage) {} },
		NewStallDetector: func(_ *member.TargetReport, _ *generation.Spec, _ id.TokenIndex, start time.Time) request.StallDetector {
			last := start
			return request.StallDetector{
				TokensReceived: func(now time.Time, _ int) { last = now },
				Check: func(now time.Time) (bool, time.Time) {
					limit := last.Add(f.stallTimeout)
					return !now.Before(limit), limit
				},
			}
		},
		RequestEnded: func(*generation.Spec, bool) {},
		Candidates: func([]id.Model) []member.TargetReport {
			f.mu.Lock()
			defer f.mu.Unlock()
			return append([]member.TargetReport(nil), f.reports...)
		},
	}
}

// defaultStallTimeout is the stall timeout of the fake policy.
const defaultStallTimeout = 5 * time.Second

// soloPeers returns the peers of the only entry.
func soloPeers(self id.Entry) request.Peers {
	return request.Peers{
		Live:              func() []id.Entry { return []id.Entry{self} },
		PreviousOwner:     func(id.Request) (id.Entry, bool) { return self, true },
		ReportUnreachable: func(id.Entry) {},
	}
}

func openAdmission() request.AdmissionControl {
	snapshot := conf.Empty()
	snapshot.Contracts = map[id.Contract]*contract.Contract{"stapler": testContract("stapler"), "belediye": testContract("belediye")}
	return request.AdmissionControl{
		Admit: func(*contract.Contract, int) (request.Ticket, *answer.Refusal) {
			return request.Ticket{Done: func(int) {}}, nil
		},
		CheckQuarantine: func(*generation.Spec) *answer.Refusal { return nil },
		Conf:            func() *conf.Snapshot { return snapshot },
	}
}

func testContract(name id.Contract) *contract.Contract {
	c := &contract.Contract{Name: name, Models: []id.Model{"report"}, Keys: []contract.KeyHash{contract.HashKey(string(name))}}
	c.SetDefaults()
	return c
}

// newCoordinator returns a coordinator with fake targets.
func newCoordinator(t *testing.T, f *fakeTargets, clock clockwork.Clock, peers request.Peers) *request.Coordinator {
	t.Helper()
	cfg := request.Config{Self: "e1", Clock: clock, Log: event.NewLogfmtLog(io.Discard, clock), MaxRetainedTokens: 1 << 20}
	co := request.NewCoordinator(cfg, f.client(), peers, f.policy(), openAdmission())
	t.Cleanup(co.Close)
	return co
}

func newRequest(name id.Contract, key, prompt string, n int) answer.GenerationRequest {
	return answer.GenerationRequest{Contract: testContract(name), Key: key, Spec: generation.Spec{Model: "report", Prompt: prompt, MaxTokens: n}}
}

// readAll reads the rest of an answer.
func readAll(ctx context.Context, r *answer.Reader) ([]generation.Token, error) {
	defer r.Close()
	var out []generation.Token
	lineage := r.Lineage
	for {
		part, err := r.Next(ctx)
		if err != nil {
			return out, err
		}
		if part.Lineage != lineage {
			out, lineage = nil, part.Lineage
		}
		out = append(out, part.Tokens...)
		if part.Finish != nil {
			return out, nil
		}
	}
}
