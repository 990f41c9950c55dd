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

// testEnv runs command lines against a stand-in key-value service and a fake entry.
type testEnv struct {
	t       *testing.T
	dir     string
	service *store.Server
	entry   *httptest.Server
	// targetRevision is the revision that target t1 has in the entry's status.
	targetRevision id.Revision
}

func newTestEnv(t *testing.T) *testEnv {
	service, err := store.Listen("127.0.0.1:0", store.Options{})
	is.New(t).NoErr(err)
	t.Cleanup(service.Close)
	env := &testEnv{t: t, dir: t.TempDir(), service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", env.status)
	mux.HandleFunc("GET /explain/{id}", env.explain)
	env.entry = httptest.NewServer(mux)
	t.Cleanup(env.entry.Close)
	return env
}

func (env *testEnv) run(args ...string) (string, string, int) {
	env.t.Helper()
	return main.Run(env.entry.Client(), strings.NewReader(""), args...)
}

// runWithStore runs a command that needs the key-value service.
func (env *testEnv) runWithStore(args ...string) (string, string, int) {
	env.t.Helper()
	return env.run(append(args, "--store", env.service.URL())...)
}

func (env *testEnv) writeFile(name, text string) string {
	path := filepath.Join(env.dir, name)
	is.New(env.t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (env *testEnv) status(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(&status.Status{
		Entry: "e1", Revision: 7, Store: status.StoreHealth{Available: true},
		Members: status.Members{
			{Name: "e1", Role: status.Entry, State: member.Ready, Revision: 7},
			{Name: "t1", Role: status.Target, State: member.Leaving, Revision: env.targetRevision, Model: "report", Version: "2"},
			{Name: "t2", Role: status.Target, State: member.Gone},
		},
		Drains: []status.Drain{{Name: "t1", Role: status.Target, Pending: []status.PendingRequest{{Request: "ans-00000000-0a", Contract: "a", Tokens: 90, MaxTokens: 400}}}},
		Limits: []status.LimitUsage{{Contract: "a", Running: 3, Share: 0.5}},
	})
}

func (env *testEnv) explain(w http.ResponseWriter, r *http.Request) {
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

// TestContractLifecycle creates, edits, lists and deletes a contract, with two
// operators who edit the same revision.
func TestContractLifecycle(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	file := env.writeFile("a.toml", contractFile)
	out, _, code := env.runWithStore("contract", "put", file)
	is.Equal(code, 0)
	is.Equal(out, "contract a is at revision 1\n")
	out, _, _ = env.runWithStore("contract", "put", file)
	is.Equal(out, "contract a is unchanged at revision 1\n")

	// Two operators edit the same revision; the second one gets the differences.
	out, _, code = env.runWithStore("contract", "get", "a")
	is.Equal(code, 0)
	annaFile := env.writeFile("anna.toml", strings.Replace(out, "weight = 1", "weight = 2", 1))
	bertFile := env.writeFile("bert.toml", strings.Replace(out, "weight = 1", "weight = 3", 1))
	_, _, code = env.runWithStore("contract", "put", annaFile, "--author", "anna")
	is.Equal(code, 0)
	_, errs, code := env.runWithStore("contract", "put", bertFile)
	is.Equal(code, 4)
	is.True(strings.Contains(errs, "is at revision 2, written by anna"))
	is.True(strings.Contains(errs, "weight  1                2              3"))
	_, errs, code = env.runWithStore("contract", "put", bertFile, "--output", "json")
	is.Equal(code, 4)
	is.True(strings.Contains(errs, `"differences":[{"key":"weight","from":"1","now":"2","wanted":"3"}]`))
	_, _, code = env.runWithStore("contract", "put", bertFile, "--from", "2")
	is.Equal(code, 0)

	out, _, _ = env.runWithStore("contract", "list")
	is.True(strings.Contains(out, "a     3         standard  report"))
	out, _, code = env.runWithStore("contract", "delete", "a", "--output", "json")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"revision": 4`))
	_, errs, code = env.runWithStore("contract", "get", "a")
	is.Equal(code, 1)
	is.Equal(errs, "foxtailward: there is no contract \"a\"\n")
	out, _, _ = env.runWithStore("config", "history", "--limit", "2")
	is.True(strings.Contains(out, "4         "))
	is.True(strings.Contains(out, "delete"))
	is.Equal(strings.Count(out, "\n"), 3)
}

// TestLostStoreResponse loses the store's responses to writes that took effect, and
// writes on their way to the store. A client can't tell the two apart: it must not
// apply a change twice, and must report an unknown outcome as such.
func TestLostStoreResponse(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.service.DropResponses(1)
	out, _, code := env.runWithStore("contract", "put", env.writeFile("a.toml", contractFile))
	is.Equal(code, 0)
	is.Equal(out, "contract a is at revision 1\n")
	env.service.DropRequests(1)
	out, _, code = env.runWithStore("contract", "put", env.writeFile("a.toml", contractFile+"weight = 2\n"))
	is.Equal(code, 0)
	is.Equal(out, "contract a is at revision 2\n")
	env.service.DropRequests(1000)
	_, errs, code := env.runWithStore("contract", "put", env.writeFile("a.toml", contractFile+"weight = 3\n"), "--timeout", "300ms")
	is.Equal(code, 5)
	is.True(strings.Contains(errs, "it is not known whether change"))
}

// TestConfigWait checks that --wait reports a node that does not have the change yet,
// with exit code 6, and succeeds once all nodes have it.
func TestConfigWait(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	out, _, code := env.runWithStore("config", "get")
	is.Equal(code, 0)
	is.True(strings.HasPrefix(out, "# revision 0\n"))
	file := env.writeFile("d.toml", strings.Replace(out, "maxAttempts = 8", "maxAttempts = 4", 1))
	_, errs, code := env.runWithStore("config", "put", file, "--wait")
	is.Equal(code, 2) // --wait needs the address of an entry
	is.True(strings.Contains(errs, "want --entry ADDR"))
	_, errs, code = env.runWithStore("config", "put", file, "--wait", "--entry", env.entry.URL, "--wait-timeout", "300ms")
	is.Equal(code, 6)
	is.Equal(errs, "foxtailward: revision 1 is not in force at target t1 (0)\n")
	env.targetRevision = 1
	out, _, code = env.runWithStore("config", "put", file, "--from", "1", "--wait", "--entry", env.entry.URL)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "revision 1 is in force at all 2 nodes"))
}

func TestExitCodes(t *testing.T) {
	env := newTestEnv(t)
	invalidFile := env.writeFile("wrong.toml", contractFile+"weight = \"x\"\n")
	validFile := env.writeFile("a.toml", contractFile)
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"unknown command", []string{"steer"}, 2, `unknown command "steer"`},
		{"unknown subcommand", []string{"contract", "steer"}, 2, "want one of delete, get, key, list, put"},
		{"unknown flag", []string{"status", "--colour"}, 2, "unknown flag"},
		{"missing argument", []string{"contract", "put"}, 2, "accepts 1 arg(s)"},
		{"invalid output format", []string{"status", "--output", "xml"}, 2, "want table or json"},
		{"missing store URL", []string{"contract", "list"}, 2, "want --store URL"},
		{"invalid file", []string{"contract", "put", invalidFile, "--store", "x"}, 3, "wrong.toml:4: weight: is of type string, want integer"},
		{"check", []string{"check", validFile, invalidFile}, 3, "wrong.toml:4: weight"},
		{"check as", []string{"check", "--as", "config", validFile}, 3, "a.toml:2: models: type mismatch"},
		{"missing file", []string{"check", env.dir + "/none.toml"}, 1, "none.toml: no such file"},
		{"store down", []string{"contract", "put", validFile, "--store", "http://127.0.0.1:1", "--timeout", "50ms"}, 5, "nothing was changed"},
		{"invalid store URL", []string{"contract", "list", "--store", "x"}, 2, "want a URL such as"},
		{"unknown request", []string{"explain", "ans-00000000-0b", "--entry", env.entry.URL}, 1, "no entry that was asked knows"},
		{"invalid request id", []string{"explain", "x", "--entry", env.entry.URL}, 2, "is no request id"},
		{"missing log", []string{"explain", "a1", "--log", env.dir + "/none-*.log"}, 1, "there is no log"},
		{"request not in the log", []string{"explain", "a1", "--log", invalidFile}, 1, "tells of request a1"},
		{"invalid log pattern", []string{"explain", "a1", "--log", "[-"}, 2, "syntax error in pattern"},
		{"entry down", []string{"status", "--entry", "127.0.0.1:1"}, 1, "127.0.0.1:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, errs, code := env.run(tt.args...)
			t.Log(errs)
			is.Equal(code, tt.code)
			is.True(strings.Contains(errs, tt.text))
		})
	}
}

func TestStatusAndExplain(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.targetRevision = 6
	out, _, code := env.run("status", "--entry", env.entry.URL)
	is.Equal(code, 0)
	for _, want := range []string{"revision 7", "leaving", "6 (behind)", "report@2", "ans-00000000-0a", "50%"} {
		is.True(strings.Contains(out, want))
	}
	out, _, code = env.run("explain", "ans-00000000-0a", "--entry", env.entry.URL)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "leastWait"))
	out, _, code = env.run("explain", "ans-00000000-0a", "--entry", env.entry.URL, "--output", "json")
	is.Equal(code, 0)
	var e status.Explanation
	is.NoErr(json.Unmarshal([]byte(out), &e))
	is.Equal(e.Decisions[0].Target, id.Target("t1"))
}

// TestExplainLogs reconstructs a request from logs alone, without running processes.
func TestExplainLogs(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.writeFile("e1.log", "time=2026-12-04T10:00:00.250Z level=info event=F0201 name=requestRefused request=a1 status=503 reason=noTarget\n")
	env.writeFile("e2.log", "time=2026-12-04T10:00:00.350Z level=info event=F0204 name=requestFinished request=a2 status=200\n")
	out, _, code := env.run("explain", "a1", "--log", env.dir+"/e*.log")
	is.Equal(code, 0)
	for _, want := range []string{"a1: requestRefused, reason noTarget", "e1", "F0201", "status=503"} {
		is.True(strings.Contains(out, want))
	}
	is.True(!strings.Contains(out, "a2"))
	out, _, code = env.run("explain", "a2", "--log", env.dir+"/e1.log", "--log", env.dir+"/e2.log", "--output", "json")
	is.Equal(code, 0)
	var trace logfile.Trace
	is.NoErr(json.Unmarshal([]byte(out), &trace))
	is.Equal(trace.Outcome, "requestFinished")
	is.Equal(trace.Attempts[0].Process, logfile.Process("e2"))
}

func TestContractKey(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	out, _, code := env.run("contract", "key", "--output", "json")
	is.Equal(code, 0)
	var k struct {
		Key  string
		Hash contract.KeyHash
	}
	is.NoErr(json.Unmarshal([]byte(out), &k))
	is.Equal(contract.HashKey(k.Key), k.Hash)
	again, _, _ := env.run("contract", "key", "--output", "json")
	is.True(out != again)
}
