package request_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/coordination/request"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TestResumeAfterRace checks that the caller continues with the winner's text
// when the owner is lost after two attempts raced. The loser has the higher
// attempt number and a different text.
func TestResumeAfterRace(t *testing.T) {
	is := is.New(t)
	winner := expected("v1", "p", answerTokens)
	loser := append(append([]generation.Token{}, winner[:5]...), expected("v1", "another", 3)...)
	cases := map[string]struct {
		from  id.TokenIndex
		fails bool
		loser []generation.Token
	}{
		"loser is shorter":               {9, false, loser},
		"caller saw the common part":     {5, false, loser},
		"loser is as long":               {7, true, loser},
		"loser has the common part":      {5, false, loser[:5]},
		"winner alone has what was read": {8, true, loser},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeTargets(2)
			r := id.NewRequest("e0")
			spec := &generation.Spec{
				Request: r, Contract: "stapler", Model: "report", Version: "v1", Lineage: "l1",
				Prompt: "p", MaxTokens: answerTokens,
			}
			f.held = []request.FoundAttempt{
				{Target: f.reports[0], Spec: spec, Epoch: 1, Attempt: 3, Running: true, Tokens: winner[:12]},
				{Target: f.reports[1], Spec: spec, Epoch: 1, Attempt: 4, Tokens: c.loser},
			}
			peers := soloPeers("e1")
			peers.PreviousOwner = func(id.Request) (id.Entry, bool) { return "e0", false }
			co := newCoordinator(t, f, clockwork.NewRealClock(), peers)
			reader, err := co.Resume(t.Context(), answer.ResumeRequest{
				Contract: testContract("stapler"), Request: r, Lineage: "l1", From: c.from,
			})
			if c.fails {
				is.Equal(wantRefusal(t, err).Cause, answer.CauseLost) // the texts are never mixed
				return
			}
			is.NoErr(err)
			got, err := readAll(t.Context(), reader)
			is.NoErr(err)
			is.Equal(got, winner[c.from:])
		})
	}
	_ = is
}
