package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// takenUpStreams is the number of streams whose entry is lost.
	takenUpStreams = 16
	// storeOutage is how long the store resets all calls.
	storeOutage = 4500 * time.Millisecond
	// contactTime is contact-ms.
	contactTime = 3 * time.Second
)

// takenUp plays the loss of an entry whose clients take their streams up again at the others,
// some time after an outage of the store. Before the outage, an entry was taken away as
// planned.
func takenUp(w *world) ([]string, error) {
	w.store.put("op/config", []byte(configText))
	if _, err := w.engines("m", []string{"za", "zb", "zc", "za"}, 64, 0, 200*time.Millisecond); err != nil {
		return nil, err
	}
	entries, err := w.startEntries([]string{"edge-1", "edge-2", "edge-3", "edge-4"}, []string{"za", "zb", "zc", "za"})
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	// edge-1 is in the others' seeds, so edge-4 is taken away and edge-3 lost.
	removed, lost, others := entries[3], entries[2], entries[:2]
	removed.signal(syscall.SIGTERM)
	<-removed.done
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.record("the store is down")
		w.store.setDown(true)
	}
	time.Sleep(storeOutage)
	w.store.setDown(false)
	w.record("the store is up")
	time.Sleep(500 * time.Millisecond)
	var resumed results
	var began results
	for n := range takenUpStreams {
		resumed.wg.Go(func() { w.takeUp(&resumed, lost, others[n%len(others)], streamRequest("/report/r", n, 200, 90)) })
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	lost.signal(syscall.SIGKILL)
	for n := range takenUpStreams {
		began.stream(w, others[n%len(others)], streamRequest("/report/new", 500+n, 200, 10))
		time.Sleep(100 * time.Millisecond)
	}
	resumed.wg.Wait()
	began.wg.Wait()
	return w.share(resumed.list, began.list)
}

// takeUp sends a stream to an entry, and takes it up at another one when its channel breaks,
// with one retry after a refusal.
func (w *world) takeUp(rs *results, first, next *entry, q request) {
	c, err := w.dial(first)
	if err != nil {
		return
	}
	res := c.do(q)
	c.close()
	if res.complete || res.events == 0 {
		return
	}
	again := q
	again.after, again.resumes = res.lastID, q.attempt
	for try := range 2 {
		again.attempt = fmt.Sprintf("%s%d", q.attempt[:15], try+1) + q.attempt[15:]
		c, err := w.dial(next)
		if err != nil {
			return
		}
		res = c.do(again)
		c.close()
		if res.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(res.retryAfter)
	}
	rs.add(res)
}

// share compares the share of streams taken up that go on with that of new ones that begin.
func (w *world) share(resumed, began []result) ([]string, error) {
	count := func(list []result) int {
		n := 0
		for _, r := range list {
			if r.events > 0 {
				n++
			}
		}
		return n
	}
	goOn, begin := count(resumed), count(began)
	w.record("%d of %d streams that were taken up went on, %d of %d new ones began", goOn, len(resumed), begin, len(began))
	if len(resumed) < 12 || len(began) == 0 {
		return nil, fmt.Errorf("only %d streams were taken up", len(resumed))
	}
	if 2*float64(goOn)/float64(len(resumed)) < float64(begin)/float64(len(began)) {
		return []string{fmt.Sprintf("LOST: %d of %d streams that were taken up went on, while %d of %d new ones began", goOn, len(resumed), begin, len(began))}, nil
	}
	return nil, nil
}
