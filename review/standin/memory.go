package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of an edge machine, and bodyBytes the largest body that the
	// configuration allows.
	memoryMB  = 134
	bodyBytes = 4194304
	// usualClients is the number of clients that send at the same time, and burstTenths how
	// many tenths of them come in a burst.
	usualClients = 20
	burstTenths  = 17
	// bodyGap is the time between two clients' large bodies.
	bodyGap = 40 * time.Millisecond
	// memoryPoll is how often the platform looks at the memory of a process.
	memoryPoll = 2 * time.Millisecond
)

// resident returns the memory of a process in bytes.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// limitMemory kills the entry when it exceeds its memory, as the platform does. The
// function that it returns ends that, and returns the peak.
func (e *entry) limitMemory(limit int) func() int {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	peak := 0
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-e.done:
				return
			case <-time.After(memoryPoll):
			}
			used := resident(e.cmd.Process.Pid)
			peak = max(peak, used)
			if used > limit {
				e.w.record("entry %s uses %d bytes, more than its %d", e.name, used, limit)
				e.signal(syscall.SIGKILL)
				return
			}
		}
	})
	return func() int {
		close(stop)
		wg.Wait()
		return peak
	}
}

// largeBodies plays clients that send bodies of the allowed size at the same time.
func largeBodies(w *world) ([]string, error) {
	w.store.put("op/config", []byte(configText))
	for _, zone := range []string{"za", "zb", "zc"} {
		r := &replica{id: "p-" + zone, zone: zone, service: "parts", slots: 16, work: 3 * time.Second}
		if err := w.addReplica(r); err != nil {
			return nil, err
		}
	}
	e, err := w.startEntry("edge-1", "za")
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	clients := usualClients
	if w.trouble {
		clients = usualClients * burstTenths / 10
	}
	var kept []*client
	var small results
	for i := range clients {
		c, err := w.dial(e)
		if err != nil {
			return nil, err
		}
		defer c.close()
		kept = append(kept, c)
		small.wg.Go(func() {
			small.add(c.do(request{attempt: fmt.Sprintf("%016x", 0x1a00+i), method: "POST", path: "/parts/small", body: "x"}))
		})
	}
	small.wg.Wait()
	for _, res := range small.list {
		if !res.complete || res.status != 200 {
			return nil, fmt.Errorf("a small request failed: %d, %v", res.status, res.err)
		}
	}
	time.Sleep(time.Second)
	peak := e.limitMemory(memoryMB << 20)
	var rs results
	body := string(bytes.Repeat([]byte("x"), bodyBytes))
	for i, c := range kept {
		rs.wg.Go(func() {
			rs.add(c.do(request{attempt: fmt.Sprintf("%016x", 0x1b00+i), method: "POST", path: "/parts/large", body: body}))
		})
		time.Sleep(bodyGap)
	}
	rs.wg.Wait()
	w.record("peak of the entry's memory: %d bytes", peak())
	return w.unanswered(rs.list), nil
}

// unanswered returns the requests that a replica ran and whose channel ended without an
// answer, if there are more than three.
func (w *world) unanswered(list []result) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lost []string
	for _, r := range list {
		if r.status != 0 {
			continue
		}
		for _, replica := range w.replicas {
			replica.mu.Lock()
			if replica.ran[r.attempt] > 0 {
				lost = append(lost, fmt.Sprintf("LOST: %s was passed on to %s, and its kept channel was closed without an answer", r.attempt, replica.id))
			}
			replica.mu.Unlock()
		}
	}
	if len(lost) <= 3 {
		return nil
	}
	return lost
}
