package server_test

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestStopAndStart(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:0", ":0"} {
		is := is.New(t)
		s, err := server.New(addr, http.NotFoundHandler())
		is.NoErr(err)
		defer http.DefaultClient.CloseIdleConnections()
		defer s.Close()
		_, port, err := net.SplitHostPort(s.Address())
		is.NoErr(err)
		reach := "127.0.0.1:" + port
		for range 3 {
			resp, err := http.Get("http://" + reach)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			s.Stop()
			_, err = net.Dial("tcp", reach)
			is.True(errors.Is(err, syscall.ECONNREFUSED)) // nothing listens
			is.NoErr(s.Start())
			is.NoErr(s.Start()) // starting twice is harmless
		}
	}
}

func TestNewTaken(t *testing.T) {
	is := is.New(t)
	s, err := server.New("127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	defer s.Close()
	_, err = server.New(s.Address(), http.NotFoundHandler())
	is.True(fault.Is(err, server.Unreachable))
}
