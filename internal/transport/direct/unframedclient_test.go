package direct_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/transport/direct"
)

// The tests of this file use TCP, because pipes don't show resets.

// tcpEnv is an entry with one target. Streams of the target that end in /whole have 20 events;
// others stay after two events until cut is closed, and then break off.
type tcpEnv struct {
	is      *is.I
	address string
	cut     chan struct{}
	stop    context.CancelFunc
}

func newTCPEnv(t *testing.T) *tcpEnv {
	e := &tcpEnv{is: is.New(t), cut: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(e.serveTarget))
	t.Cleanup(target.Close)
	env := &testEnv{
		t: t, is: e.is, changes: make(chan store.Change), config: testConfig(), saved: map[string]store.Item{}, eraEnded: make(chan struct{}),
		targets: []store.Item{{Key: "t1", Value: fmt.Appendf(nil, "ready %s a", target.Listener.Addr()), ModRevision: 1}},
	}
	once := &env.config.Routes[0]
	once.Resumable, once.MaxAttempts = false, 1
	env.config.Services[service] = catalog.Service{Name: service}
	e.is.NoErr(env.config.ValidateAndIndex())
	e.start(t, env)
	return e
}

// start starts the entry.
func (e *tcpEnv) start(t *testing.T, env *testEnv) {
	cfg := env.settings()
	cfg.MetricsAddress = ""
	cfg.Limits.GraceSeconds = 0.6
	listen := func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil && address == clientAddress {
			e.address = l.Addr().String()
		}
		return l, err
	}
	entry := direct.New(cfg, direct.Deps{
		Clock: clockwork.NewRealClock(), Log: event.NewLogfmtLog(t.Output(), clockwork.NewRealClock()),
		Metrics: metrics.NewRegistry(), Store: env.store(), Codec: env.codec(), Dialect: dialect(), Random: func() float64 { return 0 }, Listen: listen,
	})
	e.is.NoErr(entry.Listen())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = entry.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

func (e *tcpEnv) serveTarget(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Attempt", r.Header.Get("Attempt"))
	switch {
	case r.URL.Path == reportPath:
		return
	case strings.HasSuffix(r.URL.Path, "/whole"):
		rw.Header().Set("Transfer-Encoding", "identity")
		rw.Header().Set("Connection", "close")
		events(rw, 1, 20, time.Millisecond)
		return
	}
	events(rw, 1, 2, time.Millisecond)
	select {
	case <-e.cut:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// request sends a request and returns the answer's head, and a reader of what follows.
func (e *tcpEnv) request(t *testing.T, version, path string) (head string, rest *bufio.Reader) {
	conn, err := net.Dial("tcp", e.address)
	e.is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	e.is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h\r\nAttempt: a1\r\nKey: k1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, version)
	return readHead(t, bufio.NewReader(conn))
}

func readHead(t *testing.T, r *bufio.Reader) (string, *bufio.Reader) {
	var head strings.Builder
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		head.WriteString(line)
	}
	return head.String(), r
}

// TestUnframedClientStreamCut guards against a stream that looks whole to an HTTP/1.0 client
// because its target broke it off.
func TestUnframedClientStreamCut(t *testing.T) {
	e := newTCPEnv(t)
	head, rest := e.request(t, "1.0", "/r/cut")
	e.is.True(!strings.Contains(head, "Transfer-Encoding"))
	begin := make([]byte, len(wholeStream(2)))
	_, err := io.ReadFull(rest, begin)
	e.is.NoErr(err)
	close(e.cut)
	_, err = io.ReadAll(rest)
	e.is.True(errors.Is(err, syscall.ECONNRESET)) // a plain close would end the stream as if whole
}

// TestUnframedClientStreamWhole guards against a whole stream that is reset.
func TestUnframedClientStreamWhole(t *testing.T) {
	e := newTCPEnv(t)
	var answers [20]io.Reader
	for i := range answers {
		_, answers[i] = e.request(t, "1.0", "/r/whole")
	}
	for _, rest := range answers {
		body, err := io.ReadAll(rest)
		e.is.NoErr(err)
		e.is.Equal(string(body), wholeStream(20))
	}
}

// TestUnframedClientStreamAtStop guards against a stream that looks whole to an HTTP/1.0 client
// because the entry's grace time ends.
func TestUnframedClientStreamAtStop(t *testing.T) {
	e := newTCPEnv(t)
	_, rest := e.request(t, "1.0", "/r/cut")
	e.stop()
	_, err := io.ReadAll(rest)
	e.is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestFramedClientStream checks that clients of HTTP/1.1 get chunks, whatever the target's head
// says, so that a missing last one shows that the stream broke off.
func TestFramedClientStream(t *testing.T) {
	e := newTCPEnv(t)
	head, _ := e.request(t, "1.1", "/r/whole")
	e.is.True(strings.Contains(head, "Transfer-Encoding: chunked\r\n"))
	close(e.cut)
	head, rest := e.request(t, "1.1", "/r/cut")
	res, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), rest)), nil)
	e.is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	e.is.True(errors.Is(err, io.ErrUnexpectedEOF))
	e.is.Equal(string(body), wholeStream(2))
}

// killedEntry is the environment variable that makes TestUnframedClientStreamOfKilledEntry run
// the entry to kill.
const killedEntry = "FOXTAILWARD_TEST_KILLED_ENTRY"

// TestUnframedClientStreamOfKilledEntry guards against a stream that looks whole to an HTTP/1.0
// client because the entry's process is killed.
func TestUnframedClientStreamOfKilledEntry(t *testing.T) {
	if os.Getenv(killedEntry) != "" {
		fmt.Printf("\naddress %s\n", newTCPEnv(t).address)
		select {} // until it is killed
	}
	is := is.New(t)
	process := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.timeout=60s")
	process.Env = append(os.Environ(), killedEntry+"=yes")
	out, err := process.StdoutPipe()
	is.NoErr(err)
	is.NoErr(process.Start())
	defer func() { _ = process.Wait() }()
	defer func() { _ = process.Process.Kill() }()
	e := &tcpEnv{is: is}
	for lines := bufio.NewScanner(out); e.address == "" && lines.Scan(); {
		if address, ok := strings.CutPrefix(lines.Text(), "address "); ok {
			e.address = address
		}
	}
	_, rest := e.request(t, "1.0", "/r/cut")
	begin := make([]byte, len(wholeStream(2)))
	_, err = io.ReadFull(rest, begin)
	is.NoErr(err)
	is.NoErr(process.Process.Kill())
	_, err = io.ReadAll(rest)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
