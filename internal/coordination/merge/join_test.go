package merge_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// text returns the n tokens of the answer that every right attempt gives.
func text(n int) []generation.Token {
	out := make([]generation.Token, n)
	for i := range out {
		out[i] = generation.Token{ID: uint32(i*7 + 1), Text: "t"}
	}
	return out
}

func end(tokens []generation.Token) generation.Finish {
	return generation.Finish{
		Reason:     generation.Stop,
		TokenCount: id.TokenIndex(len(tokens)),
		Checksum:   generation.ChecksumOf(tokens),
	}
}

func TestJoinerTokens(t *testing.T) {
	all := text(10)
	wrong := []generation.Token{{ID: 99}}
	tests := []struct {
		name    string
		attempt id.Attempt
		first   id.TokenIndex
		tokens  []generation.Token
		want    merge.Verdict
		fresh   int
	}{
		{"next", 2, 4, all[4:6], merge.Accepted, 2},
		{"overlap is cut", 2, 2, all[2:6], merge.Accepted, 2},
		{"duplicate", 2, 1, all[1:4], merge.Duplicate, 0},
		{"empty", 2, 4, nil, merge.Duplicate, 0},
		{"gap", 2, 5, all[5:6], merge.Gap, 0},
		{"gap at the largest index", 2, 1<<32 - 1, all[:2], merge.Gap, 0},
		{"older attempt", 1, 4, all[4:6], merge.Fenced, 0},
		{"attempt that never began", 3, 4, all[4:6], merge.Fenced, 0},
		{"no attempt", 0, 4, all[4:6], merge.Fenced, 0},
		{"overlap differs", 2, 3, wrong, merge.Mismatch, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := merge.New()
			is.True(j.Begin(1))
			_, v := j.AddTokens(1, 0, all[:4])
			is.Equal(v, merge.Accepted)
			is.True(j.Begin(2))
			fresh, v := j.AddTokens(tt.attempt, tt.first, tt.tokens)
			is.Equal(v, tt.want)
			is.Equal(len(fresh), tt.fresh)
			is.Equal(j.Log(), all[:4+tt.fresh])
			is.Equal(j.Checksum(), generation.ChecksumOf(j.Log()))
		})
	}
}

func TestJoinerFinish(t *testing.T) {
	all := text(5)
	tests := []struct {
		name    string
		attempt id.Attempt
		finish  generation.Finish
		want    merge.Verdict
	}{
		{"whole", 2, end(all), merge.Accepted},
		{"older attempt", 1, end(all), merge.Fenced},
		{"tokens missing", 2, end(text(6)), merge.Gap},
		{"too few tokens", 2, end(all[:4]), merge.Mismatch},
		{"other checksum", 2, generation.Finish{Reason: generation.Stop, TokenCount: 5}, merge.Mismatch},
		{"no reason", 2, generation.Finish{TokenCount: 5, Checksum: generation.ChecksumOf(all)}, merge.Mismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := merge.New()
			j.Begin(2)
			j.AddTokens(2, 0, all)
			is.Equal(j.Finish(tt.attempt, tt.finish), tt.want)
			is.Equal(j.Finished() != nil, tt.want == merge.Accepted)
			if j.Finished() == nil {
				return
			}
			is.Equal(j.Finish(2, tt.finish), merge.Duplicate)
			_, v := j.AddTokens(2, 5, all[:1])
			is.Equal(v, merge.Closed)
			is.True(!j.Begin(3))
			is.True(!j.Restart())
		})
	}
}

func TestJoinerRace(t *testing.T) {
	all := text(6)
	for winner := id.Attempt(1); winner <= 2; winner++ {
		is := is.New(t)
		j := merge.New()
		is.True(!j.BeginRace(2)) // there is nothing to race
		j.Begin(1)
		j.AddTokens(1, 0, all[:3])
		is.True(j.BeginRace(2))
		is.True(!j.BeginRace(3)) // two attempts at once are the most
		_, v := j.AddTokens(2, 2, all[2:3])
		is.Equal(v, merge.Duplicate) // a duplicate settles nothing
		_, v = j.AddTokens(winner, 3, all[3:5])
		is.Equal(v, merge.Accepted)
		_, v = j.AddTokens(3-winner, 3, all[3:6])
		is.Equal(v, merge.Fenced)
		is.Equal(j.CurrentAttempt(), winner)
	}
	is := is.New(t)
	j := merge.New()
	j.Begin(1)
	j.BeginRace(2)
	j.Drop(1)
	_, v := j.AddTokens(2, 0, all[:1])
	is.Equal(v, merge.Accepted) // the racer goes on alone when the other died
}

func TestJoinerRestart(t *testing.T) {
	is := is.New(t)
	all := text(4)
	j := merge.New()
	j.Begin(1)
	old, _ := j.AddTokens(1, 0, all)
	is.True(j.Restart()) // nobody saw the text
	_, v := j.AddTokens(1, 0, all)
	is.Equal(v, merge.Fenced) // tokens of the dropped text are not mixed in
	is.True(!j.Begin(1))
	is.True(j.Begin(2))
	j.AddTokens(2, 0, []generation.Token{{ID: 50}})
	is.Equal(old, all) // readers of the old text keep it
	j.MarkSeen()
	is.True(!j.Restart())
	is.Equal(j.NextIndex(), id.TokenIndex(1))
	j.AllowRestart()
	is.True(j.Restart())
	is.Equal(j.Restarts(), 2)
	is.Equal(j.Checksum(), generation.Checksum(0))
}

// TestJoinerAllocations holds the cost of a token to the growth of the log,
// which doubles: 4,000 tokens need at most 24 steps of growth.
func TestJoinerAllocations(t *testing.T) {
	is := is.New(t)
	all := text(4000)
	got := testing.AllocsPerRun(10, func() {
		j := merge.New()
		j.Begin(1)
		for i := range all {
			j.AddTokens(1, id.TokenIndex(i), all[i:i+1])
		}
	})
	is.True(got <= 25)
}
