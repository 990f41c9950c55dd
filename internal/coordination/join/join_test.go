package join_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/join"
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
		Reason:   generation.Stop,
		Count:    id.Index(len(tokens)),
		Checksum: generation.ChecksumOf(tokens),
	}
}

func TestJoinerTokens(t *testing.T) {
	all := text(10)
	wrong := []generation.Token{{ID: 99}}
	tests := []struct {
		name    string
		attempt id.Attempt
		first   id.Index
		tokens  []generation.Token
		want    join.Verdict
		fresh   int
	}{
		{"next", 2, 4, all[4:6], join.Accepted, 2},
		{"overlap is cut", 2, 2, all[2:6], join.Accepted, 2},
		{"duplicate", 2, 1, all[1:4], join.Duplicate, 0},
		{"empty", 2, 4, nil, join.Duplicate, 0},
		{"gap", 2, 5, all[5:6], join.Gap, 0},
		{"gap at the largest index", 2, 1<<32 - 1, all[:2], join.Gap, 0},
		{"older attempt", 1, 4, all[4:6], join.Fenced, 0},
		{"attempt that never began", 3, 4, all[4:6], join.Fenced, 0},
		{"no attempt", 0, 4, all[4:6], join.Fenced, 0},
		{"overlap differs", 2, 3, wrong, join.Mismatch, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := join.New()
			is.True(j.Begin(1))
			_, v := j.Tokens(1, 0, all[:4])
			is.Equal(v, join.Accepted)
			is.True(j.Begin(2))
			fresh, v := j.Tokens(tt.attempt, tt.first, tt.tokens)
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
		want    join.Verdict
	}{
		{"whole", 2, end(all), join.Accepted},
		{"older attempt", 1, end(all), join.Fenced},
		{"tokens missing", 2, end(text(6)), join.Gap},
		{"too few tokens", 2, end(all[:4]), join.Mismatch},
		{"other checksum", 2, generation.Finish{Reason: generation.Stop, Count: 5}, join.Mismatch},
		{"no reason", 2, generation.Finish{Count: 5, Checksum: generation.ChecksumOf(all)}, join.Mismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := join.New()
			j.Begin(2)
			j.Tokens(2, 0, all)
			is.Equal(j.Finish(tt.attempt, tt.finish), tt.want)
			is.Equal(j.Finished() != nil, tt.want == join.Accepted)
			if j.Finished() == nil {
				return
			}
			is.Equal(j.Finish(2, tt.finish), join.Duplicate)
			_, v := j.Tokens(2, 5, all[:1])
			is.Equal(v, join.Closed)
			is.True(!j.Begin(3))
			is.True(!j.Restart())
		})
	}
}

func TestJoinerRace(t *testing.T) {
	all := text(6)
	for winner := id.Attempt(1); winner <= 2; winner++ {
		is := is.New(t)
		j := join.New()
		is.True(!j.Race(2)) // there is nothing to race
		j.Begin(1)
		j.Tokens(1, 0, all[:3])
		is.True(j.Race(2))
		is.True(!j.Race(3)) // two attempts at once are the most
		_, v := j.Tokens(2, 2, all[2:3])
		is.Equal(v, join.Duplicate) // a duplicate settles nothing
		_, v = j.Tokens(winner, 3, all[3:5])
		is.Equal(v, join.Accepted)
		_, v = j.Tokens(3-winner, 3, all[3:6])
		is.Equal(v, join.Fenced)
		is.Equal(j.Current(), winner)
	}
	is := is.New(t)
	j := join.New()
	j.Begin(1)
	j.Race(2)
	j.Drop(1)
	_, v := j.Tokens(2, 0, all[:1])
	is.Equal(v, join.Accepted) // the racer goes on alone when the other died
}

func TestJoinerRestart(t *testing.T) {
	is := is.New(t)
	all := text(4)
	j := join.New()
	j.Begin(1)
	old, _ := j.Tokens(1, 0, all)
	is.True(j.Restart()) // nobody saw the text
	_, v := j.Tokens(1, 0, all)
	is.Equal(v, join.Fenced) // tokens of the dropped text are not mixed in
	is.True(!j.Begin(1))
	is.True(j.Begin(2))
	j.Tokens(2, 0, []generation.Token{{ID: 50}})
	is.Equal(old, all) // readers of the old text keep it
	j.Saw()
	is.True(!j.Restart())
	is.Equal(j.Next(), id.Index(1))
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
		j := join.New()
		j.Begin(1)
		for i := range all {
			j.Tokens(1, id.Index(i), all[i:i+1])
		}
	})
	is.True(got <= 25)
}
