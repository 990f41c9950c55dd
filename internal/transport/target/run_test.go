package target_test

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/transport/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRunWhole(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	got := all(t, b.run(t.Context(), start(1, 1, testSpec(300))))
	is.True(errors.Is(got.err, io.EOF))     // the stream ends well
	is.Equal(got.accepted.Lineage, "l1")    // the attempt was accepted first
	is.Equal(got.tokens, tokensTo(300))     // no token is missing or repeated
	is.Equal(got.finish.Count, uint32(300)) // the end covers all tokens
	is.Equal(got.finish.Reason, "length")
	is.Equal(got.finish.Checksum, uint64(generation.ChecksumOf(tokensTo(300))))
	is.Equal(got.finish.Prefilled, uint32(3)) // 5 prompt tokens, 2 of them cached
	is.Equal(got.finish.Decoded, uint32(300))
	is.True(len(got.loads) >= 2) // at the start and at the end
	is.Equal(got.loads[len(got.loads)-1].Running, uint32(0))
}
