package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["stalled"] = stalledBodies }

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
