package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	kv "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/platform"
)

const (
	routeHost = "ficu95.example"
	clientKey = "xd9dnn2ctnfzs989anu6"
	// startTimeout is how long entries may take until they are ready.
	startTimeout = 15 * time.Second
	// beatInterval is how often a replica writes its entry.
	beatInterval = 1200 * time.Millisecond
)

// world is a small deployment on loopback addresses.
type world struct {
	program, dir string
	began        time.Time

	kv        *kv.Service
	store     store.Store
	storeHTTP *http.Server
	storeAt   string
	// storeDown is set while the store is down: it answers 503 to all, and does nothing.
	storeDown atomic.Bool

	entries  []*entry
	replicas []*replica
	proxies  []*proxy

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newWorld(program, record string) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, began: time.Now(), kv: kv.New(kv.Options{}), file: file, record: bufio.NewWriter(file)}
	w.store = w.kv.Direct()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	w.storeHTTP = &http.Server{Handler: w.storeHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = w.storeHTTP.Serve(l) }()
	return w, nil
}

// storeHandler serves the store.
func (w *world) storeHandler() http.Handler {
	up := platform.NewStoreHandler(w.store, w.kv.Era)
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if w.storeDown.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		up.ServeHTTP(out, r)
	})
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers.
func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, r := range w.replicas {
		r.close()
	}
	for _, p := range w.proxies {
		p.close()
	}
	_ = w.storeHTTP.Close()
	w.kv.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// put writes an item of the operator or of a replica.
func (w *world) put(key string, value any) error {
	if w.storeDown.Load() {
		return errors.New("the store is down")
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = w.store.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: data}}})
	return err
}

// object is a JSON object.
type object = map[string]any

// putConfig writes the operator's configuration.
func (w *world) putConfig(version int, routes, services []object) error {
	return w.put("op/config", object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []object{{"name": "huka270", "api-keys": []string{clientKey}, "priority": 1}},
	})
}

// entry is an entry that runs as a process of its own.
type entry struct {
	w                *world
	name             string
	clients, ready   string
	settings, logged string
	cmd              *exec.Cmd
	exited           chan struct{}
}

// freePort returns a port that nobody listens on at some loopback addresses.
func freePort(hosts []string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if portIsFree(hosts, port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func portIsFree(hosts []string, port int) bool {
	for _, host := range hosts {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startEntries starts entries with settings as the deploy file's template fills them in, and waits until they are
// ready. All entries use the same ports, each on an address of its own.
func (w *world) startEntries(count, memoryMB int) error {
	hosts := make([]string, count)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("127.0.0.%d", i+2)
	}
	var ports [5]int
	for i := range ports {
		port, err := freePort(hosts)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	for i, host := range hosts {
		link, err := newProxy(w.storeAt)
		if err != nil {
			return err
		}
		w.proxies = append(w.proxies, link)
		at := func(n int) string { return fmt.Sprintf("%s:%d", host, ports[n]) }
		e := &entry{w: w, name: fmt.Sprintf("edge-%d", i+1), clients: at(0), ready: at(1)}
		e.settings, e.logged = filepath.Join(w.dir, e.name+".toml"), filepath.Join(w.dir, e.name+".log")
		text := fmt.Sprintf(`name = %q
clients = %q
readiness = %q
operators = %q
metrics = %q
peers = %q
seeds = [%q]
store = %q
contract = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[place]
host = %q
zone = %q
region = "r"
[limits]
memoryMB = %d
maxFDs = 4100
cpuShare = 0.304
linkMbps = 1000.0
graceSeconds = 8
addressReuseSeconds = 2
[retries]
ratio = 0.8
slack = 150
windowSeconds = 10
`, e.name, at(0), at(1), at(2), at(4), at(3), fmt.Sprintf("%s:%d", hosts[0], ports[2]), link.address(), e.name, fmt.Sprintf("z%d", i+1), memoryMB)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the program with the command of the deploy file.
func (e *entry) start() error {
	log, err := os.Create(e.logged)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(e.w.program, "direct", "--config", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func() {
		err := e.cmd.Wait()
		e.w.note("process %s has ended: %v", e.name, err)
		close(e.exited)
	}()
	e.w.note("process %s started", e.name)
	return nil
}

// awaitReady waits until the entry says that it is ready.
func (e *entry) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	res, err := client.Get("http://" + e.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// terminate sends SIGTERM.
func (e *entry) terminate() {
	e.w.note("SIGTERM to %s", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
}

// kill ends the process if it still runs.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	select {
	case <-e.exited:
		return
	default:
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
}
