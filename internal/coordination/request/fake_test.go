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

// expected returns the answer that the fake engines give to a prompt.
func expected(version id.Version, prompt string, n int) []generation.Token {
	out := make([]generation.Token, n)
	for i := range out {
		sum := id.FingerprintOf(string(version), prompt, strconv.Itoa(i))
		out[i] = generation.Token{ID: uint32(sum), Text: " " + sum.String()[:4]}
	}
	return out
}

// script says what an attempt at a fake target does.
type script struct {
	// refuse is the kind of a refusal before the first token.
	refuse request.Kind
	// dieAfter cuts the stream after so many tokens; negative never does.
	dieAfter int
	// stallAfter stops the tokens without an end; negative never does.
	stallAfter int
	// garble changes the token at that index of the answer; negative never does.
	garble int
}

var healthy = script{dieAfter: -1, stallAfter: -1, garble: -1}

// fakeTargets is the target processes that a desk reaches.
type fakeTargets struct {
	mu      sync.Mutex
	reports []member.TargetReport
	// scripts are used up attempt by attempt; then all are healthy.
	scripts []script
	starts  []request.StartRequest
	cancels int
	held    []request.FoundAttempt
	// gate is read before each token when it is set.
	gate chan struct{}
	// patience is how long a stream may stand still.
	patience time.Duration
	// computed counts the tokens that were generated.
	computed int
}

func newTargets(n int) *fakeTargets {
	f := &fakeTargets{patience: stallLimit}
	for i := range n {
		name := id.Target("t" + strconv.Itoa(i))
		f.reports = append(f.reports, member.TargetReport{
			Target: name, Address: "127.0.0.1:1", Model: "report", Version: "v1", State: member.Ready,
		})
	}
	return f
}

func (f *fakeTargets) link() request.TargetClient {
	return request.TargetClient{Start: f.start, Adopt: f.adopt, Find: f.find, Cancel: f.cancel}
}

func (f *fakeTargets) start(ctx context.Context, t *member.TargetReport, s request.StartRequest) (*request.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, s)
	if len(s.Prefix) >= s.Spec.MaxTokens {
		return nil, fault.New("fake.start", request.Invalid, "nothing is left to generate")
	}
	play := healthy
	if len(f.scripts) > 0 {
		play, f.scripts = f.scripts[0], f.scripts[1:]
	}
	if play.refuse != "" {
		return nil, fault.New("fake.start", play.refuse, "scripted")
	}
	return f.stream(ctx, play, s.Attempt, expected(t.Version, s.Spec.Prompt, s.Spec.MaxTokens), len(s.Prefix)), nil
}

// stream plays a script over the tokens of an answer, one a frame.
func (f *fakeTargets) stream(ctx context.Context, play script, attempt id.Attempt, tokens []generation.Token, next int) *request.Stream {
	ctx, cancel := context.WithCancel(ctx)
	sent := 0
	step := func() (request.Frame, error) {
		switch {
		case sent == play.dieAfter:
			return request.Frame{}, fault.Wrap("fake.next", request.Lost, io.ErrUnexpectedEOF)
		case sent == play.stallAfter:
			<-ctx.Done()
			return request.Frame{}, fault.Wrap("fake.next", request.Lost, ctx.Err())
		case next == len(tokens):
			return request.Frame{Attempt: attempt, Finish: &generation.Finish{
				Reason: generation.Length, TokenCount: id.TokenIndex(len(tokens)), Checksum: generation.ChecksumOf(tokens),
			}}, nil
		}
		if f.gate != nil {
			select {
			case <-f.gate:
			case <-ctx.Done():
				return request.Frame{}, fault.Wrap("fake.next", request.Lost, ctx.Err())
			}
		}
		token := tokens[next]
		if next == play.garble {
			token.Text = "?"
		}
		frame := request.Frame{Attempt: attempt, First: id.TokenIndex(next), Tokens: []generation.Token{token}}
		next++
		sent++
		f.mu.Lock()
		f.computed++
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

// policy goes through the targets in turn and holds when there is none.
func (f *fakeTargets) policy() request.Policy {
	return request.Policy{
		Route: func(p request.RouteRequest, _ time.Time) request.Choice {
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.reports) == 0 {
				return request.Choice{Action: request.GiveUp, Reason: "noTarget", Wait: time.Second}
			}
			t := f.reports[len(p.Losses)%len(f.reports)]
			if t.Version != p.Spec.Version && p.MayRestart {
				return request.Choice{Action: request.Restart, Target: t, Reason: "otherVersion"}
			}
			if t.Version != p.Spec.Version {
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
					limit := last.Add(f.patience)
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

// stallLimit is when the fake policy takes a stream for stalled.
const stallLimit = 5 * time.Second

// alone is the view of the only entry.
func alone(self id.Entry) request.Peers {
	return request.Peers{
		Live:              func() []id.Entry { return []id.Entry{self} },
		PreviousOwner:     func(id.Request) (id.Entry, bool) { return self, true },
		ReportUnreachable: func(id.Entry) {},
	}
}

func openGate() request.AdmissionControl {
	snapshot := conf.Empty()
	snapshot.Contracts = map[id.Contract]*contract.Contract{"stapler": customer("stapler"), "belediye": customer("belediye")}
	return request.AdmissionControl{
		Admit: func(*contract.Contract, int) (request.Ticket, *answer.Refusal) {
			return request.Ticket{Done: func(int) {}}, nil
		},
		CheckQuarantine: func(*generation.Spec) *answer.Refusal { return nil },
		Conf:            func() *conf.Snapshot { return snapshot },
	}
}

func customer(name id.Contract) *contract.Contract {
	c := &contract.Contract{Name: name, Models: []id.Model{"report"}, Keys: []contract.KeyHash{contract.HashKey(string(name))}}
	c.SetDefaults()
	return c
}

// newDesk returns a desk over fake targets.
func newDesk(t *testing.T, f *fakeTargets, clock clockwork.Clock, peers request.Peers) *request.Coordinator {
	t.Helper()
	cfg := request.Config{Self: "e1", Clock: clock, Log: event.NewLogfmtLog(io.Discard, clock), MaxRetainedTokens: 1 << 20}
	d := request.NewCoordinator(cfg, f.link(), peers, f.policy(), openGate())
	t.Cleanup(d.Close)
	return d
}

func ask(name id.Contract, key, prompt string, n int) answer.GenerationRequest {
	return answer.GenerationRequest{Contract: customer(name), Key: key, Spec: generation.Spec{Model: "report", Prompt: prompt, MaxTokens: n}}
}

// readAll reads an answer to its end.
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
