package soak_test

import (
	"bufio"
	"context"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/soak"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func TestOptionsValidate(t *testing.T) {
	valid := soak.Options{Program: "p"}
	valid.SetDefaults()
	tests := map[string]func(o *soak.Options){
		"no program":       func(o *soak.Options) { o.Program = "" },
		"no entries":       func(o *soak.Options) { o.Entries = -1 },
		"too many entries": func(o *soak.Options) { o.Entries = 1000 },
		"too many engines": func(o *soak.Options) { o.Engines = 1000 },
		"too many clients": func(o *soak.Options) { o.Clients = 1000 },
		"a negative time":  func(o *soak.Options) { o.Duration = -time.Second },
	}
	is.New(t).NoErr(valid.Validate())
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			o := valid
			change(&o)
			is.New(t).True(fault.Is(o.Validate(), soak.Invalid))
		})
	}
}

// A plan follows from its seed and brings nothing about after its time.
func TestPlan(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		o := soak.Options{Seed: seed}
		is.Equal(soak.PlanText(o), soak.PlanText(o))
		is.True(soak.PlanFitsDuration(o))
		is.True(len(soak.PlanText(o)) > 0)
	}
	is.True(len(soak.PlanText(soak.Options{Seed: 1})) != len(soak.PlanText(soak.Options{Seed: 1, Duration: 10 * time.Minute})))
}

// Each promise that a ledger can tell by itself is told when it does not hold,
// and only then.
func TestLedgerAudit(t *testing.T) {
	tests := []struct {
		name    string
		write   func(l *soak.History)
		excused bool
		want    []soak.Guarantee
	}{
		{"a run", func(l *soak.History) { l.RecordRun("a", "t", "/u/1", "b", "acme") }, false, nil},
		{"an unsafe request twice", func(l *soak.History) {
			l.RecordRun("a", "t", "/u/1", "b", "acme")
			l.RecordRun("a", "t2", "/u/1", "b", "acme")
		}, true, []soak.Guarantee{soak.AtMostOnce}},
		{"refused and run", func(l *soak.History) {
			l.RecordRefusal("a")
			l.RecordRun("a", "t", "/u/1", "b", "acme")
		}, true, []soak.Guarantee{soak.RefusedNotRun}},
		{"another path", func(l *soak.History) { l.RecordRun("a", "t", "/u/2", "b", "acme") }, true, []soak.Guarantee{soak.MatchesRequest}},
		{"another body", func(l *soak.History) { l.RecordRun("a", "t", "/u/1", "c", "acme") }, true, []soak.Guarantee{soak.MatchesRequest}},
		{"another account", func(l *soak.History) { l.RecordRun("a", "t", "/u/1", "b", "") }, true, []soak.Guarantee{soak.MatchesRequest}},
		{"nobody's", func(l *soak.History) { l.RecordRun("z", "t", "/u/1", "b", "acme") }, true, []soak.Guarantee{soak.MatchesRequest}},
		{"work for nobody", func(l *soak.History) {
			l.RecordClientLeft("a", time.Minute)
			l.RecordRun("a", "t", "/u/1", "b", "acme")
		}, false, []soak.Guarantee{soak.StopsAfterDisconnect}},
		{"work for nobody in a fault", func(l *soak.History) {
			l.RecordClientLeft("a", time.Minute)
			l.RecordRun("a", "t", "/u/1", "b", "acme")
		}, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := soak.NewHistory()
			l.RecordSent("a", "/u/1", "b")
			tt.write(l)
			is.New(t).Equal(l.Audit(tt.excused), tt.want)
		})
	}
}

// echo returns the address of a server that sends lines back.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				lines := bufio.NewReader(c)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A silenced link delivers what was sent once it is open again; a reset one
// breaks its connections, and a refusing one takes none.
func TestProxy(t *testing.T) {
	is := is.New(t)
	p, err := soak.NewProxy(echo(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	defer c.Close()
	lines := bufio.NewReader(c)
	p.SetSilent(true)
	_, err = c.Write([]byte("held\n"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = lines.ReadString('\n')
	is.True(err != nil) // nothing comes while the link is silent
	p.SetSilent(false)
	is.NoErr(c.SetReadDeadline(time.Time{}))
	got, err := lines.ReadString('\n')
	is.NoErr(err)
	is.Equal(got, "held\n")
	p.Reset()
	_, err = lines.ReadString('\n')
	is.True(err != nil)
	p.RefuseConnections()
	refused, err := net.Dial("tcp", p.Address())
	if err == nil {
		_, err = bufio.NewReader(refused).ReadString('\n')
		_ = refused.Close()
	}
	is.True(err != nil)
}

// seedCase is a seed and how long its faults last. The faults of a seed come at
// the same times however long the run is.
type seedCase struct {
	seed  uint64
	lasts time.Duration
	cause string
}

// seeds are run each time. All but the first failed once, with the cause; they
// last until after the fault that they failed at.
var seeds = []seedCase{
	{1, 8 * time.Second, "a seed of every run"},
	{119, 22 * time.Second, "a stand-in could not listen again: a program that was just being started held its socket"},
	{306, 15 * time.Second, "an entry that was killed while somebody else started it stayed dead"},
}

// TestRun runs real entries under a few seconds of faults. It checks only what
// does not depend on the machine's speed.
func TestRun(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "foxtailward")
	text, err := exec.Command("go", "build", "-o", program, "../../../cmd/foxtailward").CombinedOutput()
	if err != nil {
		t.Fatalf("building foxtailward: %v\n%s", err, text)
	}
	for _, c := range seeds {
		r, err := soak.Run(context.Background(), soak.Options{
			Program: program, Dir: t.TempDir(), Seed: c.seed, Duration: c.lasts, SafetyOnly: true,
		})
		is.NoErr(err)
		is.True(r.Attempts > 0)
		for _, b := range r.Violations {
			t.Errorf("seed %d (%s): %v", c.seed, c.cause, b)
		}
	}
}
