package main

import (
	"sync"
	"time"
)

const (
	// streamsPerSecond and streamCount are the traffic of streams, to all entries together.
	streamsPerSecond = 12
	streamCount      = 20 * streamsPerSecond
)

// playUnframed has sound replicas answer all streams without a length or chunks. Without the disruption they use chunks. It
// is no case of its own: see REPORT-3.md.
func playUnframed(w *world, trouble bool) (bool, error) {
	if err := w.startServices(4); err != nil {
		return false, err
	}
	if err := w.startEntries(4, 284); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	j := &job{Events: 40, GapMS: 25, Unframed: trouble}
	var all tally
	var wg sync.WaitGroup
	for i := range streamCount {
		wg.Go(func() { all.streamOnKept(w, w.entries[i%4], w.entries[(i+1)%4], j) })
		time.Sleep(time.Second / streamsPerSecond)
	}
	wg.Wait()
	w.note("%d streams, %d cut by the entry after their last event, %d of them not complete after the client's retry either", all.all, all.cut, all.lost)
	return all.cut > cutLimit, nil
}
