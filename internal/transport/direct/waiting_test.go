package direct_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// roomForAll is how many requests a target of the tests has room for.
const roomForAll = targetSlots + targetSlots/4

// fill sends as many requests to the entry's only target as it has room for.
func (env *testEnv) fill() {
	for i := range roomForAll {
		env.client().send("POST", "/u/x", fmt.Sprint("fill", i), "body")
	}
	synctest.Wait()
	env.is.Equal(len(env.requests()), roomForAll)
}

// Requests that find no room wait at the entry, and the most urgent one is sent first. A
// request whose client leaves is never sent.
func TestWaitingOrder(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.ordered = true
		env.config.Routes[2].Priority = 1
		var active, most atomic.Int64
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, _ *http.Request) {
			now := active.Add(1)
			most.Store(max(most.Load(), now))
			defer active.Add(-1)
			// Places become free one after the other.
			time.Sleep(200*time.Millisecond + time.Duration(now)*5*time.Millisecond)
			rw.Header().Set("Signed", "yes")
			_, _ = rw.Write([]byte("fine"))
		})
		env.start()
		env.fill()
		less, leaves, urgent := env.client(), env.client(), env.client()
		less.send("POST", "/s/x", "less", "body")
		leaves.send("POST", "/u/x", "leaves", "body")
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		urgent.send("POST", "/u/x", "urgent", "body")
		synctest.Wait()
		env.is.Equal(len(env.requests()), roomForAll) // all three wait
		_ = leaves.conn.Close()
		env.is.Equal(urgent.receive().status, http.StatusOK)
		env.is.Equal(less.receive().status, http.StatusOK)
		order := map[string]int{}
		for i, r := range env.requests() {
			order[r.header.Get("Attempt")] = i
		}
		env.is.True(order["urgent"] < order["less"])
		_, sent := order["leaves"]
		env.is.True(!sent)
		env.is.Equal(most.Load(), int64(roomForAll))
		for _, request := range []string{"urgent", "less", "leaves"} {
			names, _ := env.log.linesOf(request)
			env.is.True(slices.Contains(names, "requestWaits"))
			env.is.Equal(slices.Contains(names, "requestGoesOn"), request != "leaves")
		}
	})
}

// A request that a target refuses as full waits, and is sent there again.
func TestWaitingRefused(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.ordered = true
		var refused atomic.Bool
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, _ *http.Request) {
			if refused.CompareAndSwap(false, true) {
				rw.Header().Set("Not-Run", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			rw.Header().Set("Signed", "yes")
			_, _ = rw.Write([]byte("fine"))
		})
		env.start()
		begin := time.Now()
		env.is.Equal(env.do("POST", "/u/x", "a1", "body").status, http.StatusOK)
		env.is.True(time.Since(begin) >= 100*time.Millisecond) // not at once
		env.is.Equal(len(env.requests()), 2)
	})
}

// A request that can't be answered in time is refused as not run, while its client has time
// left to come back.
func TestWaitingTooLate(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.ordered = true
		env.config.Routes[1].Timeout, env.config.Routes[2].MaxAttempts = 20*time.Second, 1
		env.target("t1", "10.0.1.1:80", "a", hang)
		env.start()
		env.fill()
		begin := time.Now()
		a := env.do("POST", "/s/x", "late", "body")
		env.is.Equal(a.status, http.StatusServiceUnavailable)
		env.is.True(time.Since(begin) <= time.Second)
		env.is.Equal(len(env.requests()), roomForAll)
	})
}
