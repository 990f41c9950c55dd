package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/transport/operator"
)

// serveEntry starts an entry that responds to each path in responses with the JSON
// of its value, and to any other path with 404.
func serveEntry(t *testing.T, responses map[string]any) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, ok := responses[r.URL.Path]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(server.Close)
	return server
}

// statusOf returns the responses of an entry that serves only its status.
func statusOf(self id.Entry, revision id.Revision, members ...status.Member) map[string]any {
	return map[string]any{"/status": &status.Status{Entry: self, Revision: revision, Members: members}}
}

func TestClientRevisions(t *testing.T) {
	is := is.New(t)
	t1 := status.Member{Name: "t1", Role: status.Target, State: member.Suspect, Revision: 4}
	t1Newer := status.Member{Name: "t1", Role: status.Target, State: member.Ready, Revision: 5}
	gone := status.Member{Name: "t2", Role: status.Target, State: member.Gone, Revision: 1}
	one := serveEntry(t, statusOf("e1", 7, t1, gone))
	two := serveEntry(t, statusOf("e2", 6, t1Newer))
	c := operator.Client{Addresses: []string{one.URL, two.Listener.Addr().String()}, HTTP: one.Client()}
	got, err := c.Revisions(t.Context())
	is.NoErr(err)
	is.Equal(got, []confstore.NodeRevision{
		{Node: "entry e1", Revision: 7}, {Node: "entry e2", Revision: 6}, {Node: "target t1", Revision: 5},
	})

	// An entry that does not answer may not have the newest revision.
	c.Addresses = append(c.Addresses, "127.0.0.1:1")
	_, err = c.Revisions(t.Context())
	is.True(fault.Is(err, status.Unreachable))
}

func TestClientStatus(t *testing.T) {
	wrongRole := status.Member{Name: "x", Role: "leader", State: member.Ready}
	wrongState := status.Member{Name: "x", Role: status.Entry, State: "asleep"}
	tests := []struct {
		name      string
		responses map[string]any
		kind      status.Kind
	}{
		{"valid", statusOf("e1", 1), ""},
		{"no entry ID", statusOf("", 1), status.Invalid},
		{"unknown role", statusOf("e1", 1, wrongRole), status.Invalid},
		{"unknown state", statusOf("e1", 1, wrongState), status.Invalid},
		{"not JSON", map[string]any{"/status": "x"}, status.Invalid},
		{"not found", nil, status.NotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := serveEntry(t, tt.responses)
			c := operator.Client{Addresses: []string{server.URL}, HTTP: server.Client()}
			_, err := c.Status(t.Context())
			kind, _ := fault.KindOf[status.Kind](err)
			is.Equal(kind, tt.kind)
		})
	}
}

func TestClientExplain(t *testing.T) {
	is := is.New(t)
	knows := serveEntry(t, map[string]any{"/explain/ans-00000000-0a": &status.Explanation{Request: "ans-00000000-0a", State: status.Running}})
	other := serveEntry(t, nil)
	c := operator.Client{Addresses: []string{other.URL, knows.URL}, HTTP: knows.Client()}
	e, err := c.Explain(t.Context(), "ans-00000000-0a")
	is.NoErr(err)
	is.Equal(e.State, status.Running)
	_, err = c.Explain(t.Context(), "ans-00000000-0b")
	is.True(fault.Is(err, status.NotFound))
	// An entry that does not answer may know the request.
	c.Addresses = []string{other.URL, "127.0.0.1:1"}
	_, err = c.Explain(t.Context(), "ans-00000000-0b")
	is.True(fault.Is(err, status.Unreachable))
}
