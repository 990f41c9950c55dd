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

// TestDrainCutsNothing holds that a stopping process waits however long, takes
// no new attempt, and says what it waits for.
func TestDrainCutsNothing(t *testing.T) {
	is := is.New(t)
	steps := make(chan struct{})
	e := newFakeEngine(t, steps)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	stream := b.run(t.Context(), start(1, 1, testSpec(10)))
	steps <- struct{}{}
	got := until(t, stream, 1)
	b.stop()
	b.eventually(func() bool { return b.process.Report().State == member.Leaving })
	other := testSpec(10)
	other.Request = "ans-00000000-ff"
	is.Equal(all(t, b.run(t.Context(), start(1, 1, other))).refused.Kind, "leaving")
	for range 60 {
		b.advance(time.Minute)
	}
	is.Equal(len(b.process.Pending()), 1)
	is.True(strings.HasPrefix(b.process.Pending()[0], testRequest+" attempt 1 (running, 1 tokens"))
	close(steps)
	for more := true; more; {
		more = got.next(t, stream)
	}
	is.Equal(got.tokens, tokensTo(10))
	is.Equal(got.finish.Count, uint32(10))
	is.Equal(got.loads[len(got.loads)-1].State, "leaving")
	is.NoErr(b.ended())
}

// TestDrainAfterEnd holds that what was read to its end is not waited for.
func TestDrainAfterEnd(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, nil)
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	stream := b.run(t.Context(), start(1, 1, testSpec(10)))
	all(t, stream)
	b.stop()
	is.NoErr(b.ended())
}

// TestDrainLingers holds that a process without work still refuses with proof
// for a while.
func TestDrainLingers(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, nil)
	b := newBench(t, serviceSettings(s.URL), target.Deps{Linger: 3 * time.Second})
	b.stop()
	b.eventually(func() bool { return b.process.Report().State == member.Leaving })
	b.advance(2900 * time.Millisecond)
	is.Equal(b.call(t.Context(), nil), "notRun")
	is.NoErr(b.ended())
	is.Equal(s.runs.Load(), int64(0))
}

func TestCut(t *testing.T) {
	is := is.New(t)
	e := newFakeEngine(t, make(chan struct{}))
	b := newBench(t, engineSettings(e.URL), target.Deps{})
	stream := b.run(t.Context(), start(1, 1, testSpec(10)))
	b.eventually(func() bool { return e.starts.Load() == 1 })
	b.stop()
	b.eventually(func() bool { return b.process.Report().State == member.Leaving })
	names := b.process.Abort()
	is.Equal(len(names), 1)
	is.True(strings.Contains(names[0], testRequest)) // what is lost has a name
	got := all(t, stream)
	is.Equal(got.refused.Kind, "failed") // and its reader is told
	is.True(got.refused.Started)
	err := b.ended()
	is.True(fault.Is(err, target.WorkAborted))
	is.True(strings.Contains(err.Error(), testRequest))
	is.Equal(e.cancelled.Load(), int64(1))
}
