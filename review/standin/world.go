package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is one scenario: the store, the replicas, the entries and the record.
type world struct {
	trouble bool
	start   time.Time
	dir     string
	store   *store

	mu       sync.Mutex
	out      *os.File
	replicas map[string]*replica
	entries  []*entry
	closed   bool
}

// newWorld starts the store and opens the record.
func newWorld(record string, trouble bool) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, start: time.Now(), dir: dir, out: out, replicas: map[string]*replica{}}
	w.store, err = newStore()
	if err != nil {
		return nil, err
	}
	w.record("trouble=%v", trouble)
	return w, nil
}

// record writes a line with the time since the start in milliseconds.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%6d %s\n", time.Since(w.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// close ends the entries and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	entries := w.entries
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if closed {
		return
	}
	for _, e := range entries {
		e.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// renew ends the entries and the replicas, and starts a new store.
func (w *world) renew() error {
	w.mu.Lock()
	entries, replicas := w.entries, w.replicas
	w.entries, w.replicas = nil, map[string]*replica{}
	w.mu.Unlock()
	for _, e := range entries {
		e.kill()
	}
	for _, r := range replicas {
		r.crash()
	}
	var err error
	w.store, err = newStore()
	return err
}

// addReplica starts a replica and registers it in the store.
func (w *world) addReplica(r *replica) error {
	r.w, r.store = w, w.store
	if err := r.listen(); err != nil {
		return err
	}
	w.mu.Lock()
	w.replicas[r.address] = r
	w.mu.Unlock()
	go r.beat()
	w.record("replica %s at zone %s listed", r.id, r.zone)
	return nil
}

// replicaAt returns the replica at an address, or nil.
func (w *world) replicaAt(address string) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[address]
}

// entry is a process of the project under test.
type entry struct {
	w       *world
	name    string
	clients string
	ready   string
	config  string
	cmd     *exec.Cmd
	done    chan struct{}
}

const settingsText = `name = %q
clients = %q
readiness = %q
operators = %q
metrics = %q
peers = %q
seeds = [%q]
store = %q

[place]
host = %q
zone = %q
region = "ch-mittelland"

[limits]
memoryMB = 134
graceSeconds = 8
addressReuseSeconds = 2

[retries]
ratio = 0.8
slack = 150
windowSeconds = 10
`

// startEntry starts an entry with the command of the deploy file and waits until it is
// ready.
func (w *world) startEntry(name, zone string) (*entry, error) {
	started, err := w.startEntries([]string{name}, []string{zone})
	if err != nil {
		return nil, err
	}
	return started[0], nil
}

// startEntries starts entries that know each other. As on the platform, their ports are the
// same, and their addresses differ.
func (w *world) startEntries(names, zones []string) ([]*entry, error) {
	const ports = 5
	port := make([]string, ports)
	for i := range port {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		_, port[i], _ = net.SplitHostPort(a)
	}
	at := func(entry, service int) string { return fmt.Sprintf("127.0.1.%d:%s", entry+1, port[service]) }
	var started []*entry
	for i, name := range names {
		e := &entry{w: w, name: name, clients: at(i, 0), ready: at(i, 1), config: filepath.Join(w.dir, name+".toml")}
		text := fmt.Sprintf(settingsText, name, at(i, 0), at(i, 1), at(i, 2), at(i, 3), at(i, 4), at(0, 2), w.store.address, name, zones[i])
		if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
			return nil, err
		}
		w.mu.Lock()
		w.entries = append(w.entries, e)
		w.mu.Unlock()
		if err := e.startProcess(); err != nil {
			return nil, err
		}
		started = append(started, e)
	}
	return started, nil
}

// startProcess starts the process and waits until it is ready.
func (e *entry) startProcess() error {
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if path := os.Getenv("ENTRY_LOG"); path != "" {
		if log, err = os.Create(path + "." + e.name); err != nil {
			return err
		}
	}
	e.cmd = exec.Command("target/foxtailward", "direct", "--config", e.config)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.done = make(chan struct{})
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.w.record("entry %s started", e.name)
	go func() {
		_ = e.cmd.Wait()
		e.w.record("entry %s ended", e.name)
		close(e.done)
	}()
	return e.awaitReady()
}

// awaitReady waits until the entry is ready.
func (e *entry) awaitReady() error {
	for range 200 {
		res, err := http.Get("http://" + e.ready + "/api/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				e.w.record("entry %s ready", e.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry %s does not become ready", e.name)
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.w.record("entry %s gets signal %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process if it still runs.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	select {
	case <-e.done:
	case <-time.After(2 * time.Second):
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
