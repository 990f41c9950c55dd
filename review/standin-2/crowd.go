package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["stalled"] = stalledBodies
	cases["memory"] = manyBodies
}

const (
	// stalledClients is the number of clients that send a head and no body. The machine has descriptors for 4,100.
	stalledClients = 700
	// triers is the number of ordinary clients that try new channels.
	triers = 10
	// grownContact is contact-ms of the grown site, from whose pages the rule is.
	grownContact = 4 * time.Second
	// stalledTime is how long the clients stay. It is longer than idle-timeout-ms, 15 s.
	stalledTime = 40 * time.Second
)

// ready reports whether the entry says that it is ready.
func (e *entry) ready() bool {
	res, err := http.Get("http://" + e.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stalledBodies has clients that hold no key send the head of a request, and not its body. It looks whether an entry
// that says it is ready takes new channels of ordinary clients.
func stalledBodies(w *world) (int, error) {
	w.store.putConfig(1, keys, siteRoutes...)
	shop, err := w.addReplicas("shop", 3, plainRun)
	if err != nil {
		return 0, err
	}
	w.addEntries(1)
	if err := w.startAll("/list/warm"); err != nil {
		return 0, err
	}
	e := w.entries[0]
	time.Sleep(contactTime)
	if w.trouble {
		for i := range stalledClients {
			c, err := net.Dial("tcp", e.address())
			if err != nil {
				return 0, err
			}
			defer func() { _ = c.Close() }()
			// The path has no route, and the request no key.
			if _, err := fmt.Fprintf(c, "POST /none/%d HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\nContent-Length: 1000\r\n\r\n", i, host, newID()); err != nil {
				return 0, err
			}
		}
		w.note("%d clients have sent a head, and keep back the body", stalledClients)
	}
	t := w.newTraffic("list")
	t.every(triers, 200*time.Millisecond, e, "list", func() request { return kindRequest("list") })
	longest, since := time.Duration(0), time.Now()
	for end := time.Now().Add(stalledTime); time.Now().Before(end); {
		time.Sleep(time.Second)
		taken, all, text := t.tally["list"].take()
		ready := e.ready()
		w.note("ready: %v; %d clients tried new channels: %s", ready, triers, text)
		if taken > 0 || !ready || all < triers {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	t.stop()
	for _, r := range shop {
		w.note("%s has run %d requests", r.id, r.count())
	}
	w.note("for %.1f s the entry said that it was ready, and took no new channel", longest.Seconds())
	if longest > grownContact {
		return broken, nil
	}
	return held, nil
}

const (
	// largeBodies clients send bodies of largeBytes, and bodies clients ones of bodyBytes; max-body-bytes is 4 MB.
	largeBodies, largeBytes = 13, 2_100_000
	bodies, bodyBytes       = 627, 65_500
	// headerBytes is the length of one header of each request; max-header-bytes is 16,384.
	headerBytes = 5_000
	// sendTime is how long the clients take for a request. The route's timeout is 25 s.
	sendTime = 8 * time.Second
)

// sendSlowly sends a request of legal size, the last byte of its body after sendTime.
func sendSlowly(e *entry, size int) {
	c, err := net.Dial("tcp", e.address())
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	q := request{method: http.MethodPost, path: "/report/" + newID(), id: newID(), header: keyed(), body: strings.Repeat("x", size), timeout: 20 * time.Second}
	q.header["X-Note"] = strings.Repeat("n", headerBytes)
	text := q.encode()
	if _, err := io.WriteString(c, text[:len(text)-1]); err != nil {
		return
	}
	time.Sleep(sendTime)
}

// manyBodies has clients send requests of legal size all at once. It looks whether the entry stays within the memory
// of its machine.
func manyBodies(w *world) (int, error) {
	w.store.putConfig(1, keys, siteRoutes...)
	if _, err := w.addReplicas("shop", 3, plainRun); err != nil {
		return 0, err
	}
	w.addEntries(1)
	if err := w.startAll("/list/warm"); err != nil {
		return 0, err
	}
	e := w.entries[0]
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	var sent struct{ large, small int }
	if w.trouble {
		sent.large, sent.small = largeBodies, bodies
		for range largeBodies {
			wg.Go(func() { sendSlowly(e, largeBytes) })
		}
		time.Sleep(time.Second)
		for range bodies {
			wg.Go(func() { sendSlowly(e, bodyBytes) })
		}
	}
	most := 0
	for end := time.Now().Add(sendTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		anonymous, _ := e.memoryKB()
		most = max(most, anonymous)
	}
	_, peak := e.memoryKB()
	wg.Wait()
	w.note("sent: %d requests of %d bytes and %d of %d bytes, each with a header of %d bytes", sent.large, largeBytes, sent.small, bodyBytes, headerBytes)
	w.note("the process took %d kB of anonymous memory, %d kB in all; its machine has %d kB", most, peak, memoryMB<<10)
	if most > memoryMB<<10 {
		return broken, nil
	}
	return held, nil
}
