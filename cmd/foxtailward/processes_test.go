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

// waitTimeout bounds each wait of the test. It is generous and says nothing about
// expected times.
const waitTimeout = 30 * time.Second

// cluster builds the two programs and runs them as separate processes, started in
// the way that docs/RUN.md describes.
type cluster struct {
	t        *testing.T
	dir      string
	mainPath string
	labPath  string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	c.mainPath, c.labPath = filepath.Join(c.dir, "foxtailward"), filepath.Join(c.dir, "foxtailward-lab")
	for path, out := range map[string]string{"../foxtailward": c.mainPath, "../foxtailward-lab": c.labPath} {
		build := exec.Command("go", "build", "-o", out, path)
		if text, err := build.CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v\n%s", path, err, text)
		}
	}
	return c
}

// process is one running program.
type process struct {
	cmd   *exec.Cmd
	lines chan string
	done  chan error
}

// start starts a program and kills it when the test ends.
func (c *cluster) start(program string, args ...string) *process {
	c.t.Helper()
	p := &process{cmd: exec.Command(program, args...), lines: make(chan string, 4096), done: make(chan error, 1)}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
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
	c.t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// field waits for a line that contains substr and returns the value of key in it.
func (p *process) field(t *testing.T, substr, key string) string {
	t.Helper()
	return valueOf(p.line(t, substr), key)
}

// valueOf returns the value that follows key in a line.
func valueOf(line, key string) string {
	_, rest, _ := strings.Cut(line, key)
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// line waits for a line that contains substr.
func (p *process) line(t *testing.T, substr string) string {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, substr) {
				return line
			}
		case err := <-p.done:
			t.Fatalf("the process ended before it printed %q: %v", substr, err)
		case <-deadline:
			t.Fatalf("no line with %q was printed in time", substr)
		}
	}
}

// logOutput writes the output that has not been read yet to the test's log.
func (p *process) logOutput(t *testing.T) {
	t.Helper()
	for len(p.lines) > 0 {
		t.Log(<-p.lines)
	}
}

// standIn starts a stand-in and returns its process and base URL.
func (c *cluster) standIn(args ...string) (*process, string) {
	p := c.start(c.labPath, args...)
	return p, "http://" + p.field(c.t, "listening on", "listening on ")
}

// config writes a TOML file and returns its path.
func (c *cluster) config(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// entry starts an entry and returns its process, the URL for callers and the address
// for operators.
func (c *cluster) entry(name, store string) (p *process, callerURL, operatorAddress string) {
	path := c.config(name, fmt.Sprintf(`name = %q
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
	p = c.start(c.mainPath, "entry", "--config", path)
	line := p.line(c.t, "callers=")
	return p, "http://" + valueOf(line, "callers="), valueOf(line, "operators=")
}

// target starts a target process beside an engine.
func (c *cluster) target(name, engine, store string) *process {
	path := c.config(name, fmt.Sprintf(`name = %q
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
	return c.start(c.mainPath, "target", "--config", path)
}

// run runs a command until it ends and returns its output.
func (c *cluster) run(program string, args ...string) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	if err != nil {
		c.t.Fatalf("%s %s: %v\n%s", filepath.Base(program), strings.Join(args, " "), err, out)
	}
	return string(out)
}

const clusterContract = `name = "staplerdienst"
class = "long"
models = ["report"]
keys = ["%s"]
[limits]
tokensPerSecond = 100000
requestsPerSecond = 100
`

// stream requests an answer and collects its text from the events.
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

// read reads up to n events and reports whether the answer is complete.
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
		for _, choice := range chunk.Choices {
			s.text.WriteString(choice.Text)
		}
		events++
	}
	return false, s.lines.Err()
}

// waitReady waits until an entry sees the given number of members as ready.
func (c *cluster) waitReady(operatorAddress string, members int) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		var status struct{ Members []struct{ State string } }
		if err := json.Unmarshal([]byte(c.run(c.mainPath, "status", "--entry", operatorAddress, "--output", "json")), &status); err != nil {
			c.t.Fatal(err)
		}
		ready := 0
		for _, m := range status.Members {
			if m.State == "ready" {
				ready++
			}
		}
		if ready == members {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("the entry at %s did not see %d ready members in time", operatorAddress, members)
}

// TestProcesses runs stand-ins, target processes and entries as separate processes,
// and kills an engine, a target process and an entry with SIGKILL in the middle of
// one answer. The text of the answer must still be exact.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	_, store := c.standIn("store")
	engineArgs := []string{"engine", "--model", "report", "--version", "v1", "--step-cost", "4ms"}
	engines, targets := map[string]*process{}, map[string]*process{}
	for _, name := range []string{"report-1", "report-2", "report-3", "report-4"} {
		p, url := c.standIn(engineArgs...)
		engines[name] = p
		targets[name] = c.target(name, url, store)
	}
	var generated struct{ Key, Hash string }
	is.NoErr(json.Unmarshal([]byte(c.run(c.mainPath, "contract", "key", "--output", "json")), &generated))
	key := generated.Key
	c.run(c.mainPath, "contract", "put", c.config("contract", fmt.Sprintf(clusterContract, generated.Hash)), "--store", store)
	first, callerURL1, operatorAddress1 := c.entry("entry-1", store)
	second, callerURL2, operatorAddress2 := c.entry("entry-2", store)
	c.waitReady(operatorAddress1, 6)
	c.waitReady(operatorAddress2, 6)

	const tokens = 1200
	s := &stream{}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	defer func() {
		if t.Failed() {
			first.logOutput(t)
			second.logOutput(t)
		}
	}()
	body := fmt.Sprintf(`{"model":"report","prompt":"truck 7","max_tokens":%d,"stream":true}`, tokens)
	is.NoErr(s.open(ctx, http.MethodPost, callerURL1+"/v1/completions", key, body))
	_, err := s.read(100)
	is.NoErr(err)

	targetName := first.field(t, s.id+" attempt=1 ", "target=")
	is.NoErr(engines[targetName].cmd.Process.Signal(syscall.SIGKILL))
	_, err = s.read(100)
	is.NoErr(err)

	targetName = first.field(t, s.id+" attempt=2 ", "target=")
	is.NoErr(targets[targetName].cmd.Process.Signal(syscall.SIGKILL))
	_, err = s.read(100)
	is.NoErr(err)

	is.NoErr(first.cmd.Process.Signal(syscall.SIGKILL))
	s.body.Close()
	is.NoErr(s.open(ctx, http.MethodGet, callerURL2+"/v1/answers/"+s.id, key, ""))
	done, err := s.read(tokens)
	is.NoErr(err)
	is.True(done)
	want := c.run(c.labPath, "expect", "--model", "report", "--version", "v1", "--prompt", "truck 7", "--max-tokens", fmt.Sprint(tokens))
	is.Equal(strings.TrimSpace(s.text.String()), strings.TrimSpace(want))
}
