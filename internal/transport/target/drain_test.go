package target_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// TestDrainWaitsForAttempt checks that a draining process waits for a running
// attempt however long it takes, refuses new attempts, and reports what it
// waits for.
func TestDrainWaitsForAttempt(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	stream := h.run(t.Context(), start(1, 1, testSpec(10)))
	steps <- struct{}{}
	got := readUntil(t, stream, 1)
	h.stop()
	h.eventually(func() bool { return h.process.Report().State == member.Leaving })
	other := testSpec(10)
	other.Request = "ans-00000000-ff"
	is.Equal(readAll(t, h.run(t.Context(), start(1, 1, other))).refused.Kind, "leaving")
	for range 60 {
		h.advance(time.Minute)
	}
	is.Equal(len(h.process.Pending()), 1)
	is.True(strings.HasPrefix(h.process.Pending()[0], testRequest+" attempt 1 (running, 1 tokens"))
	close(steps)
	for more := true; more; {
		more = got.next(t, stream)
	}
	is.Equal(got.tokens, tokensTo(10))
	is.Equal(got.finish.Count, uint32(10))
	is.Equal(got.loads[len(got.loads)-1].State, "leaving")
	is.NoErr(h.waitEnd())
}

// TestDrainIgnoresReadAttempt checks that a drain does not wait for an
// attempt that was read to its end.
func TestDrainIgnoresReadAttempt(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	stream := h.run(t.Context(), start(1, 1, testSpec(10)))
	readAll(t, stream)
	h.stop()
	is.NoErr(h.waitEnd())
}

// TestDrainLingers checks that for the linger time a process without work
// still refuses calls with an answer that proves they were not run.
func TestDrainLingers(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, nil)
	h := newHarness(t, serviceSettings(s.URL), target.Deps{Linger: 3 * time.Second})
	h.stop()
	h.eventually(func() bool { return h.process.Report().State == member.Leaving })
	h.advance(2900 * time.Millisecond)
	is.Equal(h.call(t.Context(), nil), "notRun")
	is.NoErr(h.waitEnd())
	is.Equal(s.runs.Load(), int64(0))
}

func TestAbort(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, make(chan struct{}))
	h := newHarness(t, engineSettings(e.URL), target.Deps{})
	stream := h.run(t.Context(), start(1, 1, testSpec(10)))
	h.eventually(func() bool { return e.starts.Load() == 1 })
	h.stop()
	h.eventually(func() bool { return h.process.Report().State == member.Leaving })
	names := h.process.Abort()
	is.Equal(len(names), 1)
	is.True(strings.Contains(names[0], testRequest)) // the lost work is listed
	got := readAll(t, stream)
	is.Equal(got.refused.Kind, "failed") // the reader gets a refusal
	is.True(got.refused.Started)
	err := h.waitEnd()
	is.True(fault.Is(err, target.WorkAborted))
	is.True(strings.Contains(err.Error(), testRequest))
	h.eventually(func() bool { return e.cancelled.Load() == 1 })
}
