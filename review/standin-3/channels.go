package main

import (
	"strings"
	"sync"
	"time"
)

const (
	// contact and configApply are bounds of the users' pages: contact-ms and config-apply-ms.
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	// configLag is how long after the channels have gone silent the operator moves the route.
	configLag = 1050 * time.Millisecond
	// margin keeps the judged requests clear of both bounds.
	margin = 20 * time.Millisecond
)

// playChannels has the open channels between the entries and the store go silent for good, without a reset, while new ones
// work. Meanwhile the operator moves a route to another service. Without the disruption no channel goes silent.
func playChannels(w *world, trouble bool) (bool, error) {
	services := []object{plainService(plain), plainService(newPlain)}
	if err := w.putConfig(7, []object{safeRoute(plain)}, services); err != nil {
		return false, err
	}
	for _, service := range []string{plain, newPlain} {
		if err := w.startReplicas(service, 2); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(4, 284); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if err := w.putConfig(8, []object{safeRoute(plain)}, services); err != nil {
		return false, err
	}
	time.Sleep(400 * time.Millisecond)
	silent := time.Now()
	if trouble {
		w.note("the open channels to the store go silent")
		for _, p := range w.proxies {
			p.silence()
		}
	}
	time.Sleep(configLag)
	if err := w.putConfig(9, []object{safeRoute(newPlain)}, services); err != nil {
		return false, err
	}
	w.note("the store has confirmed version 9, which moves the route from %s to %s", plain, newPlain)
	from := later(time.Now().Add(configApply), silent.Add(contact)).Add(margin)
	time.Sleep(time.Until(from))
	w.note("from now on the machines are in touch, and the old service must not run the route's requests")
	ran := w.sendToAll()
	w.note("%d requests were run by the old service", ran)
	return ran > 0, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendToAll sends requests to all entries for a second, and returns how many of them the old service ran.
func (w *world) sendToAll() int {
	var mu sync.Mutex
	ran := 0
	var wg sync.WaitGroup
	for _, e := range w.entries {
		wg.Go(func() {
			c, err := newClient(w, e)
			if err != nil {
				return
			}
			defer c.close()
			for range 20 {
				if a := c.get(plainPath); strings.Contains(a.body, " of "+plain+" ") {
					mu.Lock()
					ran++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return ran
}
