package main_test

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// signalInterval is the time between two signals of a series.
const signalInterval = time.Millisecond

// exit sends signals in series until the process has ended, and returns its exit code, which is
// -1 if a signal ended it.
func (p *process) exit(t *testing.T, signals ...os.Signal) int {
	t.Helper()
	deadline := time.After(waitTimeout)
	for i := 0; ; i++ {
		select {
		case <-p.done:
			return p.cmd.ProcessState.ExitCode()
		case <-deadline:
			t.Fatal("the process did not end in time")
		case <-time.After(signalInterval):
			// The process may have ended since.
			_ = p.cmd.Process.Signal(signals[i%len(signals)])
		}
	}
}

// daemons returns functions that start one daemon of each kind, which has written processStarted.
func daemons(t *testing.T) map[string]func(i int) *process {
	t.Helper()
	d := newDirectCluster(t)
	c := d.cluster
	_, store := c.standIn("store")
	_, engine := c.standIn("engine", "--model", "report", "--version", "v1")
	d.putConfig(1)
	return map[string]func(i int) *process{
		"entry": func(i int) *process {
			p, _, _ := c.entry(fmt.Sprint("entry-", i), store)
			return p
		},
		"target": func(i int) *process {
			p := c.target(fmt.Sprint("target-", i), engine, store)
			p.line(t, "name=processStarted")
			return p
		},
		"direct": func(i int) *process {
			p, _ := d.startEntry(i)
			return p
		},
	}
}

// Guards against a daemon that is ended by a signal instead of by its own exit while it stops.
func TestSignalsUntilExit(t *testing.T) {
	series := map[string][]os.Signal{
		"hangups":           {syscall.SIGHUP},
		"stops":             {syscall.SIGTERM},
		"hangups and stops": {syscall.SIGHUP, syscall.SIGTERM},
	}
	for kind, start := range daemons(t) {
		i := 0
		for name, signals := range series {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				p := start(i)
				i++
				for range 20 {
					is.NoErr(p.cmd.Process.Signal(syscall.SIGHUP))
					time.Sleep(signalInterval)
				}
				is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
				is.Equal(p.exit(t, signals...), 0)
			})
		}
	}
}

// Guards against a daemon that a signal ends before it has read its settings.
func TestSignalsBeforeSettings(t *testing.T) {
	c := newCluster(t)
	const exitInvalid = 3
	for _, kind := range []string{"entry", "target", "direct"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			path := c.dir + "/" + kind + ".toml"
			is.NoErr(syscall.Mkfifo(path, 0o600))
			p := c.start(c.mainPath, kind, "--config", path)
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the daemon reads
			is.NoErr(err)
			for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				is.NoErr(p.cmd.Process.Signal(s))
				time.Sleep(20 * time.Millisecond)
			}
			_, err = settings.WriteString("unknown = 1\n")
			is.NoErr(err)
			is.NoErr(settings.Close())
			<-p.done
			is.Equal(p.cmd.ProcessState.ExitCode(), exitInvalid)
		})
	}
}
