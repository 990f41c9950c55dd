package main

import (
	"fmt"
	"time"
)

// bothTime is how long a replica may work on after a request has gone on at another one.
const bothTime = 400 * time.Millisecond

// silentRun plays streams that may be resumed on replicas whose memory runs out. One of the
// replicas works on when the channel of a request closes.
func silentRun(w *world) ([]string, error) {
	capacity := 88000
	if !w.trouble {
		capacity *= 4
	}
	w.store.put("op/config", []byte(configText))
	replicas, err := w.engines("m", []string{"za", "zb", "zc", "za"}, 64, capacity, 40*time.Millisecond)
	if err != nil {
		return nil, err
	}
	replicas[3].stays = true
	e, err := w.startEntry("edge-1", "za")
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var rs results
	for n := range 40 {
		rs.stream(w, e, streamRequest("/report/r", n, 8200, 140))
		time.Sleep(20 * time.Millisecond)
	}
	rs.wg.Wait()
	time.Sleep(time.Second)
	return runsAtOnce(replicas), nil
}

// runsAtOnce returns the requests that went on at a replica while the one before worked on
// them for longer than bothTime.
func runsAtOnce(replicas []*replica) []string {
	var breaches []string
	for _, first := range replicas {
		for _, second := range replicas {
			for _, a := range first.past {
				for _, b := range second.past {
					both := a.endedAt.Sub(b.startedAt)
					if a != b && a.attempt == b.attempt && a.startedAt.Before(b.startedAt) && both > bothTime {
						breaches = append(breaches, fmt.Sprintf("TWICE: %s went on at %s while %s worked on it for %d ms more", a.attempt, second.id, first.id, both.Milliseconds()))
					}
				}
			}
		}
	}
	return breaches
}
