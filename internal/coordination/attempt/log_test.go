package attempt_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/attempt"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

func tokenAt(i int) generation.Token {
	return generation.Token{ID: uint32(1000 + i), Text: fmt.Sprintf("t%d ", i)}
}

// TestLog compares a log with a slice of the same tokens.
func TestLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log attempt.Log
		var plain []generation.Token
		texts := rapid.SliceOfN(rapid.StringN(0, 40, 80), 0, 300).Draw(t, "texts")
		for i, text := range texts {
			token := generation.Token{ID: uint32(i * 7), Text: text}
			log.Append(token)
			plain = append(plain, token)
		}
		if int(log.Len()) != len(plain) || log.Checksum() != generation.ChecksumOf(plain) {
			t.Fatalf("length is %d, want %d, or the checksum differs", log.Len(), len(plain))
		}
		from := rapid.IntRange(0, len(plain)).Draw(t, "from")
		size := rapid.IntRange(1, 100).Draw(t, "size")
		got := log.Read(id.TokenIndex(from), make([]generation.Token, 0, size))
		want := plain[from:min(len(plain), from+size)]
		if len(got) != len(want) {
			t.Fatalf("read %d tokens, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("token %d is %v, want %v", from+i, got[i], want[i])
			}
		}
	})
}

// TestLogTextUnchanged checks that the text of a token that was read does not
// change while its page grows.
func TestLogTextUnchanged(t *testing.T) {
	is := is.New(t)
	var log attempt.Log
	log.Append(tokenAt(0))
	early := log.Read(0, make([]generation.Token, 0, 1))[0]
	for i := 1; i < 1000; i++ {
		log.Append(tokenAt(i))
	}
	is.Equal(early, tokenAt(0))
}

// TestLogCost checks the limits of a log's memory and allocations. A token of n
// bytes of text needs 8 bytes of numbers, its text, at most n more bytes of
// spare capacity after the text buffer has grown, and its share of a page.
func TestLogCost(t *testing.T) {
	is := is.New(t)
	var log attempt.Log
	const tokens = 4000
	text := 0
	for i := range tokens {
		log.Append(tokenAt(i))
		text += len(tokenAt(i).Text)
	}
	const pages = tokens/64 + 1
	is.True(log.Bytes() <= tokens*8+2*text+pages*(64*8+512))
	token := generation.Token{ID: 1, Text: "abcd "}
	var other attempt.Log
	allocs := testing.AllocsPerRun(tokens, func() { other.Append(token) })
	is.True(allocs <= 0.1) // a page needs a few allocations for 64 tokens
	buf := make([]generation.Token, 0, 64)
	is.Equal(testing.AllocsPerRun(100, func() { log.Read(100, buf) }), 0.0)
}

func BenchmarkLogAppend(b *testing.B) {
	b.ReportAllocs()
	token := generation.Token{ID: 1, Text: "abcd "}
	log := &attempt.Log{}
	for i := range b.N {
		if i%4000 == 0 {
			log = &attempt.Log{}
		}
		log.Append(token)
	}
	b.ReportMetric(float64(log.Bytes())/float64(max(1, log.Len())), "logB/token")
}
