package direct_test

import (
	"net/http"
	"testing"
	"time"
)

// pauseAfter answers with 20 events, and pauses after the event n.
func pauseAfter(n int, pause time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		events(rw, after(r), n, 30*time.Millisecond)
		time.Sleep(pause)
		events(rw, max(after(r), n+1), 20, 30*time.Millisecond)
	}
}

// TestSilence guards against a run that is ended because its target is silent, though no
// other run may follow: the target may have preempted it.
func TestSilence(t *testing.T) {
	tests := []struct {
		name, path string
		// pausing is the first target, and others is the number of further ones.
		pausing http.HandlerFunc
		others  int
		// busy adds a stream that the pausing target goes on with.
		busy  bool
		whole bool
		sends int
	}{
		{"may run once, in mid-stream", "/o/x", pauseAfter(5, 2*time.Second), 0, false, true, 1},
		{"may run once, others serve", "/o/x", pauseAfter(5, 2*time.Second), 2, false, true, 1},
		{"may run once, before the first event", "/o/x", pauseAfter(0, 8*time.Second), 2, false, true, 1},
		{"no other target, which goes on with other streams", "/r/x", pauseAfter(5, 2*time.Second), 0, true, true, 1},
		{"no other target, which sends nothing at all", "/r/x", pauseAfter(5, 2*time.Second), 0, false, false, 1},
		{"others serve", "/r/x", pauseAfter(5, 2*time.Second), 2, true, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				once := env.config.Routes[0]
				once.Name, once.PathPrefix, once.Resumable = "o", "/o/", false
				env.config.Routes = append(env.config.Routes, once)
				env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Attempt") == "busy" {
						events(rw, after(r), 200, 30*time.Millisecond)
						return
					}
					tt.pausing(rw, r)
				})
				env.start()
				if tt.busy {
					c := env.client()
					c.send("POST", "/r/busy", "busy", "")
					go c.receive()
				}
				for i := range tt.others {
					address := []string{"10.0.2.1:80", "10.0.3.1:80"}[i]
					env.startUnlisted([]string{"t2", "t3"}[i], address, engineHandler)
				}
				got := make(chan answer, 1)
				go func() { got <- env.do("POST", tt.path, "a1", "prompt") }()
				time.Sleep(10 * time.Millisecond)
				for i := range tt.others {
					env.listTarget([]string{"t2", "t3"}[i], []string{"10.0.2.1:80", "10.0.3.1:80"}[i], []string{"b", "c"}[i])
				}
				a := <-got
				env.is.Equal(!a.broken && a.body == wholeStream(20), tt.whole)
				env.is.Equal(env.log.count("name=sendEnded request=a1 "), tt.sends)
				time.Sleep(10 * time.Second) // the other stream ends
			})
		})
	}
}
