package service_test

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	standin "foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newService(t *testing.T, handler http.HandlerFunc) *service.Client {
	server := httptest.NewServer(handler)
	client := service.NewClient(server.URL)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

func TestDoHeaders(t *testing.T) {
	is := is.New(t)
	var got http.Header
	client := newService(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set("Connection", "X-Link")
		w.Header().Set("X-Link", "1")
		w.Header().Set("X-End", "2")
	})
	reply, err := client.Do(t.Context(), service.Request{
		ID: "ans-00000000-aa", Method: http.MethodGet, Path: "/a?b=c", Repeatable: true,
		Header: http.Header{
			"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "Keep-Alive": {"9"},
			"Transfer-Encoding": {"chunked"}, "Authorization": {"Bearer secret"}, "Accept": {"text/plain"},
			"Foxtailward-Request": {"forged"},
		},
	})
	is.NoErr(err)
	is.Equal(got.Get("Accept"), "text/plain")
	is.Equal(got.Get("Foxtailward-Request"), "ans-00000000-aa")
	for _, name := range []string{"X-Hop", "Te", "Upgrade", "Keep-Alive", "Authorization", "Connection"} {
		is.Equal(got.Get(name), "") // hop-by-hop headers and the API key are removed
	}
	is.Equal(reply.Header.Get("X-Link"), "")
	is.Equal(reply.Header.Get("X-End"), "2")
}

func TestDoBounds(t *testing.T) {
	is := is.New(t)
	client := newService(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), service.MaxReplyBytes+1))
	})
	reply, err := client.Do(t.Context(), service.Request{Method: http.MethodPost, Path: "/"})
	is.NoErr(err)
	is.Equal(reply.Status, http.StatusBadGateway)
	is.True(len(reply.Body) < 1000)
	_, err = client.Do(t.Context(), service.Request{Method: http.MethodPost, Path: "@other.example/"})
	is.True(fault.Is(err, service.NotSent)) // the path can't change the host
}

// TestDoSendsOnce checks that a request that is not repeatable is not sent
// again after a redirect or a lost connection.
func TestDoSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			client := newService(t, func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
					return
				}
				panic(http.ErrAbortHandler)
			})
			request := service.Request{
				Method: method, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("one"),
			}
			reply, err := client.Do(t.Context(), request)
			is.NoErr(err)
			is.Equal(reply.Status, http.StatusTemporaryRedirect)
			is.Equal(runs.Load(), int64(1))
			_, err = client.Do(t.Context(), request)
			is.True(fault.Is(err, service.ResponseLost))
			is.Equal(runs.Load(), int64(2))
		})
	}
}

func TestDoNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := service.NewClient("http://" + address)
	_, err = client.Do(t.Context(), service.Request{Method: http.MethodPost, Path: "/"})
	is.True(fault.Is(err, service.NotSent))
	is.True(client.Health(t.Context()) != nil)
}

// TestDoInvalidStatus guards against answers whose status is none, which no entry can pass on.
func TestDoInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			raw, err := standin.NewRaw(false)
			is.NoErr(err)
			defer raw.Close()
			raw.AnswerNext("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nno")
			client := service.NewClient("http://" + raw.Address())
			defer client.Close()
			_, err = client.Do(t.Context(), service.Request{ID: "ans-00000000-aa", Method: http.MethodGet, Path: "/"})
			is.True(fault.Is(err, service.ResponseLost))
		})
	}
}
