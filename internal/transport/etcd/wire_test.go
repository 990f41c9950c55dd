package etcd_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	standin "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/transport/etcd"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCalls measures the time, the allocations and the bytes on the wire of
// each call, with values of 200 bytes.
func BenchmarkCalls(b *testing.B) {
	is := is.New(b)
	service := standin.New(standin.Options{})
	defer service.Close()
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(service.Handler())
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	client, err := etcd.New(etcd.Options{Endpoints: []string{server.URL}})
	is.NoErr(err)
	defer client.Close()
	s := client.Store()
	value := make([]byte, 200)
	lease, err := s.Grant(b.Context(), 3600e9)
	is.NoErr(err)
	number := 0
	calls := map[string]func(){
		"get": func() {
			_, err := s.Get(b.Context(), store.HeadKey)
			is.NoErr(err)
		},
		"keepAlive": func() {
			_, err := s.KeepAlive(b.Context(), lease)
			is.NoErr(err)
		},
		"claim": func() {
			number++
			txn := create(fmt.Sprintf("%sans-00000000-%032d", store.ClaimPrefix, number), string(value))
			_, err := s.Commit(b.Context(), txn)
			is.NoErr(err)
		},
	}
	_, err = s.Commit(b.Context(), create(store.HeadKey, "17"))
	is.NoErr(err)
	for _, name := range []string{"get", "keepAlive", "claim"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			before := bytes.Load()
			for b.Loop() {
				calls[name]()
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
	}
}
