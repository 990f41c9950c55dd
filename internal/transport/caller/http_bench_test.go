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

const concurrentStreams = 1000

// dialStream opens a stream on a new connection and reads the response headers.
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

// BenchmarkOpenStreams measures the memory of a stream that waits for its first
// token. It includes the server's connection, buffers and goroutines, as well as the
// caller's socket and 512-byte buffer.
func BenchmarkOpenStreams(b *testing.B) {
	f := newFakeHandlers("a")
	f.blocks = true
	f.closed = make(chan struct{}, 1<<16)
	server := startServer(b, testConfig(), f)
	for range b.N {
		before := memoryInUse()
		for range concurrentStreams {
			dialStream(b, server.Listener.Addr().String())
		}
		b.ReportMetric(float64(memoryInUse()-before)/concurrentStreams, "bytes/stream")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkHTTPToken streams over loopback with one stream and with 16. One operation
// is one token.
func BenchmarkHTTPToken(b *testing.B) {
	for _, streams := range []int{1, 16} {
		b.Run(strconv.Itoa(streams)+" streams", func(b *testing.B) {
			tokens := b.N/streams + 1
			server := httptest.NewUnstartedServer(nil)
			server.Config = caller.NewServer(testConfig(), nil, caller.Dependencies{Metrics: metrics.NewRegistry()})
			server.Config.Handler = newStreamHandler(&tokens)
			server.Start()
			b.Cleanup(server.Close)
			b.ReportAllocs()
			b.ResetTimer()
			var readers sync.WaitGroup
			for range streams {
				r := dialStream(b, server.Listener.Addr().String())
				readers.Go(func() { readToEnd(b, r) })
			}
			readers.Wait()
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
