package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Times and shares that the pages name.
const (
	// recoverTime is recover-s of the small sites.
	recoverTime = 12 * time.Second
	// heartbeat is heartbeat-interval-ms, and drainTime is drain-ms.
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second
	// workTime is how long a replica of a plain service works on a request.
	workTime = 30 * time.Millisecond
	// unservedShare is the largest share of requests that may be refused or fail.
	unservedShare = 0.6
)

// siteRoutes are the kinds of request of the cases: two of the plain service "shop", and one of engines.
var siteRoutes = []route{
	{name: "order", prefix: "/order/", kind: "unsafe", service: "shop", timeoutMS: 1000, targetMS: 150},
	{name: "list", prefix: "/list/", kind: "safe", service: "shop", timeoutMS: 1000, targetMS: 150, attempts: 2},
	{name: "report", prefix: "/report/", kind: "streaming", service: "llm", timeoutMS: 25000, targetMS: 4500, attempts: 5, resumable: true},
}

// keys are the keys of the client accounts.
var keys = map[string][]string{"t": {"key-of-t"}}

func keyed() map[string]string { return map[string]string{"Authorization": "Token key-of-t"} }

// tally counts answers by what they were.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[a.String()]++
}

// String returns in a few words what a client got.
func (a answer) String() string {
	switch {
	case a.status == http.StatusOK && a.whole && a.header.Get("X-Foxtailward-Response-Signature") != "":
		return "served"
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d %.24q", a.status, a.body)
}

// take returns the counts, and starts over.
func (t *tally) take() (served, all int, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	for key, n := range t.counts {
		all += n
		if key == "served" {
			served += n
		}
		lines = append(lines, fmt.Sprintf("%s: %d", key, n))
	}
	sort.Strings(lines)
	t.counts = nil
	return served, all, fmt.Sprint(lines)
}

// traffic sends requests of several kinds until stop.
type traffic struct {
	w     *world
	kinds []string
	tally map[string]*tally
	done  chan struct{}
	wg    sync.WaitGroup
}

func (w *world) newTraffic(kinds ...string) *traffic {
	t := &traffic{w: w, kinds: kinds, tally: map[string]*tally{}, done: make(chan struct{})}
	for _, kind := range kinds {
		t.tally[kind] = &tally{}
	}
	return t
}

// every has n clients of an entry send a request of a kind again and again, gap after the last answer. They do not
// go in step.
func (t *traffic) every(n int, gap time.Duration, e *entry, kind string, next func() request) {
	for range n {
		t.wg.Go(func() {
			time.Sleep(time.Duration(rand.Float64() * float64(gap)))
			for {
				select {
				case <-t.done:
					return
				case <-time.After(gap):
					t.tally[kind].add(send(e.address(), next()))
				}
			}
		})
	}
}

func (t *traffic) stop() {
	close(t.done)
	t.wg.Wait()
}

// note writes what was answered since the last call, and returns the share of each kind, and of
// all requests, that was served. all is the number of requests.
func (t *traffic) note(label string) (shares map[string]float64, share float64, all int) {
	shares = map[string]float64{}
	servedAll := 0
	for _, kind := range t.kinds {
		served, n, text := t.tally[kind].take()
		t.w.note("%s: %s %s", label, kind, text)
		servedAll, all = servedAll+served, all+n
		if n > 0 {
			shares[kind] = float64(served) / float64(n)
		}
	}
	if all > 0 {
		share = float64(servedAll) / float64(all)
	}
	return shares, share, all
}

// unserved notes what was answered, and returns the share of all requests that were refused or failed.
func (t *traffic) unserved(label string) (share float64, all int) {
	_, served, all := t.note(label)
	t.w.note("%s: %.3f of %d requests were refused or failed", label, 1-served, all)
	return 1 - served, all
}

// plainRun answers after workTime.
func plainRun(c net.Conn, r *http.Request, _ []byte) bool {
	time.Sleep(workTime)
	return ok(c, r, "done")
}

// beat writes the entry of the replica at each heartbeat until done is closed. state returns its state.
func (r *replica) beat(done <-chan struct{}, state func() string) {
	go func() {
		// The heartbeats of replicas are not in step.
		wait := time.Duration(rand.Float64() * float64(heartbeat))
		for {
			select {
			case <-done:
				return
			case <-time.After(wait):
			}
			if r.off.Load() {
				return
			}
			r.w.store.register(r, state())
			wait = heartbeat
		}
	}()
}

// addReplicas starts n sound replicas of a service, in three zones.
func (w *world) addReplicas(service string, n int, run func(c net.Conn, r *http.Request, body []byte) bool) ([]*replica, error) {
	var rs []*replica
	for i := range n {
		r, err := w.newReplica(service, fmt.Sprintf("i-%s-%d", service, i), run)
		if err != nil {
			return nil, err
		}
		r.zone, r.born = fmt.Sprintf("z%d", i%3), time.Now().UnixMilli()
		w.store.register(r, "ready")
		r.beat(nil, func() string { return "ready" })
		rs = append(rs, r)
	}
	return rs, nil
}

// kindRequest returns a request of one of the plain kinds, with an id of its own.
func kindRequest(kind string) request {
	q := request{method: http.MethodGet, path: "/" + kind + "/" + newID(), id: newID(), header: keyed(), timeout: time.Second}
	if kind == "order" {
		q.method, q.body = http.MethodPost, q.id
	}
	return q
}
