package direct_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxtailward.example/foxtailward/internal/coordination/store"
	protocol "foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/logfile"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/event"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/direct"
)

// The tests run in a bubble of package synctest: all connections are pipes, and
// time passes only while everything waits.

// lockedBuffer holds log lines.
type lockedBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// count returns how many lines hold the text.
func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.lines.String(), text)
}

// of returns the names of the events that tell of a request, in order, and what
// their lines say, as `foxtailward explain --log` finds them.
func (b *lockedBuffer) of(request string) (names []string, text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Reading from memory can't fail.
	lines, _ := logfile.Read(strings.NewReader(b.lines.String()), "e")
	story, _ := lines.Trace(request)
	for _, c := range story.Attempts {
		for _, line := range c.Lines {
			if line.Get("request") == request {
				names = append(names, line.Name)
				text += line.Detail() + " "
			}
		}
	}
	return names, text
}

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// network connects the entry with its clients and targets.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// dark addresses take no connection and send nothing back.
	dark map[string]bool
	// deaf makes writes to clients fail, while their side of the connection stays
	// open for reading.
	deaf atomic.Bool
}

// clientConn is the entry's end of a client's connection.
type clientConn struct {
	net.Conn
	deaf *atomic.Bool
}

func (c *clientConn) Write(p []byte) (int, error) {
	if c.deaf.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline fails like that of a pipe whose other end is closed.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	if c.deaf.Load() {
		return syscall.EPIPE
	}
	return c.Conn.SetWriteDeadline(t)
}

func (n *network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newPipeListener()
	n.listeners[address] = l
	return l, nil
}

func (n *network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, dark := n.listeners[address], n.dark[address]
	n.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, end := net.Pipe()
	far := end
	if address == clients {
		far = &clientConn{Conn: end, deaf: &n.deaf}
	}
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[address]; l != nil {
		_ = l.Close()
	}
	delete(n.listeners, address)
}

// received is a request as a target got it.
type received struct {
	target id.Target
	order  http.Header
	body   string
	at     time.Time
}

// world is an entry with its targets and its key-value service.
type world struct {
	t       *testing.T
	is      *is.I
	net     *network
	entry   *direct.Entry
	stop    context.CancelFunc
	ended   chan error
	changes chan store.Change

	// sinceBoot is the host's time since its start; nil for the steady time.
	sinceBoot func() time.Duration
	// watch replaces the watch of targets, unless it is nil.
	watch func(ctx context.Context) error

	mu  sync.Mutex
	got []received
	// checks counts the health checks that targets got.
	checks  int
	targets []store.Item
	// log is what the entry logged.
	log lockedBuffer
	// kept is what the entry wrote last.
	kept     []store.Item
	config   *catalog.Config
	servers  map[string]*http.Server
	shutdown []func()
}

const (
	clients   = "10.0.0.1:8740"
	readiness = "10.0.0.1:8749"
	scrapes   = "10.0.0.1:9464"
	service   = id.Service("m")
	// healthPath is where targets tell their names.
	healthPath = "/health"
	// targetSlots is the number of slots of each target.
	targetSlots = 12
	// reuseSeconds is how long a target's address stays its service's.
	reuseSeconds = 2
)

// testConfig has a resumable route /r/, an unsafe one /u/ and a safe one /s/.
func testConfig() *catalog.Config {
	one := []catalog.WeightedService{{Service: service, Weight: 1}}
	return &catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "r", Host: "h", PathPrefix: "/r/", Services: one, Kind: catalog.Streaming, Resumable: true, MaxAttempts: 5, Timeout: 25 * time.Second, LatencyObjective: 4500 * time.Millisecond, GapObjective: 700 * time.Millisecond},
			{Name: "u", Host: "h", PathPrefix: "/u/", Services: one, Kind: catalog.Unsafe, MaxAttempts: 1, Timeout: time.Second, LatencyObjective: 150 * time.Millisecond},
			{Name: "s", Host: "h", PathPrefix: "/s/", Services: one, Kind: catalog.Safe, MaxAttempts: 2, Timeout: time.Second, LatencyObjective: 150 * time.Millisecond},
		},
		Services: map[id.Service]catalog.Service{service: {Name: service, HealthPath: healthPath, Engine: &catalog.Engine{MemoryTokens: 88000, SupportsBackup: true}}},
		Accounts: []catalog.ClientAccount{{Name: "acme", Keys: []catalog.Key{"k1"}}},
	}
}

// play runs a test in a bubble with an entry that has started.
func play(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, is: is.New(t), ended: make(chan error, 1), changes: make(chan store.Change),
			net:    &network{listeners: map[string]*pipeListener{}, dark: map[string]bool{}},
			config: testConfig(), servers: map[string]*http.Server{},
		}
		defer w.end()
		test(w)
	})
}

// end stops everything, also after a test that failed.
func (w *world) end() {
	for _, f := range w.shutdown {
		f()
	}
	if w.stop != nil {
		w.stop()
		<-w.ended
	}
	// Handlers of targets that sleep see then that their connection is closed.
	time.Sleep(time.Second)
}

// start starts the entry.
func (w *world) start() {
	w.is.NoErr(w.config.ValidateAndIndex())
	w.entry = direct.New(w.settings(), direct.Deps{
		Clock: clockwork.NewRealClock(), Log: event.NewLogfmtLog(io.MultiWriter(w.t.Output(), &w.log), clockwork.NewRealClock()),
		Metrics: metrics.NewRegistry(), Store: w.store(), Codec: w.codec(), Dialect: dialect(),
		Random: func() float64 { return 0 }, SinceBoot: w.sinceBoot, Listen: w.net.Listen, Dial: w.net.Dial,
	})
	w.is.NoErr(w.entry.Listen())
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { w.ended <- w.entry.Run(ctx) }()
	synctest.Wait()
}

// restart kills the entry and starts another one, which knows only what lies in
// the key-value service.
func (w *world) restart() {
	w.mu.Lock()
	kept := w.kept
	w.mu.Unlock()
	w.net.remove(clients)
	w.net.remove(readiness)
	w.net.remove(scrapes)
	old := w.stop
	w.shutdown = append(w.shutdown, old)
	w.start()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept = kept
}

func (w *world) settings() settings.Direct {
	s := settings.Direct{
		Name: "e", ClientAddress: clients, ReadinessAddress: readiness, MetricsAddress: scrapes,
		Place:   settings.Place{Host: "e", Zone: "a", Region: "x"},
		Limits:  settings.ProcessLimits{AddressReuseSeconds: reuseSeconds},
		Retries: settings.Retries{Ratio: 1, MinRetries: 300, WindowSeconds: 10},
	}
	s.SetDefaults()
	return s
}

func (w *world) store() *store.Store {
	return &store.Store{
		List: func(_ context.Context, prefix string) (store.Page, error) {
			if prefix == "config/" {
				return store.Page{Revision: 1, Items: []store.Item{{Key: "config/it", ModRevision: 1}}}, nil
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if prefix == store.RunsPrefix {
				return store.Page{Revision: 1, Items: w.kept}, nil
			}
			return store.Page{Revision: 1, Items: w.targets}, nil
		},
		Commit: func(_ context.Context, txn store.Txn) (store.Result, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.kept = nil
			for _, p := range txn.Puts {
				w.kept = append(w.kept, store.Item{Key: p.Key, Value: p.Value, ModRevision: 1})
			}
			return store.Result{Succeeded: true}, nil
		},
		Watch: func(ctx context.Context, prefix string, _ int64, each func(store.Change)) error {
			if w.watch != nil && prefix != "config/" {
				return w.watch(ctx)
			}
			for {
				changes := w.changes
				if prefix == "config/" {
					changes = nil
				}
				select {
				case c := <-changes:
					each(c)
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}
}

// codec reads targets from items whose values are "state address zone".
func (w *world) codec() direct.Codec {
	return direct.Codec{
		ConfigPrefix: "config/", ConfigKey: "config/it", TargetPrefix: "targets/",
		DecodeConfig: func([]byte) (*catalog.Config, error) { return w.config, nil },
		DecodeTarget: func(i store.Item, _ time.Time) (*catalog.Target, error) {
			t := &catalog.Target{ID: id.Target(i.Key), Service: service, Slots: targetSlots}
			_, err := fmt.Sscan(string(i.Value), &t.State, &t.Address, &t.Zone)
			return t, err
		},
		ParseTargetID: func(key string) (id.Target, bool) { return id.Target(key), true },
	}
}

// dialect spells the notes in headers of the tests' own.
func dialect() protocol.Dialect {
	return protocol.Dialect{
		DecodeRequest: func(h http.Header) protocol.RequestMetadata {
			prompt, _ := strconv.Atoi(h.Get("Prompt"))
			return protocol.RequestMetadata{Attempt: protocol.AttemptID(h.Get("Attempt")), Key: catalog.Key(h.Get("Key")), LastEventID: protocol.EventID(h.Get("Last")), PromptTokens: prompt}
		},
		Strip: func(h http.Header) { h.Del("Key"); h.Del("Account"); h.Del("Copy-To"); h.Del("Copy-At") },
		EncodeForward: func(h http.Header, o protocol.ForwardMetadata) {
			h.Set("Left", o.Timeout.String())
			h.Set("Target", string(o.Target))
			h.Set("Account", string(o.Account))
			h.Set("Last", string(o.LastEventID))
			h.Set("Copy-To", o.BackupAddress)
			h.Set("Copy-At", o.ResumeFrom.Address)
			h.Set("Copy-Handle", o.ResumeFrom.Handle)
		},
		DecodeResponse: func(_ int, h http.Header) protocol.ResponseMetadata {
			return protocol.ResponseMetadata{Attempt: protocol.AttemptID(h.Get("Attempt")), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
		},
		CopyCall: func(run protocol.AttemptID, to string) (protocol.Call, error) {
			return protocol.Call{Method: "POST", Path: "/copy", Header: http.Header{"Attempt": {string(run)}, "Copy-To": {to}}}, nil
		},
		DecodeCopyHandle: func(status int, body []byte) (string, error) {
			if status != http.StatusOK {
				return "", fmt.Errorf("status %d", status)
			}
			return string(body), nil
		},
		DecodeIdentity: func(status int, h http.Header) (protocol.Identity, bool) {
			slots, err := strconv.Atoi(h.Get("Slots"))
			return protocol.Identity{Target: id.Target(h.Get("Name")), Slots: slots}, status == http.StatusOK && err == nil
		},
		FreeCopyCall: func(handle string) protocol.Call {
			return protocol.Call{Method: "DELETE", Path: "/free/" + handle}
		},
		EncodeRefusal: func(h http.Header, a protocol.AttemptID) { h.Set("Attempt", string(a)) },
		ReadyPath:     "/ready",
	}
}

// target adds a target that answers by the handler, which is called after the
// attempt has been echoed.
func (w *world) target(name, address, zone string, handler http.HandlerFunc) {
	w.targets = append(w.targets, store.Item{Key: name, Value: fmt.Appendf(nil, "ready %s %s", address, zone), ModRevision: 1})
	w.unlisted(name, address, handler)
}

// unlisted starts a target that the key-value service does not list. Requests
// for other targets are refused unrun.
func (w *world) unlisted(name, address string, handler http.HandlerFunc) {
	l, err := w.net.Listen(address)
	w.is.NoErr(err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		rw.Header().Set("Attempt", r.Header.Get("Attempt"))
		if w.notes(name, r, string(body)) {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler(rw, r)
	})}
	w.mu.Lock()
	w.servers[address] = s
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	w.shutdown = append(w.shutdown, func() { _ = s.Close() })
}

// notes notes what a target got, and reports whether another one is meant.
func (w *world) notes(name string, r *http.Request, body string) (misdirected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == healthPath {
		w.checks++
		return false
	}
	w.got = append(w.got, received{target: id.Target(name), order: r.Header.Clone(), body: body, at: time.Now()})
	meant := r.Header.Get("Target")
	return meant != "" && meant != name
}

// crash ends a target: its connections close and new ones are refused.
func (w *world) crash(address string) {
	w.net.remove(address)
	w.mu.Lock()
	s := w.servers[address]
	w.mu.Unlock()
	_ = s.Close()
}

// lists tells the entry of a target.
func (w *world) lists(name, address, zone string) {
	w.changes <- store.Change{Item: store.Item{Key: name, Value: fmt.Appendf(nil, "ready %s %s", address, zone), ModRevision: 2}}
	synctest.Wait()
}

// leaves tells the entry that a target is draining.
func (w *world) leaves(name, address, zone string) {
	w.changes <- store.Change{Item: store.Item{Key: name, Value: fmt.Appendf(nil, "draining %s %s", address, zone), ModRevision: 2}}
	synctest.Wait()
}

// requests returns what the targets got so far.
func (w *world) requests() []received {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]received(nil), w.got...)
}

// client is one connection of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func (w *world) client() *client {
	c, err := w.net.Dial(w.t.Context(), clients)
	w.is.NoErr(err)
	w.shutdown = append(w.shutdown, func() { _ = c.Close() })
	return &client{conn: c, r: bufio.NewReader(c)}
}

// send writes a request with the headers, which are pairs of name and value.
func (c *client) send(method, path, attempt, body string, headers ...string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nAttempt: %s\r\nKey: k1\r\nContent-Length: %d\r\n", method, path, attempt, len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	b.WriteString("\r\n" + body)
	_, _ = c.conn.Write(b.Bytes())
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// broken says that the answer did not come whole.
	broken bool
	// closes says that the connection takes no more requests.
	closes bool
}

// receive reads an answer to its end.
func (c *client) receive() answer {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{broken: true}
	}
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), broken: err != nil, closes: res.Close}
}

// ask sends one request over a new connection.
func (w *world) ask(method, path, attempt, body string, headers ...string) answer {
	c := w.client()
	c.send(method, path, attempt, body, headers...)
	return c.receive()
}

// events writes the events from first to last, one each gap.
func events(rw http.ResponseWriter, first, last int, gap time.Duration) {
	rw.Header().Set("Signed", "yes")
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= last; n++ {
		time.Sleep(gap)
		fmt.Fprintf(rw, "id: %d\ndata: x%d\n\n", n, n)
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
	}
}

// wholeStream is what events writes from 1 to last.
func wholeStream(last int) string {
	var b bytes.Buffer
	for n := 1; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x%d\n\n", n, n)
	}
	return b.String()
}

// after returns the number of the event that follows the one that the client
// has.
func after(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Last"))
	return n + 1
}

// reply returns a handler that answers with a status and a body.
func reply(status int, body string, headers ...string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(headers); i += 2 {
			rw.Header().Set(headers[i], headers[i+1])
		}
		rw.WriteHeader(status)
		_, _ = rw.Write([]byte(body))
	}
}
