package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["partial"] = partialAnswers }

const (
	// outageTime is how long the store is down, and crashAfter the time from its begin to the crash.
	outageTime = 4500 * time.Millisecond
	crashAfter = time.Second
	// crashTime is how long the replica is down.
	crashTime = 1200 * time.Millisecond
	// partTime is when a replica writes the first half of an answer, and wholeTime when it writes the rest.
	partTime  = 60 * time.Millisecond
	wholeTime = 1100 * time.Millisecond
	// halfBytes is the length of half an answer.
	halfBytes = 400
	// bookingReplicas is the number of replicas on the sheet of zahnplan-ch-grown.
	bookingReplicas = 7
	// bookingClients is the number of clients of each entry.
	bookingClients = 45
	// bookingTime is how long the clients wait, as on the sheet of zahnplan-ch-grown.
	bookingTime = 4 * time.Second
)

// bookingRoutes has the kind of request of zahnplan-ch-grown that may run once.
var bookingRoutes = []route{{name: "book", prefix: "/book/", kind: "unsafe", service: "shop", timeoutMS: 4000, targetMS: 300}}

// wholeBody is the whole answer to a request.
func wholeBody(id string) string {
	return id + strings.Repeat("a", halfBytes-len(id)) + strings.Repeat("b", halfBytes)
}

// unframedRun writes an answer that has neither a length nor chunks, and ends with its channel.
func unframedRun(c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Foxtailward-Attempt-Id")
	body := wholeBody(id)
	time.Sleep(partTime)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Response-Signature: s.%s\r\n\r\n%s", id, id, body[:halfBytes]); err != nil {
		return false
	}
	time.Sleep(wholeTime - partTime)
	_, _ = io.WriteString(c, body[halfBytes:])
	return false
}

// startReplica starts a replica that writes its entry at its start and at each heartbeat, as far as the store answers.
func (w *world) startReplica(id, zone, address string) (*replica, error) {
	r, err := w.newReplicaAt("shop", id, address, unframedRun)
	if err != nil {
		return nil, err
	}
	r.zone, r.born = zone, time.Now().UnixMilli()
	write := func() {
		if !w.store.down.Load() {
			w.store.register(r, "ready")
		}
	}
	write()
	go func() {
		for range time.Tick(heartbeat) {
			if r.off.Load() {
				return
			}
			write()
		}
	}()
	w.note("%s starts, born %d, at %s", id, r.born, r.address)
	return r, nil
}

// partialAnswers has one replica of a plain service crash while it writes answers, and start again under its id, while
// the store is down. It looks whether a client gets a part of an answer as a whole success.
func partialAnswers(w *world) (int, error) {
	w.store.putConfig(1, keys, bookingRoutes...)
	var shop []*replica
	for i := range bookingReplicas {
		r, err := w.startReplica(fmt.Sprintf("i-shop-%d", i), fmt.Sprintf("z%d", i%3), "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		shop = append(shop, r)
	}
	w.addEntries(2)
	if err := w.startAll("/book/warm"); err != nil {
		return 0, err
	}
	var served, parts, others atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range w.entries {
		for range bookingClients {
			wg.Go(func() {
				time.Sleep(time.Duration(rand.Float64() * float64(contactTime)))
				for {
					select {
					case <-done:
						return
					case <-time.After(50 * time.Millisecond):
					}
					id := newID()
					a := send(e.address(), request{method: http.MethodPost, path: "/book/" + id, id: id, header: keyed(), body: id, timeout: bookingTime})
					switch {
					case a.String() != "served":
						others.Add(1)
						w.note("%s at %s: %s after %.2f s", id, e.name, a, a.took.Seconds())
					case a.body == wholeBody(id):
						served.Add(1)
					default:
						parts.Add(1)
						w.note("%s at %s: 200 with the replica's signature, framed as whole, with %d of %d bytes, after %.2f s", id, e.name, len(a.body), 2*halfBytes, a.took.Seconds())
					}
				}
			})
		}
	}
	time.Sleep(contactTime + time.Second)
	if w.trouble {
		w.store.down.Store(true)
		w.note("the store is down")
		time.Sleep(crashAfter)
		shop[0].crash()
		w.note("%s crashes", shop[0].id)
		time.Sleep(crashTime)
		again, err := w.startReplica(shop[0].id, shop[0].zone, shop[0].address)
		if err != nil {
			return 0, err
		}
		shop = append(shop, again)
		time.Sleep(outageTime - crashAfter - crashTime)
		w.store.down.Store(false)
		w.note("the store is back")
	}
	time.Sleep(contactTime + 2*time.Second)
	close(done)
	wg.Wait()
	for _, r := range shop {
		w.note("%s, born %d, has run %d requests", r.id, r.born, r.count())
	}
	w.note("%d requests got their whole answer, %d a part of it as a whole success, %d something else", served.Load(), parts.Load(), others.Load())
	switch {
	case served.Load() < 50:
		return 0, fmt.Errorf("only %d requests were served", served.Load())
	case parts.Load() > 0:
		return broken, nil
	}
	return held, nil
}
