package direct_test

import (
	"net/http"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/state/settings"
)

// queued answers with 20 events, the first one after a wait that depends on how many requests
// came before. It answers health checks if it
// lives, and otherwise nothing.
func queued(lives bool) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case !lives:
			<-r.Context().Done()
			return
		case r.URL.Path == healthPath:
			rw.Header().Set("Name", "t1")
			return
		}
		wait := map[string]time.Duration{"a1": 600 * time.Millisecond, "a2": 1200 * time.Millisecond, "a3": 4400 * time.Millisecond}
		select {
		case <-time.After(wait[r.Header.Get("Attempt")]):
		case <-r.Context().Done():
			return
		}
		events(rw, after(r), 20, 30*time.Millisecond)
	}
}

// TestQueueOfPrompts guards against a stream that is taken from an engine which only has the
// prompts of others to compute first: three of 3,000 tokens are sent to it within 20 ms, and
// the last gets its first event after 4.4 s. If the engine is gone, a question to it tells.
func TestQueueOfPrompts(t *testing.T) {
	tests := []struct {
		name             string
		competes, lives  bool
		sends, explained int
		// asked is the number of questions; most is the time until the answer is whole.
		asked int
		most  time.Duration
	}{
		{"requests compete", true, true, 1, 1, 1, 7200 * time.Millisecond},
		{"requests compete, and it is gone", true, false, 2, 0, 1, 6 * time.Second},
		{"requests don't compete", false, true, 2, 0, 0, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", queued(tt.lives))
				env.start()
				if tt.competes {
					env.entry.SetUneven(service)
				}
				got, began := make(chan answer, 3), time.Now()
				for _, attempt := range []string{"a1", "a2", "a3"} {
					go func() { got <- env.do("POST", "/r/x", attempt, "prompt", "Prompt", "3000") }()
					time.Sleep(10 * time.Millisecond)
				}
				env.startUnlisted("t2", "10.0.2.1:80", engineHandler)
				env.listTarget("t2", "10.0.2.1:80", "b")
				for range 3 {
					a := <-got
					env.is.True(!a.broken && a.body == wholeStream(20))
				}
				env.is.Equal(env.log.count("name=sendEnded request=a3 "), tt.sends)
				env.is.Equal(env.log.count("name=silenceExplained request=a3 "), tt.explained)
				env.is.True(time.Since(began) < tt.most)
				env.mu.Lock()
				defer env.mu.Unlock()
				env.is.True(env.checks >= tt.asked)
			})
		})
	}
}

// TestEmptyBudgetWaits has the target of a stream break before its first event while the entries
// have no retry left: one may retry in a window of 2 s, and another request has used it.
func TestEmptyBudgetWaits(t *testing.T) {
	tests := []struct {
		name     string
		competes bool
		status   int
	}{
		{"requests compete", true, http.StatusOK},
		{"requests don't compete", false, http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.retries = &settings.Retries{Ratio: 0, MinRetries: 8, WindowSeconds: 2}
				breaks := func(_ http.ResponseWriter, _ *http.Request) {
					time.Sleep(300 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}
				env.target("t1", "10.0.1.1:80", "a", breaks)
				env.start()
				if tt.competes {
					env.entry.SetUneven(service)
				}
				first, second := make(chan answer, 1), make(chan answer, 1)
				go func() { first <- env.do("POST", "/r/x", "a1", "one") }()
				time.Sleep(20 * time.Millisecond)
				go func() { second <- env.do("POST", "/r/x", "a2", "two") }()
				time.Sleep(20 * time.Millisecond)
				env.startUnlisted("t2", "10.0.2.1:80", engineHandler)
				env.listTarget("t2", "10.0.2.1:80", "b")
				env.is.Equal((<-first).body, wholeStream(20))
				began := time.Now()
				env.is.Equal((<-second).status, tt.status)
				env.is.True(time.Since(began) < 3*time.Second)
				granted := map[bool]int{true: 1}[tt.competes]
				env.is.Equal(env.log.count("name=retryAwaited request=a2 result=granted"), granted)
				env.is.Equal(env.log.count("name=budgetExhausted"), 1-granted)
			})
		})
	}
}
