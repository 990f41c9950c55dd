package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the entries, as the platform fills them in on a small site.
const (
	contactTime = 3 * time.Second
	graceTime   = 8 * time.Second
	memoryMB    = 134
	maxFDs      = 4100
	host        = "shop.example"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is the platform of one case: its store, its replicas and its entries.
type world struct {
	*record
	dir     string
	store   *store
	entries []*entry
	// trouble says that the case plays its disruption.
	trouble bool
}

// entry is one process of the project.
type entry struct {
	w    *world
	name string
	ip   string
	port int
	// readiness is where it says whether it is ready.
	readiness string
	file      string
	cmd       *exec.Cmd
	log       *os.File
	ended     chan struct{}
	exitErr   error
}

// newWorld starts the store.
func newWorld(recordPath string) (*world, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	w.store, err = newStore()
	return w, err
}

// entryIP returns the address of an entry on the loopback network.
func entryIP(i int) string { return fmt.Sprintf("127.0.%d.1", 60+i) }

// freePort returns a port that is free at the addresses of n entries; 0 if it finds none.
func freePort(n int) int {
	for range 100 {
		l, err := net.Listen("tcp", entryIP(0)+":0")
		if err != nil {
			return 0
		}
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for i := 1; i < n; i++ {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", entryIP(i), port))
			if err != nil {
				free = false
				continue
			}
			_ = other.Close()
		}
		_ = l.Close()
		if free {
			return port
		}
	}
	return 0
}

// addEntries prepares n entries, each at an address of its own, with the same ports.
func (w *world) addEntries(n int) {
	ports := map[string]int{}
	for _, name := range []string{"clients", "readiness", "operators", "metrics", "peers"} {
		ports[name] = freePort(n)
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", entryIP(i), ports["operators"])))
	}
	for i := range n {
		e := &entry{w: w, name: fmt.Sprintf("edge-%d", i+1), ip: entryIP(i), port: ports["clients"]}
		e.readiness = fmt.Sprintf("%s:%d", e.ip, ports["readiness"])
		var b strings.Builder
		fmt.Fprintf(&b, "name = %q\n", e.name)
		for _, name := range []string{"clients", "readiness", "operators", "metrics", "peers"} {
			fmt.Fprintf(&b, "%s = \"%s:%d\"\n", name, e.ip, ports[name])
		}
		fmt.Fprintf(&b, "seeds = [%s]\nstore = %q\n", strings.Join(seeds, ", "), w.store.address)
		b.WriteString("contract = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\"]\n")
		fmt.Fprintf(&b, "\n[place]\nhost = %q\nzone = \"z%d\"\nregion = \"r\"\n", e.name, i%3)
		fmt.Fprintf(&b, "\n[limits]\nmemoryMB = %d\nmaxFDs = %d\ncpuShare = 0.304\nlinkMbps = 1000.0\ngraceSeconds = 8\naddressReuseSeconds = 2\n", memoryMB, maxFDs)
		b.WriteString("\n[retries]\nratio = 0.8\nslack = 150\nwindowSeconds = 10\n")
		e.file = filepath.Join(w.dir, e.name+".toml")
		_ = os.WriteFile(e.file, []byte(b.String()), 0o600)
		w.entries = append(w.entries, e)
	}
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	e.cmd = exec.Command("target/foxtailward", "direct", "--config", e.file)
	var err error
	if e.log, err = os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.w.note("%s starts, pid %d", e.name, e.cmd.Process.Pid)
	e.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		e.exitErr = cmd.Wait()
		e.w.note("%s has ended: %v", e.name, e.exitErr)
		close(ended)
	}(e.cmd, e.ended)
	return nil
}

// running reports whether the process has not ended.
func (e *entry) running() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// address returns where clients connect to the entry.
func (e *entry) address() string { return fmt.Sprintf("%s:%d", e.ip, e.port) }

// startAll starts all entries and waits until each answers.
func (w *world) startAll(path string) error {
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if !w.await(10*time.Second, func() bool {
			a := send(e.address(), request{method: "GET", path: path, id: newID(), header: keyed(), timeout: 4 * time.Second})
			return a.status == 200
		}) {
			return fmt.Errorf("%s does not serve", e.name)
		}
	}
	return nil
}

// await waits until a condition holds.
func (w *world) await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, e := range w.entries {
		if e.cmd != nil && e.running() {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.ended
		}
	}
	_ = os.RemoveAll(w.dir)
}
