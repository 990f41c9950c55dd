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
	// graceTime is the entries' grace period on termination, and exitSlack how much
	// later the process may exit.
	graceTime = 8 * time.Second
	exitSlack = 2 * time.Second
	// startTimeout is the maximum time until a started entry takes requests.
	startTimeout = 15 * time.Second
	// readyInterval is the time between two readiness checks of an entry.
	readyInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// Ports of the entries and of the key-value service. All entries use the same ports
// on different addresses.
const (
	clientPort    = 21000
	readinessPort = 21001
	operatorPort  = 21002
	peerPort      = 21003
	storePort     = 21010
)

// process is an entry that runs as its own operating-system process. Faults and
// planned work stop the process and start it again.
type process struct {
	w    *world
	name string
	host string
	zone int
	// clients is the link from clients to the entry, store the one from the entry to
	// the key-value service.
	clients *proxy
	store   *proxy

	// inRotation is set while readiness checks succeed. Clients connect to entries in
	// rotation.
	inRotation atomic.Bool

	// restartMu is held from stopping the program until it is started again.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the program has exited.
	exited chan struct{}
	// terminatedAt is when a program was last sent SIGTERM.
	terminatedAt time.Time
	// exitExpected is set once the program was sent SIGTERM or SIGKILL.
	exitExpected bool
}

func newProcess(w *world, i int) (*process, error) {
	p := &process{w: w, name: fmt.Sprintf("e%d", i), host: w.host(1, i), zone: i % zoneCount}
	var err error
	if p.clients, err = newProxy(w.host(0, 1)+":0", fmt.Sprintf("%s:%d", p.host, clientPort)); err != nil {
		return nil, err
	}
	p.store, err = newProxy(w.host(0, 1)+":0", w.storeAddress())
	return p, err
}

// settings returns the content of the entry's settings file.
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
		p.store.address(), p.name, zoneName(p.zone), graceTime.Seconds(), addressReuseTime.Seconds()) + p.rolloutSettings()
}

// rolloutSettings returns the part of the settings that has the entry serve roll-outs.
func (p *process) rolloutSettings() string {
	if !p.w.opts.Rollouts {
		return ""
	}
	return fmt.Sprintf("[rollouts]\nshare = %v\ntolerance = %d\nrevertMs = %d\n", rolloutShare, rolloutTolerance, revertTime.Milliseconds())
}

// start starts the program. The kernel kills it if this process ends.
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
	p.cmd, p.exited, p.exitExpected = cmd, make(chan struct{}), false
	go p.recordExit(cmd, p.exited)
	return nil
}

func (p *process) recordExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.inRotation.Store(false)
	p.mu.Lock()
	expected := p.exitExpected
	p.mu.Unlock()
	if !expected {
		p.w.history.recordViolation(ProcessLifecycle, "", "entry %s exited unexpectedly: %v", p.name, err)
	}
	close(exited)
}

// signal sends a signal to the running program, if there is one.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.exitExpected = true
	}
	if s == syscall.SIGTERM {
		p.terminatedAt = time.Now()
	}
	// An error means that the program has exited meanwhile.
	_ = p.cmd.Process.Signal(s)
}

// hangUp sends SIGHUP.
func (p *process) hangUp() { p.signal(syscall.SIGHUP) }

// lastTerminated returns when a program was last sent SIGTERM; zero for never.
func (p *process) lastTerminated() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terminatedAt
}

// kill sends SIGKILL and waits up to exitSlack until the program has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.waitForExit(exitSlack)
}

// terminate stops the program gracefully. It resumes a paused program first, and kills
// a program that does not exit within its grace period and exitSlack.
func (p *process) terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.waitForExit(graceTime + exitSlack) {
		if !p.w.opts.SafetyOnly {
			p.w.history.recordViolation(ProcessLifecycle, "", "entry %s did not exit within its grace period", p.name)
		}
		p.kill()
	}
}

func (p *process) waitForExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// restart starts the program again and waits until it takes requests.
func (p *process) restart(ctx context.Context) {
	if err := p.start(); err != nil {
		p.w.history.recordViolation(ProcessLifecycle, "", "starting entry %s failed: %v", p.name, err)
		return
	}
	p.waitUntilReady(ctx)
}

func (p *process) waitUntilReady(ctx context.Context) bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if p.ready(ctx) {
			p.inRotation.Store(true)
			return true
		}
		if p.waitForExit(0) {
			return false
		}
		time.Sleep(readyInterval / 4)
	}
	return false
}

// watchReadiness updates inRotation until ctx ends. Two failed checks in a row take
// the entry out of rotation.
func (p *process) watchReadiness(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if p.ready(ctx) {
			failures = 0
			p.inRotation.Store(true)
		} else if failures++; failures >= 2 {
			p.inRotation.Store(false)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyInterval):
		}
	}
}

// ready reports whether the entry's readiness check succeeds.
func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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

// close kills the program and closes its links.
func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.kill()
	p.clients.close()
	p.store.close()
}
