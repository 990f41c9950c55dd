package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["restart"] = restartUnderID }

const (
	// lingerTime is how long a replica serves beyond drainTime, and downTime how long it is away before it
	// starts again.
	lingerTime = time.Second
	downTime   = 2 * time.Second
	// restartGap is the time between a start and the next planned stop.
	restartGap = 2 * time.Second
	// engines is the number of replicas of the other service, which write their heartbeats meanwhile.
	engines = 36
)

// restartable is a replica of the shop that is stopped as planned, and starts again under its id.
type restartable struct {
	w       *world
	id      string
	zone    string
	leaving atomic.Bool
	r       *replica
	done    chan struct{}
}

// start starts the replica. It then holds and knows nothing of before, and its counts start anew.
func (p *restartable) start() error {
	p.leaving.Store(false)
	r, err := p.w.newReplica("shop", p.id, p.run)
	if err != nil {
		return err
	}
	r.zone, r.born = p.zone, time.Now().UnixMilli()
	p.r, p.done = r, make(chan struct{})
	p.w.store.register(r, "ready")
	p.w.note("%s starts, born %d, at %s", p.id, r.born, r.address)
	r.beat(p.done, func() string {
		if p.leaving.Load() {
			return "draining"
		}
		return "ready"
	})
	return nil
}

// run answers after workTime. A replica that leaves says so in all its answers.
func (p *restartable) run(c net.Conn, r *http.Request, _ []byte) bool {
	time.Sleep(workTime)
	leaving := ""
	if p.leaving.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	id := r.Header.Get("X-Foxtailward-Attempt-Id")
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Response-Signature: s.%s\r\n%sContent-Length: 4\r\n\r\ndone", id, id, leaving)
	return err == nil
}

// plannedStop reports draining, serves for drainTime and a little longer, and exits.
func (p *restartable) plannedStop() {
	p.leaving.Store(true)
	p.w.store.register(p.r, "draining")
	p.w.note("%s reports draining, and says in its answers that it leaves", p.id)
	time.Sleep(drainTime + lingerTime)
	close(p.done)
	p.w.store.remove("servers/" + p.id)
	p.r.kill()
	p.w.note("%s has left: it ran %d requests", p.id, p.r.count())
}

// restartUnderID stops the three replicas of the shop as planned, one after the other, and starts each
// again under its id. Once recoverTime has passed, it looks whether its kinds of request are served.
func restartUnderID(w *world) (int, error) {
	w.store.putConfig(1, keys, siteRoutes...)
	if _, err := w.addReplicas("llm", engines, plainRun); err != nil {
		return 0, err
	}
	var shop []*restartable
	for i := range 3 {
		p := &restartable{w: w, id: fmt.Sprintf("i-shop-%d", i), zone: fmt.Sprintf("z%d", i)}
		if err := p.start(); err != nil {
			return 0, err
		}
		shop = append(shop, p)
	}
	w.addEntries(4)
	if err := w.startAll("/list/warm"); err != nil {
		return 0, err
	}
	t := w.newTraffic("order", "list")
	for _, e := range w.entries {
		for _, kind := range t.kinds {
			// About 280 requests a second in all, as on the grown site.
			t.every(7, 170*time.Millisecond, e, kind, func() request { return kindRequest(kind) })
		}
	}
	time.Sleep(contactTime + time.Second)
	if before, _ := t.unserved("before"); before > unservedShare {
		return 0, fmt.Errorf("%.3f of the requests are not served before", before)
	}
	for _, p := range shop {
		if w.trouble {
			p.plannedStop()
			time.Sleep(downTime)
			if err := p.start(); err != nil {
				return 0, err
			}
		} else {
			time.Sleep(drainTime + lingerTime + downTime)
		}
		time.Sleep(restartGap)
		t.note("meanwhile")
	}
	time.Sleep(recoverTime)
	t.note("within recover-s after the last start")
	time.Sleep(15 * time.Second)
	unserved, all := t.unserved("later")
	t.stop()
	for _, p := range shop {
		w.note("%s, born %d, has run %d requests", p.id, p.r.born, p.r.count())
	}
	switch {
	case all < 100:
		return 0, fmt.Errorf("only %d requests were sent", all)
	case unserved > unservedShare:
		w.note("broken: over %.1f of the requests are refused or fail, though all replicas are back", unservedShare)
		return broken, nil
	}
	return held, nil
}
