package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

const (
	// graceTime is the entries' grace time, and graceSlack what an end may take
	// beyond it.
	graceTime  = 8 * time.Second
	graceSlack = 2 * time.Second
	// readyWait bounds a start.
	readyWait = 15 * time.Second
	// readyCheck is the time between two looks whether an entry takes work.
	readyCheck = 200 * time.Millisecond
	probeWait  = time.Second
)

// Ports of all entries; their addresses differ.
const (
	clientPort    = 21000
	readinessPort = 21001
	operatorPort  = 21002
	peerPort      = 21003
	storePort     = 21010
)

// process is one entry, which is started again after its end.
type process struct {
	w    *world
	name string
	host string
	zone int
	// clients and store are the links to its clients and to the key-value service.
	clients *proxy
	store   *proxy

	// inRotation says that it answered as ready a moment ago.
	inRotation atomic.Bool

	// restarting is held by whoever ends the program to start it again.
	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the program has ended.
	ended chan struct{}
	// expected says that the program was told to end.
	expected bool
}

func newProcess(w *world, i int) (*process, error) {
	p := &process{w: w, name: fmt.Sprintf("e%d", i), host: w.host(1, i), zone: i % zones}
	var err error
	if p.clients, err = newProxy(w.host(0, 1)+":0", fmt.Sprintf("%s:%d", p.host, clientPort)); err != nil {
		return nil, err
	}
	p.store, err = newProxy(w.host(0, 1)+":0", w.storeAddress())
	return p, err
}

// settings returns the entry's settings file.
func (p *process) settings() string {
	seeds := fmt.Sprintf("%q, %q", fmt.Sprintf("%s:%d", p.w.host(1, 0), operatorPort), fmt.Sprintf("%s:%d", p.w.host(1, 1), operatorPort))
	return fmt.Sprintf(`name = %q
clients = "%s:%d"
readiness = "%s:%d"
operators = "%s:%d"
peers = "%s:%d"
seeds = [%s]
store = %q
[place]
host = %q
zone = %q
region = "soak"
[limits]
memoryMB = 200
graceSeconds = %v
addressReuseSeconds = %v
[retries]
ratio = 0.8
slack = 150
windowSeconds = 10
`, p.name, p.host, clientPort, p.host, readinessPort, p.host, operatorPort, p.host, peerPort, seeds,
		p.store.address(), p.name, zoneName(p.zone), graceTime.Seconds(), reuseTime.Seconds())
}

// start starts the program. It ends with this process, whatever happens.
func (p *process) start() error {
	const op = "process.start"
	path := filepath.Join(p.w.opts.Dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return fault.Wrap(op, Failed, err)
	}
	log, err := os.OpenFile(filepath.Join(p.w.opts.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fault.Wrap(op, Failed, err)
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.w.opts.Program, "direct", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fault.Wrap(op, Failed, err)
	}
	p.cmd, p.ended, p.expected = cmd, make(chan struct{}), false
	go p.wait(cmd, p.ended)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.inRotation.Store(false)
	p.mu.Lock()
	expected := p.expected
	p.mu.Unlock()
	if !expected {
		p.w.ledger.breaks(ProcessLifecycle, "", "%s ended by itself: %v", p.name, err)
	}
	close(ended)
}

// signal sends a signal to the running program, if there is one.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	// A program that has ended meanwhile takes no signal.
	_ = p.cmd.Process.Signal(s)
}

// kill ends the program at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitEnd(graceSlack)
}

// terminate lets the program finish what it does. A paused one goes on first.
func (p *process) terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.awaitEnd(graceTime + graceSlack) {
		if !p.w.opts.SafetyOnly {
			p.w.ledger.breaks(ProcessLifecycle, "", "%s did not end within its grace time", p.name)
		}
		p.kill()
	}
}

func (p *process) awaitEnd(wait time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	default:
	}
	select {
	case <-ended:
		return true
	case <-time.After(wait):
		return false
	}
}

// restart starts the program again and waits until it takes work.
func (p *process) restart(ctx context.Context) {
	if err := p.start(); err != nil {
		p.w.ledger.breaks(ProcessLifecycle, "", "%s can't be started: %v", p.name, err)
		return
	}
	p.awaitReady(ctx)
}

func (p *process) awaitReady(ctx context.Context) bool {
	for deadline := time.Now().Add(readyWait); time.Now().Before(deadline) && ctx.Err() == nil; {
		if p.ready(ctx) {
			p.inRotation.Store(true)
			return true
		}
		if p.awaitEnd(0) {
			return false
		}
		time.Sleep(readyCheck / 4)
	}
	return false
}

// watch keeps inRotation in step until ctx ends: two misses in a row take an
// entry out.
func (p *process) watch(ctx context.Context) {
	misses := 0
	for ctx.Err() == nil {
		if p.ready(ctx) {
			misses = 0
			p.inRotation.Store(true)
		} else if misses++; misses >= 2 {
			p.inRotation.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyCheck):
		}
	}
}

// ready reports whether the entry says that it takes work.
func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", p.host, readinessPort, p.w.dialect.ReadyPath)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := p.w.probes.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// close ends the program and its links.
func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.kill()
	p.clients.close()
	p.store.close()
}
