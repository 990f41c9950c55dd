package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// oddRequests is the number of requests of each kind, and oddGap the time between two.
	oddRequests = 150
	oddGap      = 30 * time.Millisecond
)

// oddEntry plays an item among those of the replicas that comes from another writer and
// lacks some fields. Its address is the one at which an entry accepts clients.
func oddEntry(w *world) ([]string, error) {
	w.store.put("op/config", []byte(configText))
	for _, zone := range []string{"za", "zb"} {
		if err := w.addReplica(&replica{id: "p-" + zone, zone: zone, service: "parts", slots: 16, work: 30 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	e, err := w.startEntry("edge-1", "za")
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		item, err := json.Marshal(map[string]string{"service": "parts", "address": e.clients, "zone": "za", "state": "ready"})
		if err != nil {
			return nil, err
		}
		w.record("another writer puts servers/x-1: %s", item)
		w.store.put("servers/x-1", item)
		time.Sleep(time.Second)
	}
	var rs results
	for n := range oddRequests {
		rs.stream(w, e, request{attempt: fmt.Sprintf("%016x", 0x2000+n), method: "POST", path: "/parts/x", body: "order"})
		rs.stream(w, e, request{attempt: fmt.Sprintf("%016x", 0x3000+n), method: "GET", path: "/status/x"})
		time.Sleep(oddGap)
	}
	rs.wg.Wait()
	return denied(rs.list), nil
}

// denied returns how many proper requests were answered with a 3xx or 4xx that no replica
// gave, if there are more than the rule allows.
func denied(list []result) []string {
	byStatus := map[int]int{}
	n := 0
	for _, r := range list {
		switch r.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
			continue
		}
		if r.status >= 300 && r.status < 500 {
			byStatus[r.status]++
			n++
		}
	}
	if n <= 5+len(list)/500 {
		return nil
	}
	var breaches []string
	for status, count := range byStatus {
		breaches = append(breaches, fmt.Sprintf("DENIED: %d of %d proper requests with a valid key were answered with %d", count, len(list), status))
	}
	return breaches
}
