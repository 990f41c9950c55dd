package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// smallEdgeMB is the memory of the small edge machines of kolay-okuma-grown.
	smallEdgeMB = 112
	// readerCount is the number of clients that read slowly.
	readerCount = 600
	// readerBytes is what each of them reads in a second.
	readerBytes = 64
	// readerBurst is the number of requests in one write, and readerBursts limits the writes.
	readerBurst, readerBursts = 20, 400
	// callers is the number of ordinary clients; each tries a new channel tryCount times, every tryPause.
	callers, tryCount = 8, 16
	tryPause          = 500 * time.Millisecond
	// grownContact is contact-ms of the site.
	grownContact = 4 * time.Second
)

// slowReader is a client that sends small requests one after the other and reads the answers slowly.
func slowReader(e *entry, stop <-chan struct{}, wg *sync.WaitGroup) error {
	conn, err := dialSlow(e)
	if err != nil {
		return err
	}
	wg.Go(func() { readSlowly(conn, stop) })
	wg.Go(func() {
		request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Foxtailward-Attempt-Id: %s\r\nX-Foxtailward-Deadline-Ms: 1000\r\n\r\n", plainPath, routeHost, newAttempt())
		burst := strings.Repeat(request, readerBurst)
		for range readerBursts {
			if _, err := io.WriteString(conn, burst); err != nil {
				return
			}
		}
	})
	return nil
}

// readSlowly reads a little each second until it is told to stop, and closes the channel then.
func readSlowly(conn net.Conn, stop <-chan struct{}) {
	defer conn.Close()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	buffer := make([]byte, readerBytes)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			// The answers may not have come yet, or the entry may have closed the channel.
			_, _ = conn.Read(buffer)
		}
	}
}

// playReaders has clients that nobody controls read slowly, while ordinary clients come on new channels. Without the
// disruption only the ordinary ones come.
func playReaders(w *world, trouble bool) (bool, error) {
	if err := w.putConfig(7, []object{safeRoute(plain)}, []object{plainService(plain)}); err != nil {
		return false, err
	}
	if err := w.startReplicas(plain, 2); err != nil {
		return false, err
	}
	if err := w.startEntries(1, smallEdgeMB); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	e := w.entries[0]
	stop := make(chan struct{})
	var readers sync.WaitGroup
	defer readers.Wait()
	defer close(stop)
	if trouble {
		for range readerCount {
			if err := slowReader(e, stop, &readers); err != nil {
				return false, err
			}
		}
		w.note("%d clients without a key send requests and read %d bytes a second of the answers", readerCount, readerBytes)
		time.Sleep(2 * grownContact)
	}
	t := &tries{}
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { t.call(w, e) })
		time.Sleep(tryPause / callers)
	}
	for range int(tryCount * tryPause / time.Second) {
		t.note(e.isReady())
		time.Sleep(time.Second)
	}
	wg.Wait()
	w.note("%d ordinary clients tried %d new channels, %d were served; the longest time without one was %.1f s; the entry was ready at %d of %d questions",
		callers, t.all, t.served, t.longest.Seconds(), t.ready, t.asked)
	return t.longest > grownContact && t.ready == t.asked, nil
}

// tries counts the ordinary clients' tries.
type tries struct {
	mu           sync.Mutex
	all, served  int
	asked, ready int
	// first is when the first try began, and last when one was served last. longest is the longest time without that.
	first, last time.Time
	longest     time.Duration
}

// call tries a new channel again and again.
func (t *tries) call(w *world, e *entry) {
	for range tryCount {
		began := time.Now()
		served := false
		if c, err := newClient(w, e); err == nil {
			a := c.get(plainPath)
			served = a.status == 200 && a.err == nil
			c.close()
		} else {
			w.note("no channel to %s: %v", e.name, err)
		}
		t.add(began, served)
		time.Sleep(tryPause)
	}
}

func (t *tries) add(began time.Time, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.first.IsZero() {
		t.first, t.last = began, began
	}
	t.all++
	t.longest = max(t.longest, now.Sub(t.last))
	if served {
		t.served++
		t.last = now
	}
}

// note counts an answer to the question whether the entry is ready.
func (t *tries) note(ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if ready {
		t.ready++
	}
}
