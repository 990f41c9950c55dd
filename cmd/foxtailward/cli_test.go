package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	main "foxtailward.example/foxtailward/cmd/foxtailward"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/logfile"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
)

// bench runs command lines against a stand-in key-value service and an entry.
type bench struct {
	t       *testing.T
	dir     string
	service *store.Server
	entry   *httptest.Server
	// inForce is the revision that the entry's members report.
	inForce id.Revision
}

func newBench(t *testing.T) *bench {
	service, err := store.Listen("127.0.0.1:0", store.Options{})
	is.New(t).NoErr(err)
	t.Cleanup(service.Close)
	b := &bench{t: t, dir: t.TempDir(), service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", b.status)
	mux.HandleFunc("GET /explain/{id}", b.explain)
	b.entry = httptest.NewServer(mux)
	t.Cleanup(b.entry.Close)
	return b
}

func (b *bench) run(args ...string) (string, string, int) {
	b.t.Helper()
	return main.Run(b.entry.Client(), strings.NewReader(""), args...)
}

// store runs a command that needs the key-value service.
func (b *bench) store(args ...string) (string, string, int) {
	b.t.Helper()
	return b.run(append(args, "--store", b.service.URL())...)
}

func (b *bench) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	is.New(b.t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (b *bench) status(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(&status.Status{
		Entry: "e1", Revision: 7, Store: status.StoreHealth{Available: true},
		Members: status.Members{
			{Name: "e1", Role: status.Entry, State: member.Ready, Revision: 7},
			{Name: "t1", Role: status.Target, State: member.Leaving, Revision: b.inForce, Model: "report", Version: "2"},
			{Name: "t2", Role: status.Target, State: member.Gone},
		},
		Drains: []status.Drain{{Name: "t1", Role: status.Target, Pending: []status.PendingRequest{{Request: "ans-00000000-0a", Contract: "a", Tokens: 90, MaxTokens: 400}}}},
		Limits: []status.LimitUsage{{Contract: "a", Running: 3, Share: 0.5}},
	})
}

func (b *bench) explain(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("id") != "ans-00000000-0a" {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(&status.Explanation{
		Request: "ans-00000000-0a", Contract: "a", Owner: "e1", Model: "report", State: status.Running,
		Decisions: []status.Decision{status.NewDecision(clockwork.NewFakeClock().Now(), event.RouteChosen, 1, "t1", "leastWait")},
	})
}

const contractFile = `name = "a"
models = ["report"]
keys = ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]
`

func TestContractLife(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first := b.file("a.toml", contractFile)
	out, _, code := b.store("contract", "put", first)
	is.Equal(code, 0)
	is.Equal(out, "contract a is at revision 1\n")
	out, _, _ = b.store("contract", "put", first)
	is.Equal(out, "contract a is unchanged at revision 1\n")

	// Two operators edit the same version; the second is told what differs.
	out, _, code = b.store("contract", "get", "a")
	is.Equal(code, 0)
	anna := b.file("anna.toml", strings.Replace(out, "weight = 1", "weight = 2", 1))
	bert := b.file("bert.toml", strings.Replace(out, "weight = 1", "weight = 3", 1))
	_, _, code = b.store("contract", "put", anna, "--author", "anna")
	is.Equal(code, 0)
	_, errs, code := b.store("contract", "put", bert)
	is.Equal(code, 4)
	is.True(strings.Contains(errs, "is at revision 2, written by anna"))
	is.True(strings.Contains(errs, "weight  1                2              3"))
	_, errs, code = b.store("contract", "put", bert, "--output", "json")
	is.Equal(code, 4)
	is.True(strings.Contains(errs, `"differences":[{"key":"weight","from":"1","now":"2","wanted":"3"}]`))
	_, _, code = b.store("contract", "put", bert, "--from", "2")
	is.Equal(code, 0)

	out, _, _ = b.store("contract", "list")
	is.True(strings.Contains(out, "a     3         standard  report"))
	out, _, code = b.store("contract", "delete", "a", "--output", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"revision": 4`))
	_, errs, code = b.store("contract", "get", "a")
	is.Equal(code, 1)
	is.Equal(errs, "foxtailward: there is no contract \"a\"\n")
	out, _, _ = b.store("config", "history", "--limit", "2")
	is.True(strings.Contains(out, "4         "))
	is.True(strings.Contains(out, "delete"))
	is.Equal(strings.Count(out, "\n"), 3)
}

// TestLostAnswer loses the answers of writes that took effect, or the writes.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.service.DropResponses(1)
	out, _, code := b.store("contract", "put", b.file("a.toml", contractFile))
	is.Equal(code, 0)
	is.Equal(out, "contract a is at revision 1\n")
	b.service.DropRequests(1)
	out, _, code = b.store("contract", "put", b.file("a.toml", contractFile+"weight = 2\n"))
	is.Equal(code, 0)
	is.Equal(out, "contract a is at revision 2\n")
	b.service.DropRequests(1000)
	_, errs, code := b.store("contract", "put", b.file("a.toml", contractFile+"weight = 3\n"), "--timeout", "300ms")
	is.Equal(code, 5)
	is.True(strings.Contains(errs, "it is not known whether change"))
}

func TestConfigWait(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	out, _, code := b.store("config", "get")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "# revision 0\n"))
	file := b.file("d.toml", strings.Replace(out, "maxAttempts = 8", "maxAttempts = 4", 1))
	_, errs, code := b.store("config", "put", file, "--wait")
	is.Equal(code, 2) // no entry to ask
	is.True(strings.Contains(errs, "want --entry ADDR"))
	_, errs, code = b.store("config", "put", file, "--wait", "--entry", b.entry.URL, "--wait-timeout", "300ms")
	is.Equal(code, 6)
	is.Equal(errs, "foxtailward: revision 1 is not in force at target t1 (0)\n")
	b.inForce = 1
	out, _, code = b.store("config", "put", file, "--from", "1", "--wait", "--entry", b.entry.URL)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "revision 1 is in force at all 2 nodes"))
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	wrong := b.file("wrong.toml", contractFile+"weight = \"x\"\n")
	right := b.file("a.toml", contractFile)
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"unknown command", []string{"steer"}, 2, `unknown command "steer"`},
		{"unknown subcommand", []string{"contract", "steer"}, 2, "want one of delete, get, key, list, put"},
		{"unknown flag", []string{"status", "--colour"}, 2, "unknown flag"},
		{"arguments", []string{"contract", "put"}, 2, "accepts 1 arg(s)"},
		{"output", []string{"status", "--output", "xml"}, 2, "want table or json"},
		{"no store", []string{"contract", "list"}, 2, "want --store URL"},
		{"wrong file", []string{"contract", "put", wrong, "--store", "x"}, 3, "wrong.toml:4: weight: is of type string, want integer"},
		{"check", []string{"check", right, wrong}, 3, "wrong.toml:4: weight"},
		{"check as", []string{"check", "--as", "config", right}, 3, "a.toml:2: models: type mismatch"},
		{"no file", []string{"check", b.dir + "/none.toml"}, 1, "none.toml: no such file"},
		{"store down", []string{"contract", "put", right, "--store", "http://127.0.0.1:1", "--timeout", "50ms"}, 5, "nothing was changed"},
		{"store's URL", []string{"contract", "list", "--store", "x"}, 2, "want a URL such as"},
		{"no such request", []string{"explain", "ans-00000000-0b", "--entry", b.entry.URL}, 1, "no entry that was asked knows"},
		{"no request id", []string{"explain", "x", "--entry", b.entry.URL}, 2, "is no request id"},
		{"no such log", []string{"explain", "a1", "--log", b.dir + "/none-*.log"}, 1, "there is no log"},
		{"not in the log", []string{"explain", "a1", "--log", wrong}, 1, "tells of request a1"},
		{"a log's pattern", []string{"explain", "a1", "--log", "[-"}, 2, "syntax error in pattern"},
		{"entry down", []string{"status", "--entry", "127.0.0.1:1"}, 1, "127.0.0.1:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, errs, code := b.run(tt.args...)
			t.Log(errs)
			is.Equal(code, tt.code)
			is.True(strings.Contains(errs, tt.text))
		})
	}
}

func TestStatusAndExplain(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.inForce = 6
	out, _, code := b.run("status", "--entry", b.entry.URL)
	is.Equal(code, 0)
	for _, want := range []string{"revision 7", "leaving", "6 (behind)", "report@2", "ans-00000000-0a", "50%"} {
		is.True(strings.Contains(out, want))
	}
	out, _, code = b.run("explain", "ans-00000000-0a", "--entry", b.entry.URL)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "leastWait"))
	out, _, code = b.run("explain", "ans-00000000-0a", "--entry", b.entry.URL, "--output", "json")
	is.Equal(code, 0)
	var e status.Explanation
	is.NoErr(json.Unmarshal([]byte(out), &e))
	is.Equal(e.Decisions[0].Target, id.Target("t1"))
}

// A request's story is found in logs, without any process that runs.
func TestExplainLogs(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.file("e1.log", "time=2026-12-04T10:00:00.250Z level=info event=F0201 name=requestRefused request=a1 status=503 reason=noTarget\n")
	b.file("e2.log", "time=2026-12-04T10:00:00.350Z level=info event=F0204 name=requestFinished request=a2 status=200\n")
	out, _, code := b.run("explain", "a1", "--log", b.dir+"/e*.log")
	is.Equal(code, 0)
	for _, want := range []string{"a1: requestRefused, reason noTarget", "e1", "F0201", "status=503"} {
		is.True(strings.Contains(out, want))
	}
	is.True(!strings.Contains(out, "a2"))
	out, _, code = b.run("explain", "a2", "--log", b.dir+"/e1.log", "--log", b.dir+"/e2.log", "--output", "json")
	is.Equal(code, 0)
	var story logfile.Trace
	is.NoErr(json.Unmarshal([]byte(out), &story))
	is.Equal(story.Outcome, "requestFinished")
	is.Equal(story.Attempts[0].Process, logfile.Process("e2"))
}

func TestContractKey(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	out, _, code := b.run("contract", "key", "--output", "json")
	is.Equal(code, 0)
	var k struct {
		Key  string
		Hash contract.KeyHash
	}
	is.NoErr(json.Unmarshal([]byte(out), &k))
	is.Equal(contract.HashKey(k.Key), k.Hash)
	again, _, _ := b.run("contract", "key", "--output", "json")
	is.True(out != again)
}
