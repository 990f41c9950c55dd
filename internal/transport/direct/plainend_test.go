package direct_test

import (
	"net/http"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
)

// endedAnswer is what follows an answer that was cut at the end of its connection.
type endedAnswer struct {
	name string
	// health answers the health check after it; nil if the target's process is gone.
	health       http.HandlerFunc
	noHealthPath bool
	engine       *catalog.Engine
	// empty says that the answer ended right after its head.
	empty bool
	// complete says that the answer counts as complete.
	complete bool
	checks   int
}

// TestUnframedPlainAnswer guards against a part of a plain answer without length or chunks that
// counts as complete because its target's process ended.
func TestUnframedPlainAnswer(t *testing.T) {
	tests := []endedAnswer{
		{name: "the process serves", health: respondWith(http.StatusOK, "", "Name", "t1"), complete: true, checks: 1},
		{name: "the process is gone"},
		{name: "another process serves", health: withIdentity("t9", targetSlots), checks: 1},
		{name: "the process is leaving", health: respondWith(http.StatusServiceUnavailable, ""), checks: 1},
		{name: "no answer", health: hang, checks: 1},
		{name: "no health path", noHealthPath: true, complete: true},
		{name: "the process serves, no body", health: respondWith(http.StatusOK, "", "Name", "t1"), empty: true, complete: true, checks: 1},
		{name: "the process is gone, no body", empty: true},
		{name: "the engine is gone", engine: &catalog.Engine{MemoryTokens: 88000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) { tt.play(env) })
		})
	}
}

func (tt *endedAnswer) play(env *testEnv) {
	s := catalog.Service{Name: service, HealthPath: healthPath, Engine: tt.engine}
	if tt.noHealthPath {
		s.HealthPath = ""
	}
	env.config.Services[service] = s
	body := "fi"
	if tt.empty {
		body = ""
	}
	env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			tt.health(rw, r)
			return
		}
		unframed(func(*http.Request) string {
			if tt.health == nil {
				env.crash("10.0.1.1:80")
			}
			return body
		}, nil)(rw, r)
	})
	env.start()
	begin := time.Now()
	unsafe := env.do("POST", "/u/x", "a1", "body")
	env.is.True(time.Since(begin) < time.Second) // the route's timeout
	env.mu.Lock()
	checks := env.checks
	env.mu.Unlock()
	if tt.engine == nil { // a search for an engine's successor sends health checks, too
		env.is.Equal(checks, tt.checks)
	}
	if tt.complete {
		env.is.Equal(unsafe.status, http.StatusOK)
		env.is.Equal(unsafe.body, body)
	} else {
		env.is.Equal(unsafe.status, http.StatusBadGateway)
	}
	time.Sleep(10 * time.Second) // a search for a successor ends
}

// TestUnframedPlainAnswerSentAgain guards against the same for a safe request, which another
// target answers.
func TestUnframedPlainAnswerSentAgain(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.config.Services[service] = catalog.Service{Name: service, HealthPath: healthPath}
		env.target("t1", "10.0.1.1:80", "a", unframed(func(*http.Request) string {
			env.crash("10.0.1.1:80")
			return "fi"
		}, nil))
		env.target("t2", "10.0.2.1:80", "b", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		got := env.do("POST", "/s/x", "a1", "body")
		env.is.Equal(got.status, http.StatusOK)
		env.is.Equal(got.body, "fine")
		env.is.Equal(len(env.requests()), 2)
		env.is.Equal(env.checks, 0) // an answer with a length needs none
	})
}
