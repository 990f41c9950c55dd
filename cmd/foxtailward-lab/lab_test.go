package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/standin/load"
	"foxtailward.example/foxtailward/internal/standin/losses"
)

// TestMain checks for leaked goroutines, except the one that go-metrics runs for
// all meters until the process ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

func execute(ctx context.Context, out io.Writer, args ...string) error {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	return root.ExecuteContext(ctx)
}

// start runs the subcommand of a stand-in until the test ends and returns its base
// URL.
func start(t *testing.T, args ...string) string {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := execute(ctx, writer, args...)
		_ = writer.CloseWithError(err)
		done <- err
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	is.NoErr(err)
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
		http.DefaultClient.CloseIdleConnections()
	})
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	is.True(ok)
	return "http://" + address
}

func TestStandIns(t *testing.T) {
	for path, args := range map[string][]string{
		"/health":  {"engine", "--model", "easyread", "--slots", "4"},
		"/stats":   {"store", "--latency", "1ms"},
		"/status":  {"service", "--name", "kiosk"},
		"/":        {"hosts", "--host", "a,b", "--lag", "0s"},
		"/metrics": {"engine"},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			resp, err := http.Get(start(t, args...) + path)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}

func TestExpect(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(execute(t.Context(), &out, "expect", "--prompt", "Truck 14", "--max-tokens", "30"))
	is.Equal(out.String(), engine.Join(engine.Expect("report", "v1", "", "Truck 14", 30)))

	out.Reset()
	is.NoErr(execute(t.Context(), &out, "expect", "--messages", `[{"role":"user","content":"Truck 14"}]`, "--max-tokens", "30"))
	is.Equal(out.String(), engine.Join(engine.Expect("report", "v1", "", "user: Truck 14\n", 30)))
}

func TestBench(t *testing.T) {
	is := is.New(t)
	url := start(t, "engine")
	var out bytes.Buffer
	is.NoErr(execute(t.Context(), &out, "bench", "--direct", url, "--through", url, "--key", "k", "--streams", "4", "--tokens", "20"))
	var report load.Report
	is.NoErr(json.Unmarshal(out.Bytes(), &report))
	is.Equal(len(report.Measurements), 2)
	is.True(report.ThroughputRatio > 0)

	err := execute(t.Context(), io.Discard, "bench", "--direct", url, "--version", "v2")
	is.Equal(exitCode(err), exitFailed) // the engine answers with the text of version v1
}

func TestBenchLocal(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(execute(t.Context(), &out, "bench", "--local", "--streams", "4", "--tokens", "20"))
	var report load.Report
	is.NoErr(json.Unmarshal(out.Bytes(), &report))
	is.Equal(report.Measurements[1].Errors, 0) // answers read through the entry are exact too
}

func TestRecover(t *testing.T) {
	is := is.New(t)
	plotFile := filepath.Join(t.TempDir(), "recovery.png")
	var out bytes.Buffer
	is.NoErr(execute(t.Context(), &out, "recover", "--json", "--engines", "3", "--requests", "12", "--kills", "2",
		"--tokens", "20", "--step-cost", "1ms", "--plot", plotFile))
	lines := json.NewDecoder(&out)
	for range plotSettings {
		var report losses.Report
		is.NoErr(lines.Decode(&report))
		is.Equal(report.Exact, 12)
	}
	data, err := os.ReadFile(plotFile)
	is.NoErr(err)
	is.True(bytes.HasPrefix(data, []byte("\x89PNG")))
}

func TestExitCode(t *testing.T) {
	for _, args := range [][]string{
		{"expect"},
		{"expect", "--prompt", "a", "--max-tokens", "0"},
		{"expect", "--prompt", "a", "--unknown"},
		{"bench"},
		{"bench", "--local", "--direct", "http://127.0.0.1:1"},
		{"bench", "--direct", "http://127.0.0.1:1", "--streams", "-1"},
		{"hosts", "--host", "a,,b"},
		{"recover", "--engines", "1"},
		{"recover", "--prefer", "speed"},
		{"recover", "--headroom", "none"},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			err := execute(t.Context(), io.Discard, args...)
			is.New(t).Equal(exitCode(err), exitUsage)
		})
	}
}
