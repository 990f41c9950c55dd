package engine_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/engine"
)

func TestCrashAfterTokens(t *testing.T) {
	want := engine.Expect("report", "v1", "", "Truck 14", 100)
	for _, k := range []int{0, 1, 50, 99, 100} {
		is := is.New(t)
		s := startServer(t, engine.Options{})
		s.CrashAfterTokens(k)
		got, err := complete(s.URL(), newRequest("Truck 14", 100))
		is.Equal(err, errTruncated)
		is.Equal(len(got.tokens), k) // the engine sent exactly k tokens
		for i, token := range got.tokens {
			is.Equal(token, want[i])
		}
		is.True(s.Crashed())
		_, err = openStream(s.URL(), newRequest("Truck 14", 100))
		is.True(err != nil) // the listener is closed
		is.NoErr(s.Restart())
		got, err = complete(s.URL(), newRequest("Truck 14", 100))
		is.NoErr(err)
		is.Equal(got.tokens, want)
		is.Equal(got.usage.CachedTokens, 0) // the cache was lost in the crash
	}
}

func TestCrashAfterTokensManyStreams(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	s.CrashAfterTokens(1_000)
	var total int
	var mu sync.Mutex
	var readers sync.WaitGroup
	for range 20 {
		readers.Go(func() {
			// Streams that end before the crash are complete, the others truncated.
			got, _ := complete(s.URL(), newRequest("Truck 14", 100))
			mu.Lock()
			defer mu.Unlock()
			if got != nil {
				total += len(got.tokens)
			}
		})
	}
	readers.Wait()
	// The crash closes connections during writes, so fewer tokens may arrive than
	// the engine sent.
	is.True(total > 0 && total <= 1_000)
	is.True(s.Stats().SentTokens <= 1_000)
	is.Equal(s.Stats().Crashes, int64(1))
}

func TestCrashOnPrompt(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	s.CrashOnPrompt("CRASH")
	_, err := complete(s.URL(), newRequest("Truck 14", 10))
	is.NoErr(err)
	_, err = complete(s.URL(), newRequest("please CRASH now", 10))
	is.True(err != nil)
	is.True(s.Crashed())
}

func TestPause(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := startServer(t, engine.Options{Clock: clock, Costs: engine.Costs{Step: time.Second}})
	r, err := openStream(s.URL(), newRequest("Truck 14", 2))
	is.NoErr(err)
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	s.Pause()
	clock.Advance(time.Second)
	is.Equal(s.Stats().DecodedTokens, int64(0)) // a paused engine generates nothing
	s.Resume()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	is.NoErr(r.readAll()) // after the pause the stream continues
	is.Equal(r.tokens, engine.Expect("report", "v1", "", "Truck 14", 2))
}

func TestStall(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	s.Stall("one")
	one, two := newRequest("Truck 14", 10), newRequest("Truck 15", 10)
	one.RequestID, two.RequestID = "one", "two"
	stalled, err := openStream(s.URL(), one)
	is.NoErr(err)
	_, err = complete(s.URL(), two)
	is.NoErr(err) // the other stream is not stalled
	is.Equal(s.Stats().DecodedTokens, int64(10))
	s.Unstall("")
	is.NoErr(stalled.readAll())
}

func TestSlowdown(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := startServer(t, engine.Options{Clock: clock, Costs: engine.Costs{Step: time.Second}})
	s.SetSlowdown(3)
	r, err := openStream(s.URL(), newRequest("Truck 14", 1))
	is.NoErr(err)
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(3*time.Second - 1)
	is.Equal(s.Stats().DecodedTokens, int64(0))
	clock.Advance(1)
	is.NoErr(r.readAll())
}

func TestFaultCommands(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	send := func(c engine.Command) int {
		resp, err := post(t.Context(), s.URL()+"/faults", c)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(send(engine.Command{Kind: "refuse"}), http.StatusNoContent)
	_, err := openStream(s.URL(), newRequest("Truck 14", 1))
	is.Equal(err.Error(), "status 503")
	is.Equal(send(engine.Command{Kind: "accept"}), http.StatusNoContent)
	_, err = complete(s.URL(), newRequest("Truck 14", 1))
	is.NoErr(err)
	is.Equal(send(engine.Command{Kind: "explode"}), http.StatusBadRequest)
	is.Equal(send(engine.Command{Kind: "slow"}), http.StatusBadRequest)
	is.Equal(send(engine.Command{Kind: "die"}), http.StatusNoContent)
	waitForStats(t, s, func(stats engine.Stats) bool { return stats.Crashes == 1 })
	_, err = openStream(s.URL(), newRequest("Truck 14", 1))
	is.True(err != nil)
}
