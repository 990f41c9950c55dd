package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["late"] = lateWrite }

const (
	// lateTime is how long after it was sent a write is done whose answer was lost.
	lateTime = 3400 * time.Millisecond
	// eventGap is the time between two events, of which a stream has streamEvents.
	eventGap     = 150 * time.Millisecond
	streamEvents = 60
	// streams is the number of streams that begin.
	streams = 144
	// restartTime is how long the entries are away.
	restartTime = 500 * time.Millisecond
)

// streamRun returns the run of an engine whose events name its software version. It goes on after Last-Event-Id.
func streamRun(version string) func(c net.Conn, r *http.Request, body []byte) bool {
	return func(c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Foxtailward-Attempt-Id")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Response-Signature: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
			return false
		}
		for i := last + 1; i <= streamEvents; i++ {
			time.Sleep(eventGap)
			event := fmt.Sprintf("id: %d\ndata: of %s\n\n", i, version)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// streamOf reads a stream, and returns how many events of each version it has, its last event, and its status.
func streamOf(address string, q request) (versions map[string]int, last, status int) {
	versions = map[string]int{}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return versions, 0, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(q.timeout))
	if _, err := io.WriteString(c, q.encode()); err != nil {
		return versions, 0, 0
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return versions, 0, 0
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(id)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: of "); ok {
			versions[version]++
		}
	}
	return versions, last, res.StatusCode
}

// addEngines starts n engines of a software version.
func (w *world) addEngines(version string, n int) ([]*replica, error) {
	var rs []*replica
	for i := range n {
		r, err := w.newReplica("llm", fmt.Sprintf("i-%s-%d", version, i), streamRun(version))
		if err != nil {
			return nil, err
		}
		r.zone, r.born, r.version, r.slots = fmt.Sprintf("z%d", i%3), time.Now().UnixMilli(), version, 12
		w.store.register(r, "ready")
		r.beat(nil, func() string { return "ready" })
		rs = append(rs, r)
	}
	return rs, nil
}

// client is what a client has of a stream.
type client struct {
	q        request
	versions map[string]int
	last     int
}

// lateWrite has the store do a write late whose answer was lost, just before all entries are killed.
func lateWrite(w *world) (int, error) {
	w.store.putConfig(1, keys, siteRoutes...)
	if _, err := w.addEngines("v1", 24); err != nil {
		return 0, err
	}
	if _, err := w.addReplicas("shop", 3, plainRun); err != nil {
		return 0, err
	}
	w.addEntries(1)
	if err := w.startAll("/list/warm"); err != nil {
		return 0, err
	}
	e := w.entries[0]
	time.Sleep(contactTime + 3*time.Second)
	if w.trouble {
		done := w.store.loseNext(lateTime)
		w.note("the answer to the next write is lost, and the write is done %v later", lateTime)
		<-done
		w.note("a write has been lost")
	}
	time.Sleep(time.Second)
	next, err := w.addEngines("v2", 3)
	if err != nil {
		return 0, err
	}
	w.note("three engines of v2 have started")
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var clients []*client
	for i := range streams {
		wg.Go(func() {
			q := request{method: http.MethodPost, path: "/report/" + newID(), id: newID(), header: keyed(), body: newID(), timeout: 20 * time.Second}
			q.header["X-Foxtailward-Model"] = "m"
			q.header["X-Foxtailward-Token-Count"] = "100,400"
			q.header["X-Foxtailward-Prompt-Prefix"] = fmt.Sprintf("%x:100", i+1)
			c := &client{q: q}
			c.versions, c.last, _ = streamOf(e.address(), q)
			mu.Lock()
			clients = append(clients, c)
			mu.Unlock()
		})
	}
	time.Sleep(1200 * time.Millisecond)
	for _, r := range next {
		r.off.Store(true)
		w.store.remove("servers/" + r.id)
	}
	w.note("the entries of v2 are removed; its engines serve for drain-ms")
	if w.trouble {
		w.store.awaitLate()
		w.note("the lost write is done")
	}
	time.Sleep(20 * time.Millisecond)
	_ = e.cmd.Process.Kill()
	<-e.ended
	time.Sleep(restartTime)
	if err := e.start(); err != nil {
		return 0, err
	}
	wg.Wait()
	time.Sleep(time.Second)
	for _, r := range next {
		r.kill()
	}
	mixed, atV2 := 0, 0
	for _, c := range clients {
		if c.versions["v2"] == 0 {
			continue
		}
		atV2++
		wg.Go(func() {
			q := c.q
			q.id = newID()
			q.header = map[string]string{"Resumes": c.q.id, "Last-Event-Id": strconv.Itoa(c.last)}
			for name, value := range c.q.header {
				q.header[name] = value
			}
			versions, last, status := streamOf(e.address(), q)
			mu.Lock()
			defer mu.Unlock()
			w.note("stream %s: had %v up to %d; taken up: status %d, %v up to %d", c.q.id, c.versions, c.last, status, versions, last)
			if versions["v1"] > 0 {
				mixed++
			}
		})
	}
	wg.Wait()
	w.note("%d streams had events of v2, and %d of these hold events of both versions", atV2, mixed)
	switch {
	case atV2 < 4:
		return 0, fmt.Errorf("only %d streams began at v2", atV2)
	case mixed > 2:
		return broken, nil
	}
	return held, nil
}
