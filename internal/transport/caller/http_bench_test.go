package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/transport/caller"
)

const streamsAtOnce = 1000

// dialStream opens a stream on a connection of its own and reads its headers.
func dialStream(b *testing.B, address string) *bufio.Reader {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: "+strconv.Itoa(len(streamBody))+"\r\n\r\n"+streamBody)
	if err != nil {
		b.Fatal(err)
	}
	r := bufio.NewReaderSize(conn, 512)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if line == "\r\n" {
			return r
		}
	}
}

// BenchmarkOpenStreams measures the memory of a stream that waits for its
// first token. Connection, buffers and goroutines of the server are counted,
// and 512 bytes and the socket of the caller as well.
func BenchmarkOpenStreams(b *testing.B) {
	f := newFakeDesk("a")
	f.waits = true
	f.closed = make(chan struct{}, 1<<16)
	server := serve(b, testConfig(), f)
	for range b.N {
		before := memoryInUse()
		for range streamsAtOnce {
			dialStream(b, server.Listener.Addr().String())
		}
		b.ReportMetric(float64(memoryInUse()-before)/streamsAtOnce, "bytes/stream")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkHTTPToken streams over loopback, with one stream and with many; an
// operation is one token.
func BenchmarkHTTPToken(b *testing.B) {
	for _, streams := range []int{1, 16} {
		b.Run(strconv.Itoa(streams)+" streams", func(b *testing.B) {
			tokens := b.N/streams + 1
			server := httptest.NewUnstartedServer(nil)
			server.Config = caller.NewServer(testConfig(), nil, caller.Dependencies{Metrics: metrics.NewRegistry()})
			server.Config.Handler = endless(&tokens)
			server.Start()
			b.Cleanup(server.Close)
			b.ReportAllocs()
			b.ResetTimer()
			var wait sync.WaitGroup
			for range streams {
				r := dialStream(b, server.Listener.Addr().String())
				wait.Go(func() { readToEnd(b, r) })
			}
			wait.Wait()
		})
	}
}

func readToEnd(b *testing.B, r *bufio.Reader) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			b.Error(err)
			return
		}
		if strings.HasPrefix(line, "data: [DONE]") {
			return
		}
	}
}
