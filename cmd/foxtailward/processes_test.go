package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patience bounds each wait of the test; it is no measure.
const patience = 30 * time.Second

// fleet is the programs as processes of their own, as docs/RUN.md starts them.
type fleet struct {
	t    *testing.T
	dir  string
	main string
	lab  string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.main, f.lab = filepath.Join(f.dir, "foxtailward"), filepath.Join(f.dir, "foxtailward-lab")
	for path, out := range map[string]string{"../foxtailward": f.main, "../foxtailward-lab": f.lab} {
		build := exec.Command("go", "build", "-o", out, path)
		if text, err := build.CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v\n%s", path, err, text)
		}
	}
	return f
}

// process is one running program.
type process struct {
	cmd   *exec.Cmd
	lines chan string
	done  chan error
}

// start starts a program that is killed when the test ends.
func (f *fleet) start(program string, args ...string) *process {
	f.t.Helper()
	p := &process{cmd: exec.Command(program, args...), lines: make(chan string, 4096), done: make(chan error, 1)}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			select {
			case p.lines <- lines.Text():
			default:
			}
		}
		p.done <- p.cmd.Wait()
	}()
	f.t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// field waits for a line that holds mark and returns the value of key in it.
func (p *process) field(t *testing.T, mark, key string) string {
	t.Helper()
	return valueOf(p.line(t, mark), key)
}

// valueOf returns the value that follows key in a line.
func valueOf(line, key string) string {
	_, rest, _ := strings.Cut(line, key)
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// line waits for a line that holds mark.
func (p *process) line(t *testing.T, mark string) string {
	t.Helper()
	deadline := time.After(patience)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, mark) {
				return line
			}
		case err := <-p.done:
			t.Fatalf("the process ended before it said %q: %v", mark, err)
		case <-deadline:
			t.Fatalf("no line with %q came", mark)
		}
	}
}

// dump writes what a program printed to the test's log.
func (p *process) dump(t *testing.T) {
	t.Helper()
	for len(p.lines) > 0 {
		t.Log(<-p.lines)
	}
}

// standIn starts a stand-in and returns its base URL.
func (f *fleet) standIn(args ...string) (*process, string) {
	p := f.start(f.lab, args...)
	return p, "http://" + p.field(f.t, "listening on", "listening on ")
}

// config writes a settings file and returns its path.
func (f *fleet) config(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// entry starts an entry and returns it with its addresses.
func (f *fleet) entry(name, store string) (p *process, callers, operators string) {
	path := f.config(name, fmt.Sprintf(`name = %q
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[place]
host = %q
zone = "olten"
region = "ch-mittelland"
[platform]
stores = [%q]
`, name, "host-"+name, store))
	p = f.start(f.main, "entry", "--config", path)
	line := p.line(f.t, "callers=")
	return p, "http://" + valueOf(line, "callers="), valueOf(line, "operators=")
}

// target starts a target process beside an engine.
func (f *fleet) target(name, engine, store string) *process {
	path := f.config(name, fmt.Sprintf(`name = %q
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[place]
host = %q
zone = "aarau"
region = "ch-mittelland"
[platform]
stores = [%q]
[engine]
url = %q
model = "report"
version = "v1"
slots = 16
`, name, "host-"+name, store, engine))
	return f.start(f.main, "target", "--config", path)
}

// run runs a command to its end and returns its output.
func (f *fleet) run(program string, args ...string) string {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("%s %s: %v\n%s", filepath.Base(program), strings.Join(args, " "), err, out)
	}
	return string(out)
}

const fleetContract = `name = "staplerdienst"
class = "long"
models = ["report"]
keys = ["%s"]
[limits]
tokensPerSecond = 100000
requestsPerSecond = 100
`

// stream asks for an answer and gives its text piece by piece.
type stream struct {
	id, lastID string
	text       strings.Builder
	lines      *bufio.Scanner
	body       io.Closer
}

func (s *stream) open(ctx context.Context, method, url, key, body string) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Accept", "text/event-stream")
	if s.lastID != "" {
		r.Header.Set("Last-Event-ID", s.lastID)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	s.id, s.lines, s.body = resp.Header.Get("Foxtailward-Request"), bufio.NewScanner(resp.Body), resp.Body
	return nil
}

// read reads up to n events and reports whether the answer's end came.
func (s *stream) read(n int) (bool, error) {
	for events := 0; events < n && s.lines.Scan(); {
		line := s.lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			s.lastID = value
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return true, nil
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return false, err
		}
		for _, c := range chunk.Choices {
			s.text.WriteString(c.Text)
		}
		events++
	}
	return false, s.lines.Err()
}

// waitReady waits until an entry sees so many members ready.
func (f *fleet) waitReady(operators string, members int) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		var seen struct{ Members []struct{ State string } }
		if err := json.Unmarshal([]byte(f.run(f.main, "status", "--entry", operators, "--output", "json")), &seen); err != nil {
			f.t.Fatal(err)
		}
		ready := 0
		for _, m := range seen.Members {
			if m.State == "ready" {
				ready++
			}
		}
		if ready == members {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("the entry at %s did not see %d ready members in time", operators, members)
}

// The whole path as separate processes: an engine, a target process and an
// entry are killed with SIGKILL in the middle of one answer; the text is exact.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	_, store := f.standIn("store")
	engineArgs := []string{"engine", "--model", "report", "--version", "v1", "--step-cost", "4ms"}
	engines, targets := map[string]*process{}, map[string]*process{}
	for _, name := range []string{"report-1", "report-2", "report-3", "report-4"} {
		p, url := f.standIn(engineArgs...)
		engines[name] = p
		targets[name] = f.target(name, url, store)
	}
	var fresh struct{ Key, Hash string }
	is.NoErr(json.Unmarshal([]byte(f.run(f.main, "contract", "key", "--output", "json")), &fresh))
	key := fresh.Key
	f.run(f.main, "contract", "put", f.config("contract", fmt.Sprintf(fleetContract, fresh.Hash)), "--store", store)
	first, url1, operators1 := f.entry("entry-1", store)
	second, url2, operators2 := f.entry("entry-2", store)
	f.waitReady(operators1, 6)
	f.waitReady(operators2, 6)

	const tokens = 1200
	s := &stream{}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	defer func() {
		if t.Failed() {
			first.dump(t)
			second.dump(t)
		}
	}()
	body := fmt.Sprintf(`{"model":"report","prompt":"truck 7","max_tokens":%d,"stream":true}`, tokens)
	is.NoErr(s.open(ctx, http.MethodPost, url1+"/v1/completions", key, body))
	_, err := s.read(100)
	is.NoErr(err)

	carrier := first.field(t, s.id+" attempt=1 ", "target=")
	is.NoErr(engines[carrier].cmd.Process.Signal(syscall.SIGKILL))
	_, err = s.read(100)
	is.NoErr(err)

	carrier = first.field(t, s.id+" attempt=2 ", "target=")
	is.NoErr(targets[carrier].cmd.Process.Signal(syscall.SIGKILL))
	_, err = s.read(100)
	is.NoErr(err)

	is.NoErr(first.cmd.Process.Signal(syscall.SIGKILL))
	s.body.Close()
	is.NoErr(s.open(ctx, http.MethodGet, url2+"/v1/answers/"+s.id, key, ""))
	done, err := s.read(tokens)
	is.NoErr(err)
	is.True(done)
	want := f.run(f.lab, "expect", "--model", "report", "--version", "v1", "--prompt", "truck 7", "--max-tokens", fmt.Sprint(tokens))
	is.Equal(strings.TrimSpace(s.text.String()), strings.TrimSpace(want))
}
