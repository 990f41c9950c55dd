package server_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
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
		dialAddress := "127.0.0.1:" + port
		for range 3 {
			resp, err := http.Get("http://" + dialAddress)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			s.Stop()
			_, err = net.Dial("tcp", dialAddress)
			is.True(errors.Is(err, syscall.ECONNREFUSED)) // nothing listens
			is.NoErr(s.Start())
			is.NoErr(s.Start()) // starting twice is harmless
		}
	}
}

func TestNewAddressInUse(t *testing.T) {
	is := is.New(t)
	s, err := server.New("127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	_, err = server.New(s.Address(), http.NotFoundHandler())
	is.True(fault.Is(err, server.ListenFailed))
	s.Close()
	s.Close()
	is.True(fault.Is(s.Start(), server.ListenFailed)) // a closed server stays closed
}

// Tests that a server that is stopped while clients connect serves none of these
// connections.
func TestStopWhileConnecting(t *testing.T) {
	is := is.New(t)
	s, err := server.New("127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	defer s.Close()
	for range 50 {
		var clients sync.WaitGroup
		conns := make(chan net.Conn, 4)
		for range cap(conns) {
			clients.Go(func() {
				if c, err := net.Dial("tcp", s.Address()); err == nil {
					conns <- c
				}
			})
		}
		s.Stop()
		clients.Wait()
		close(conns)
		for c := range conns {
			_, err := c.Read(make([]byte, 1))
			is.True(err != nil) // closed, not waiting for a request
			is.NoErr(c.Close())
		}
		is.NoErr(s.Start())
	}
}

// Tests that a server can listen on its address again right after Stop, also while the
// process starts programs, which hold the closed socket between fork and exec.
func TestStartRightAfterStop(t *testing.T) {
	is := is.New(t)
	s, err := server.New("127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	defer s.Close()
	ctx, stop := context.WithCancel(t.Context())
	var programs sync.WaitGroup
	defer programs.Wait()
	defer stop()
	for range 4 {
		programs.Go(func() {
			for ctx.Err() == nil {
				// The result of the program is irrelevant.
				_ = exec.Command(os.Args[0], "-test.run", "^$").Run()
			}
		})
	}
	for range 1000 {
		s.Stop()
		is.NoErr(s.Start())
	}
}
