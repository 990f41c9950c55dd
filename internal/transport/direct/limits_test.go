package direct_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/id"
)

// aloneTime is the time after which an entry that hears of no other one uses whole limits.
const aloneTime = 3 * time.Second

// limitedTarget adds a target that names a limit while limited is set.
func (env *testEnv) limitedTarget(name, address, zone string, perSecond float64, limited *atomic.Bool) {
	env.target(name, address, zone, func(rw http.ResponseWriter, _ *http.Request) {
		if limited.Load() {
			rw.Header().Set("Limit", strconv.FormatFloat(perSecond, 'f', -1, 64))
		}
		rw.Header().Set("Signed", "yes")
		_, _ = rw.Write([]byte("one"))
	})
}

// requestsTo counts the requests that a target received within a time from a moment on.
func (env *testEnv) requestsTo(target id.Target, from time.Time, within time.Duration) int {
	n := 0
	for _, r := range env.requests() {
		if since := r.at.Sub(from); r.target == target && since >= 0 && since < within {
			n++
		}
	}
	return n
}

// A target at its limit must be left to those requests that it takes, while others serve
// the rest; after the limit has ended it gets its part again.
func TestTargetLimitOthersPreferred(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var limited, never atomic.Bool
		limited.Store(true)
		env.limitedTarget("t1", "10.0.1.1:80", "a", 5, &limited)
		env.limitedTarget("t2", "10.0.2.1:80", "a", 5, &never)
		env.start()
		time.Sleep(aloneTime)
		send := func(name string) time.Time {
			from := time.Now()
			for i := range 200 {
				env.is.Equal(env.do("POST", "/u/x", fmt.Sprint(name, i), "").status, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			return from
		}
		from := send("a")
		env.is.True(env.requestsTo("t1", from, 4*time.Second) <= 4*5+3)
		env.is.True(env.requestsTo("t1", from, 4*time.Second) >= 4*5/2)
		limited.Store(false)
		time.Sleep(time.Second)
		from = send("b")
		env.is.True(env.requestsTo("t1", from, 4*time.Second) > 60)
	})
}

// If all targets are at their limits, a request must wait as long as its answer is still in
// time, and else be refused at once, with a time to come back that is spread.
func TestTargetLimitReached(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var limited atomic.Bool
		limited.Store(true)
		env.limitedTarget("t1", "10.0.1.1:80", "a", 10, &limited)
		env.start()
		time.Sleep(aloneTime)
		env.is.Equal(env.do("POST", "/u/x", "first", "").status, http.StatusOK)
		time.Sleep(time.Millisecond)
		const requests = 6
		answers := make(chan answer, requests)
		start := time.Now()
		for i := range requests {
			env.doLater(answers, "/u/x", fmt.Sprint("a", i), fmt.Sprint("body", i))
		}
		served, told := 0, map[string]bool{}
		for range requests {
			a := <-answers
			if a.status == http.StatusOK {
				served++
				continue
			}
			env.is.Equal(a.status, http.StatusServiceUnavailable)
			env.is.Equal(a.body, "targetLimit\n")
			env.is.True(time.Since(start) < 150*time.Millisecond)
			told[a.header.Get("Retry-After")] = true
		}
		env.is.Equal(served, 1) // the objective is 150 ms, and 10 a second are allowed
		env.is.Equal(len(told), requests-served)
		env.is.Equal(env.requestsTo("t1", start, time.Minute), served)
	})
}

// A limit must end with the target that named it.
func TestTargetLimitOfGoneTarget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var limited atomic.Bool
		limited.Store(true)
		env.limitedTarget("t1", "10.0.1.1:80", "a", 0.1, &limited)
		env.start()
		time.Sleep(aloneTime)
		env.is.Equal(env.do("POST", "/u/x", "a1", "").status, http.StatusOK)
		env.is.Equal(env.do("POST", "/u/x", "a2", "").body, "targetLimit\n")
		env.startUnlisted("t2", "10.0.2.1:80", respondWith(http.StatusOK, "two", "Signed", "yes"))
		env.listTarget("t2", "10.0.2.1:80", "a")
		for i := range 5 {
			env.is.Equal(env.do("POST", "/u/x", fmt.Sprint("b", i), "").body, "two")
		}
	})
}

// A request that waits for a target at its limit must not be sent there after the target
// has begun to drain.
func TestTargetLimitDrainsMeanwhile(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Limit", "0.5")
			events(rw, after(r), 3, 10*time.Millisecond)
		})
		env.start()
		time.Sleep(aloneTime)
		env.is.Equal(env.do("POST", "/r/x", "first", "one").body, wholeStream(3))
		answers := make(chan answer, 1)
		env.doLater(answers, "/r/x", "second", "two") // has to wait 2 s
		time.Sleep(time.Second)
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) {
			events(rw, after(r), 3, 10*time.Millisecond)
		})
		env.listTarget("t2", "10.0.2.1:80", "a")
		env.changes <- store.Change{Item: store.Item{Key: "t1", Value: []byte("draining 10.0.1.1:80 a"), ModRevision: 3}}
		a := <-answers
		env.is.Equal(a.body, wholeStream(3))
		env.is.Equal(env.requests()[1].target, id.Target("t2"))
	})
}
