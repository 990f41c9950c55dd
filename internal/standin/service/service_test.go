package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func postOrder(t *testing.T, s *service.Server, request string) (*service.Reply, int, error) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL()+"/orders?q=1", strings.NewReader("mast chain"))
	is.NoErr(err)
	r.Header.Set(service.RequestIDHeader, request)
	// Use a new connection, because net/http may resend a request on a reused one.
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, resp.StatusCode, nil
	}
	reply := &service.Reply{}
	is.NoErr(json.NewDecoder(resp.Body).Decode(reply))
	return reply, resp.StatusCode, nil
}

func TestCall(t *testing.T) {
	is := is.New(t)
	s, err := service.Listen("127.0.0.1:0", service.Options{Name: "floor"})
	is.NoErr(err)
	defer s.Close()
	reply, _, err := postOrder(t, s, "ans-1")
	is.NoErr(err)
	is.Equal(*reply, service.Reply{
		Service: "floor", Method: "POST", Path: "/orders?q=1",
		Result: service.ExpectedResult("POST", "/orders?q=1", "mast chain"),
	})
	is.Equal(s.RunsOfRequest("ans-1"), 1)
	is.Equal(s.RunsOfBody("mast chain"), 1)
}

func TestFailNext(t *testing.T) {
	tests := []struct {
		failure            service.Failure
		started, completed int
		crashes            bool
		status             int
	}{
		{service.CrashBefore, 0, 0, true, 0},
		{service.CrashDuring, 1, 0, true, 0},
		{service.CrashAfter, 1, 1, true, 0},
		{service.DropReply, 1, 1, false, 0},
		{service.Refuse, 0, 0, false, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(string(tt.failure), func(t *testing.T) {
			is := is.New(t)
			s, err := service.Listen("127.0.0.1:0", service.Options{Name: "floor"})
			is.NoErr(err)
			defer s.Close()
			s.FailNext(tt.failure)
			_, status, err := postOrder(t, s, "ans-1")
			is.Equal(status, tt.status)
			is.Equal(err != nil, tt.status == 0)
			is.Equal(s.RunsOfRequest("ans-1"), tt.started)
			stats := s.Stats()
			is.Equal(stats.Completed, tt.completed)
			is.Equal(stats.Crashes == 1, tt.crashes)
			_, _, err = postOrder(t, s, "ans-2")
			is.Equal(err != nil, tt.crashes)
			is.NoErr(s.Restart())
			_, status, err = postOrder(t, s, "ans-3")
			is.NoErr(err)
			is.Equal(status, http.StatusOK) // a failure affects only one call
		})
	}
}

func TestFaultCommands(t *testing.T) {
	is := is.New(t)
	s, err := service.Listen("127.0.0.1:0", service.Options{Name: "floor"})
	is.NoErr(err)
	defer s.Close()
	for body, want := range map[string]int{
		`{"kind":"slow","millis":1}`: http.StatusNoContent,
		`{"kind":"explode"}`:         http.StatusBadRequest,
		`{"kind":"refuse"}`:          http.StatusNoContent,
	} {
		resp, err := http.Post(s.URL()+"/faults", "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, want)
	}
	http.DefaultClient.CloseIdleConnections()
}
