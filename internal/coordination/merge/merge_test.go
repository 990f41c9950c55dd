package merge_test

import (
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// text returns the n tokens of the answer that every correct attempt generates.
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

func TestMergerTokens(t *testing.T) {
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
		{"overlap is skipped", 2, 2, all[2:6], merge.Accepted, 2},
		{"duplicate", 2, 1, all[1:4], merge.Duplicate, 0},
		{"empty", 2, 4, nil, merge.Duplicate, 0},
		{"gap", 2, 5, all[5:6], merge.Gap, 0},
		{"gap at the largest index", 2, 1<<32 - 1, all[:2], merge.Gap, 0},
		{"older attempt", 1, 4, all[4:6], merge.Fenced, 0},
		{"attempt that was not begun", 3, 4, all[4:6], merge.Fenced, 0},
		{"no attempt", 0, 4, all[4:6], merge.Fenced, 0},
		{"overlap differs", 2, 3, wrong, merge.Mismatch, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := merge.New()
			is.True(m.Begin(1))
			_, v := m.AddTokens(1, 0, all[:4])
			is.Equal(v, merge.Accepted)
			is.True(m.Begin(2))
			fresh, v := m.AddTokens(tt.attempt, tt.first, tt.tokens)
			is.Equal(v, tt.want)
			is.Equal(len(fresh), tt.fresh)
			is.Equal(m.Log(), all[:4+tt.fresh])
			is.Equal(m.Checksum(), generation.ChecksumOf(m.Log()))
		})
	}
}

func TestMergerFinish(t *testing.T) {
	all := text(5)
	tests := []struct {
		name    string
		attempt id.Attempt
		finish  generation.Finish
		want    merge.Verdict
	}{
		{"complete", 2, end(all), merge.Accepted},
		{"older attempt", 1, end(all), merge.Fenced},
		{"tokens missing", 2, end(text(6)), merge.Gap},
		{"too few tokens", 2, end(all[:4]), merge.Mismatch},
		{"other checksum", 2, generation.Finish{Reason: generation.Stop, TokenCount: 5}, merge.Mismatch},
		{"no reason", 2, generation.Finish{TokenCount: 5, Checksum: generation.ChecksumOf(all)}, merge.Mismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := merge.New()
			m.Begin(2)
			m.AddTokens(2, 0, all)
			is.Equal(m.Finish(tt.attempt, tt.finish), tt.want)
			is.Equal(m.Finished() != nil, tt.want == merge.Accepted)
			if m.Finished() == nil {
				return
			}
			is.Equal(m.Finish(2, tt.finish), merge.Duplicate)
			_, v := m.AddTokens(2, 5, all[:1])
			is.Equal(v, merge.Closed)
			is.True(!m.Begin(3))
			is.True(!m.Restart())
		})
	}
}

func TestMergerRace(t *testing.T) {
	all := text(6)
	for winner := id.Attempt(1); winner <= 2; winner++ {
		is := is.New(t)
		m := merge.New()
		is.True(!m.BeginRace(2)) // there is no current attempt to race
		m.Begin(1)
		m.AddTokens(1, 0, all[:3])
		is.True(m.BeginRace(2))
		is.True(!m.BeginRace(3)) // at most two attempts may race
		_, v := m.AddTokens(2, 2, all[2:3])
		is.Equal(v, merge.Duplicate) // a duplicate does not end the race
		_, v = m.AddTokens(winner, 3, all[3:5])
		is.Equal(v, merge.Accepted)
		_, v = m.AddTokens(3-winner, 3, all[3:6])
		is.Equal(v, merge.Fenced)
		is.Equal(m.CurrentAttempt(), winner)
	}
	is := is.New(t)
	m := merge.New()
	m.Begin(1)
	m.BeginRace(2)
	m.Drop(1)
	_, v := m.AddTokens(2, 0, all[:1])
	is.Equal(v, merge.Accepted) // the racing attempt continues when the other one is dropped
}

func TestMergerRestart(t *testing.T) {
	is := is.New(t)
	all := text(4)
	m := merge.New()
	m.Begin(1)
	old, _ := m.AddTokens(1, 0, all)
	is.True(m.Restart()) // no caller has received the text
	_, v := m.AddTokens(1, 0, all)
	is.Equal(v, merge.Fenced) // tokens of the discarded text are not mixed in
	is.True(!m.Begin(1))
	is.True(m.Begin(2))
	m.AddTokens(2, 0, []generation.Token{{ID: 50}})
	is.Equal(old, all) // the old text stays valid for its readers
	m.MarkDelivered()
	is.True(!m.Restart())
	is.Equal(m.NextIndex(), id.TokenIndex(1))
	m.AllowRestart()
	is.True(m.Restart())
	is.Equal(m.Restarts(), 2)
	is.Equal(m.Checksum(), generation.Checksum(0))
}

// TestMergerAllocations checks that adding tokens allocates only when the log
// grows. The log grows geometrically, so 4,000 tokens need at most 24 steps of
// growth.
func TestMergerAllocations(t *testing.T) {
	is := is.New(t)
	all := text(4000)
	got := testing.AllocsPerRun(10, func() {
		m := merge.New()
		m.Begin(1)
		for i := range all {
			m.AddTokens(1, id.TokenIndex(i), all[i:i+1])
		}
	})
	is.True(got <= 25)
}
