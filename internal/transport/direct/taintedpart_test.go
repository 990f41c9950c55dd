package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// taintedPart crashes each target that begins to write an answer on it.
	taintedPart = "tainted"
	// contactTime is the time that entries have to act on the fifth crash.
	contactTime = 3 * time.Second
	// allowedAfter is the number of requests with the part that may reach targets later.
	allowedAfter = 3
)

// crashLog counts the arrivals of requests with the tainted part, and the crashes.
type crashLog struct {
	mu      sync.Mutex
	crashes int
	fifth   time.Time
	late    int
}

func (l *crashLog) arrived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fifth.IsZero() && time.Since(l.fifth) > contactTime {
		l.late++
	}
}

func (l *crashLog) crashed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes++; l.crashes == 5 {
		l.fifth = time.Now()
	}
}

// addTaintableTargets adds n targets that stream ten events, and crash with the first
// event of a request with the tainted part. They are back soon after.
func (env *testEnv) addTaintableTargets(n int, log *crashLog) {
	for i := range n {
		address, name := fmt.Sprintf("10.0.%d.1:80", i+1), fmt.Sprintf("t%d", i+1)
		env.target(name, address, string(rune('a'+i%3)), func(rw http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.Header.Get("Parts"), taintedPart) {
				time.Sleep(200 * time.Millisecond)
				events(rw, after(r), 10, 100*time.Millisecond)
				return
			}
			log.arrived()
			time.Sleep(300 * time.Millisecond)
			events(rw, after(r), after(r), 70*time.Millisecond)
			log.crashed()
			go env.crash(address)
			panic(http.ErrAbortHandler)
		})
	}
}

// TestPartThatCrashesTargets guards against requests that crash target after target because
// they share a part of their prompts, and no two of them are alike.
func TestPartThatCrashesTargets(t *testing.T) {
	for _, gap := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				log := &crashLog{}
				env.addTaintableTargets(60, log)
				env.start()
				sound, crashing := make(chan answer, 100), make(chan answer, 100)
				sent := 0
				end := time.Now().Add(20 * time.Second)
				for i := 0; time.Now().Before(end); i++ {
					env.doStream(crashing, fmt.Sprint("t", i), fmt.Sprint("first,", taintedPart, ",own", i))
					env.doStream(sound, fmt.Sprint("s", i), fmt.Sprint("first,other", i))
					sent++
					time.Sleep(gap)
				}
				env.is.True(log.crashes > 0)
				env.is.True(log.late <= allowedAfter)
				for range sent {
					got := <-sound
					env.is.Equal(got.status, http.StatusOK)
					env.is.Equal(got.body, wholeStream(10))
				}
			})
		})
	}
}

// doStream sends a request with parts of a prompt and passes its answer on when it has
// arrived.
func (env *testEnv) doStream(answers chan<- answer, attempt, parts string) {
	c := env.client()
	go func() {
		c.send("POST", "/r/x", attempt, "body of "+attempt, "Parts", parts)
		answers <- c.receive()
	}()
}
