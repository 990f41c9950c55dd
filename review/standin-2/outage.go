package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["outage"] = allDark }

const (
	// darkTime is how long the replicas are down.
	darkTime = 1200 * time.Millisecond
	// starvedPart is the part of the share of all requests that is served below which a kind is starved.
	starvedPart = 0.25
)

// allDark has all replicas of the shop go dark at the same time. They are back after darkTime, as new boots with new ids.
// Clients order, and ask for the same list again and again. Once recoverTime has passed, it looks whether both
// kinds of request are served.
func allDark(w *world) (int, error) {
	w.store.putConfig(1, keys, siteRoutes...)
	if _, err := w.addReplicas("llm", engines, plainRun); err != nil {
		return 0, err
	}
	shop, err := w.addReplicas("shop", 3, plainRun)
	if err != nil {
		return 0, err
	}
	w.addEntries(4)
	if err := w.startAll("/list/warm"); err != nil {
		return 0, err
	}
	t := w.newTraffic("order", "list")
	for _, e := range w.entries {
		// About 160 requests a second in all: more than on the small site, fewer than on the grown one.
		t.every(2, 170*time.Millisecond, e, "order", func() request { return kindRequest("order") })
		t.every(6, 170*time.Millisecond, e, "list", func() request {
			return request{method: http.MethodGet, path: "/list/pending", id: newID(), header: keyed(), timeout: time.Second}
		})
	}
	time.Sleep(contactTime + time.Second)
	if before, _ := t.unserved("before"); before > unservedShare {
		return 0, fmt.Errorf("%.3f of the requests are not served before", before)
	}
	if w.trouble {
		if err := w.replaceDark(shop); err != nil {
			return 0, err
		}
	}
	time.Sleep(recoverTime)
	t.note("within recover-s")
	time.Sleep(30 * time.Second)
	shares, share, all := t.note("later")
	t.stop()
	if all < 100 {
		return 0, fmt.Errorf("only %d requests were sent", all)
	}
	for _, r := range append(shop, w.again...) {
		w.note("%s has run %d requests", r.id, r.count())
	}
	code := held
	for _, kind := range t.kinds {
		w.note("later: of %s %.3f are served, of all requests %.3f", kind, shares[kind], share)
		if shares[kind] < starvedPart*share {
			w.note("broken: %s is served less than a quarter as often as all requests", kind)
			code = broken
		}
	}
	return code, nil
}

// replaceDark has replicas go dark at the same time. Each is back after darkTime under a new id; its old
// entry is removed after three heartbeats.
func (w *world) replaceDark(rs []*replica) error {
	w.note("all replicas of the shop go dark")
	for _, r := range rs {
		r.dark()
	}
	time.Sleep(darkTime)
	for _, r := range rs {
		again, err := w.newReplica(r.service, r.id+"-again", r.run)
		if err != nil {
			return err
		}
		w.again = append(w.again, again)
		again.zone, again.born = r.zone, time.Now().UnixMilli()
		w.store.register(again, "ready")
		again.beat(nil, func() string { return "ready" })
		w.note("%s is back as %s", r.id, again.id)
		time.AfterFunc(3*heartbeat-darkTime, func() { w.store.remove("servers/" + r.id) })
	}
	return nil
}
