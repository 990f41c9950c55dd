package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Limits that the settings of these tests give the process, and the bounds that follow.
const (
	// hostileMemoryMB is the memory of the process's machine.
	hostileMemoryMB = 64
	// hostileFDs is the largest number of descriptors that the process may have open, and
	// mostHostileFDs how many clients may make it open.
	hostileFDs     = 512
	mostHostileFDs = hostileFDs * 3 / 4
	// legalHeadBytes is the operator's limit for a head.
	legalHeadBytes = 16384
	// endlessBytes is how much a client sends of something without end.
	endlessBytes = 4 << 20
	holdPath     = "/s/hold"
	// settleTime is how long the process reads what was sent before it is checked.
	settleTime = time.Second
	// contactTime is how long a process that is ready may take no new connection.
	contactTime = 3 * time.Second
	// holdTimeout is the timeout of the route. It is longer than the test waits.
	holdTimeout = 2 * waitTimeout
)

// heldTarget answers requests to holdPath once it is released, and others at once.
type heldTarget struct {
	held    atomic.Int64
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (h *heldTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, holdPath) {
		h.held.Add(1)
		select {
		case <-h.release:
		case <-r.Context().Done():
		}
	}
	platform.EncodeResponseMetadata(w.Header(), platform.DecodeForwardedRequest(r.Header).Attempt, "signed", false)
	_, _ = io.WriteString(w, "ok")
}

// hostileEntry is an entry with little memory and few descriptors.
type hostileEntry struct {
	*process
	c      *directCluster
	t      *testing.T
	target *heldTarget
	// memoryMB is what the process may take.
	memoryMB int
	// addresses has the address of each listener.
	addresses map[string]string
}

// startHostile starts an entry on its own loopback address, and a target.
func startHostile(t *testing.T) *hostileEntry {
	t.Helper()
	c := newDirectCluster(t)
	h := &hostileEntry{c: c, t: t, memoryMB: hostileMemoryMB, target: &heldTarget{release: make(chan struct{})}, addresses: map[string]string{}}
	server := httptest.NewServer(h.target)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	c.putLimitedConfig()
	c.putTarget("t1", server.URL, catalog.Ready, 1)
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"e\"\nseeds = [\"127.0.0.1:1\"]\nstore = %q\n", c.storeAddress)
	for _, name := range []string{"clients", "readiness", "metrics", "peers", "operators"} {
		h.addresses[name] = fmt.Sprintf("127.0.0.1:%d", freePort(t))
		fmt.Fprintf(&text, "%s = %q\n", name, h.addresses[name])
	}
	fmt.Fprintf(&text, "[limits]\nmemoryMB = %d\n[place]\nhost = \"e\"\nzone = \"a\"\nregion = \"x\"\n", hostileMemoryMB)
	h.process = c.startLimited("direct", "--config", c.config("e", text.String()))
	h.line(t, "name=revisionInForce")
	h.ordinary("before")
	return h
}

// startLimited starts the program with few descriptors.
func (c *cluster) startLimited(args ...string) *process {
	c.t.Helper()
	return c.start("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, hostileFDs), c.mainPath}, args...)...)
}

// putLimitedConfig writes a configuration with the operator's limits.
func (c *directCluster) putLimitedConfig() {
	is := is.New(c.t)
	data, err := platform.EncodeConfig(&catalog.Config{
		Version:  1,
		Services: map[id.Service]catalog.Service{shopService: {Name: shopService, HealthPath: "/health"}},
		Routes: []catalog.Route{{
			Name: "s", Host: shopHost, PathPrefix: "/s/", Kind: catalog.Safe, MaxAttempts: 1, Timeout: holdTimeout,
			LatencyObjective: time.Second, Public: true, Services: []catalog.WeightedService{{Service: shopService, Weight: 1}},
		}},
	})
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(json.Unmarshal(data, &fields))
	fields["limits"] = map[string]any{"max-header-bytes": legalHeadBytes, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 60000}
	data, err = json.Marshal(fields)
	is.NoErr(err)
	c.put(store.Put{Key: platform.ConfigKey, Value: data})
}

// ordinary sends an ordinary request, which must be answered.
func (h *hostileEntry) ordinary(when string) {
	h.t.Helper()
	status := 0
	// The target may not be listed yet, and the crowd may just have gone.
	for deadline := time.Now().Add(waitTimeout); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status = h.c.send(h.addresses["clients"], "/s/x", "ordinary")
	}
	if status != http.StatusOK {
		h.t.Errorf("%s the crowd: an ordinary request got status %d", when, status)
	}
}

// crowd runs n clients at once and waits until each has returned. leave closes their
// connections.
func (h *hostileEntry) crowd(listener string, n int, client func(i int, conn net.Conn)) (leave func()) {
	var wg sync.WaitGroup
	conns := make([]net.Conn, n)
	for i := range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", h.addresses[listener], waitTimeout)
			if err != nil {
				return
			}
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			client(i, conn)
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// check checks the memory and the descriptors of the process.
func (h *hostileEntry) check(kind string) {
	h.t.Helper()
	time.Sleep(settleTime)
	dir := fmt.Sprintf("/proc/%d", h.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		h.t.Fatalf("the process has ended: %v", err)
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		h.t.Fatal("the process has ended")
	}
	kB, err := strconv.Atoi(strings.Fields(rest)[0])
	is.New(h.t).NoErr(err)
	fds, err := os.ReadDir(dir + "/fd")
	is.New(h.t).NoErr(err)
	h.t.Logf("%s: largest memory %d MB, descriptors %d", kind, kB>>10, len(fds))
	if kB > h.memoryMB<<10 {
		h.t.Errorf("the process took %d MB, its machine has %d", kB>>10, h.memoryMB)
	}
	if len(fds) > mostHostileFDs {
		h.t.Errorf("the process has %d descriptors open, want at most %d", len(fds), mostHostileFDs)
	}
}

// requestLine begins a head to a path.
func requestLine(path string) string {
	var b strings.Builder
	b.WriteString("POST " + path + " HTTP/1.1\r\nHost: " + shopHost + "\r\nContent-Length: 0\r\n")
	// A strings.Builder takes everything.
	_ = hostileHeader().Write(&b)
	return b.String()
}

// hostileHeader returns the metadata of a hostile client's request.
func hostileHeader() http.Header {
	header := http.Header{}
	platform.EncodeRequestMetadata(header, &direct.RequestMetadata{Attempt: "hostile", Timeout: holdTimeout})
	return header
}

// shortParts returns a head that is made of one list of very many empty parts of a prompt.
func shortParts(path string, size int) []byte {
	header := http.Header{}
	platform.EncodeRequestMetadata(header, &direct.RequestMetadata{PromptTokens: 1, PromptParts: []direct.PartID{"part"}})
	head := requestLine(path)
	for name, values := range header {
		if strings.Contains(values[0], "part") {
			head += name + ": "
		}
	}
	return []byte(head + strings.Repeat(",", size-len(head)-4) + "\r\n\r\n")
}

// shortLines returns a head of the size, without its empty line at the end, that is made of
// very many short lines.
func shortLines(path string, size int) []byte {
	head := []byte(requestLine(path))
	for i := 0; len(head)+10 < size; i++ {
		head = append(head, strconv.FormatInt(int64(i), 36)+":\r\n"...)
	}
	return head
}

// oddLines are header lines that no ordinary client sends.
var oddLines = []string{":\r\n", "a b: c\r\n", "\x01: x\r\n", "a\r\n", "a:\r\n \r\n", "a:\r\n\tb\r\n", "Content-Length: 7\r\n", "a:\x00\r\n", "A_b:\n", "ä: ö\r\n"}

// sendEndless sends a part again and again, and returns when the other side has closed.
func sendEndless(conn net.Conn, begin string, part func(i int) string) {
	_, _ = io.WriteString(conn, begin)
	for sent, i := 0, 0; sent < endlessBytes; {
		var b bytes.Buffer
		for ; b.Len() < 8<<10; i++ {
			b.WriteString(part(i))
		}
		n, err := conn.Write(b.Bytes())
		if err != nil {
			return
		}
		sent += n
	}
}

// listeners are the names of the addresses that an entry listens on.
var listeners = []string{"clients", "readiness", "metrics", "peers", "operators"}

// awaitEnd reads until the other side closes, or has sent nothing for some time.
func awaitEnd(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(settleTime))
	_, _ = io.Copy(io.Discard, conn)
}

// endlessHeads are clients that send what never ends, or heads over the limit.
var endlessHeads = []struct {
	name   string
	client func(conn net.Conn)
}{
	{"oneLine", func(conn net.Conn) {
		sendEndless(conn, requestLine("/s/x")+"a: ", func(int) string { return "aaaaaaaa" })
	}},
	{"manyLines", func(conn net.Conn) {
		sendEndless(conn, requestLine("/s/x"), func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" })
	}},
	{"equalLines", func(conn net.Conn) {
		sendEndless(conn, requestLine("/s/x"), func(int) string { return "a:\r\n" })
	}},
	{"foldedLines", func(conn net.Conn) {
		sendEndless(conn, requestLine("/s/x")+"a: b\r\n", func(int) string { return " \r\n" })
	}},
	{"emptyLines", func(conn net.Conn) { sendEndless(conn, "", func(int) string { return "\r\n" }) }},
	{"emptyLinesAfterRequest", func(conn net.Conn) {
		sendEndless(conn, requestLine("/s/x")+"\r\n", func(int) string { return "\r\n" })
	}},
	{"overLimit", func(conn net.Conn) {
		_, _ = conn.Write(append(shortLines("/s/x", 6*legalHeadBytes), "\r\n"...))
		awaitEnd(conn)
	}},
}

// Clients send heads and empty lines that never end, and heads over the limit, to each
// listener.
func TestHostileEndlessHeads(t *testing.T) {
	const clients = 40
	for _, listener := range listeners {
		t.Run(listener, func(t *testing.T) {
			h := startHostile(t)
			for _, kind := range endlessHeads {
				leave := h.crowd(listener, clients, func(_ int, conn net.Conn) { kind.client(conn) })
				h.check(kind.name)
				leave()
				h.ordinary("after")
			}
		})
	}
}

// Clients send requests of legal size that are made of very many short lines, or of one list
// of very many short parts. They wait at a target all at once.
func TestHostileShortLines(t *testing.T) {
	const clients = 160
	heads := map[string][]byte{
		"shortLines": append(shortLines(holdPath, legalHeadBytes), "\r\n"...),
		"shortParts": shortParts(holdPath, legalHeadBytes),
	}
	for kind, head := range heads {
		t.Run(kind, func(t *testing.T) {
			h := startHostile(t)
			var ended atomic.Int64
			go h.crowd("clients", clients, func(_ int, conn net.Conn) {
				defer ended.Add(1)
				_, _ = conn.Write(head)
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			})
			for deadline := time.Now().Add(waitTimeout); h.target.held.Load()+ended.Load() < clients && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("%d requests wait at the target", h.target.held.Load())
			h.check(kind)
			h.ordinary("during")
			close(h.target.release)
			h.ordinary("after")
			h.check(kind)
		})
	}
}

// Clients send heads with each of the odd lines, alone and in number.
func TestHostileOddLines(t *testing.T) {
	const clients = 40
	h := startHostile(t)
	leave := h.crowd("clients", clients, func(i int, conn net.Conn) {
		line := oddLines[i%len(oddLines)]
		head := requestLine("/s/x")
		count := 1
		if i >= len(oddLines) {
			count = (legalHeadBytes - len(head) - 2) / len(line)
		}
		_, _ = io.WriteString(conn, head+strings.Repeat(line, count)+"\r\n")
		awaitEnd(conn)
	})
	h.check("odd lines")
	leave()
	h.ordinary("after")
}

// Clients hold heads open that lack their end: of many short lines, of little, and with nothing
// sent. They are as many as the process has descriptors.
func TestHostilePartialHeads(t *testing.T) {
	heads := []struct {
		name string
		data []byte
	}{{"nothing", nil}, {"requestLine", []byte("GET ")}, {"shortLines", shortLines("/s/x", legalHeadBytes)}}
	for _, listener := range listeners {
		t.Run(listener, func(t *testing.T) {
			h := startHostile(t)
			for _, head := range heads {
				leave := h.crowd(listener, hostileFDs, func(_ int, conn net.Conn) { _, _ = conn.Write(head.data) })
				h.check(head.name)
				h.ordinary("during")
				leave()
			}
		})
	}
}

// TestHostileStalledBodies guards against ordinary clients that are shut off because others send the heads of requests and keep back
// their bodies, on a path without a route, without a length, or where the request would be accepted.
func TestHostileStalledBodies(t *testing.T) {
	kinds := []struct{ name, path, framing string }{
		{"noRoute", "/none", "Content-Length: 1000\r\n"},
		{"chunks", "/none", "Transfer-Encoding: chunked\r\n"},
		{"accepted", "/s/x", "Content-Length: 1000\r\n"},
	}
	h := startHostile(t)
	for _, kind := range kinds {
		var b bytes.Buffer
		fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s", kind.path, shopHost, kind.framing)
		is.New(t).NoErr(hostileHeader().Write(&b))
		b.WriteString("\r\n")
		leave := h.crowd("clients", hostileFDs, func(_ int, conn net.Conn) { _, _ = conn.Write(b.Bytes()) })
		h.check(kind.name)
		began := time.Now()
		h.ordinary("during")
		if took := time.Since(began); took > contactTime {
			t.Errorf("%s: an ordinary request was served after %v, want within %v", kind.name, took, contactTime)
		}
		leave()
		h.ordinary("after")
	}
}

// One request of legal size that is made of very many short lines is served in calm.
func TestShortLinesInCalm(t *testing.T) {
	h := startHostile(t)
	conn, err := net.Dial("tcp", h.addresses["clients"])
	is.New(t).NoErr(err)
	defer conn.Close()
	_, err = conn.Write(append(shortLines("/s/x", legalHeadBytes), "Connection: close\r\n\r\n"...))
	is.New(t).NoErr(err)
	answer, err := io.ReadAll(conn)
	is.New(t).NoErr(err)
	if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
		t.Errorf("one request of legal size got %.40q", answer)
	}
}

// memoryOnWireMB bounds a process on the product's own wire, whose settings name no memory: the
// memory for heads that applies then, and as much for the rest.
const memoryOnWireMB = 128

// startOnWire starts an entry or a target process on the product's own wire.
func startOnWire(t *testing.T, role string) *hostileEntry {
	t.Helper()
	c := newCluster(t)
	_, store := c.standIn("store")
	h := &hostileEntry{t: t, memoryMB: memoryOnWireMB, addresses: map[string]string{}}
	text := "name = \"e\"\n"
	listeners := []string{"peers", "operators"}
	if role == "entry" {
		listeners = append(listeners, "callers")
	}
	for _, name := range listeners {
		h.addresses[name] = fmt.Sprintf("127.0.0.1:%d", freePort(t))
		text += fmt.Sprintf("%s = %q\n", name, h.addresses[name])
	}
	text += fmt.Sprintf("[place]\nhost = \"e\"\nzone = \"a\"\nregion = \"x\"\n[platform]\nstores = [%q]\n", store)
	if role == "target" {
		_, engine := c.standIn("engine", "--model", "report", "--version", "v1")
		text += fmt.Sprintf("[engine]\nurl = %q\nmodel = \"report\"\nversion = \"v1\"\nslots = 16\n", engine)
	}
	h.process = c.startLimited(role, "--config", c.config(role, text))
	h.answered("before")
	return h
}

// answered asks each listener with HTTP for a page, which must be answered.
func (h *hostileEntry) answered(when string) {
	h.t.Helper()
	for name, path := range map[string]string{"operators": "/healthz", "callers": "/v1/models"} {
		address, ok := h.addresses[name]
		if !ok {
			continue
		}
		err := fmt.Errorf("not asked")
		for deadline := time.Now().Add(waitTimeout); err != nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			var res *http.Response
			if res, err = http.Get("http://" + address + path); err == nil {
				_ = res.Body.Close()
			}
		}
		if err != nil {
			h.t.Errorf("%s the crowd: %s: %v", when, name, err)
		}
	}
}

// Processes on the product's own wire get heads without end and partial heads too.
func TestHostileOnWire(t *testing.T) {
	const clients = 40
	for _, role := range []string{"entry", "target"} {
		for _, listener := range []string{"callers", "operators", "peers"} {
			if role == "target" && listener == "callers" {
				continue
			}
			t.Run(role+"/"+listener, func(t *testing.T) {
				h := startOnWire(t, role)
				for _, kind := range endlessHeads {
					leave := h.crowd(listener, clients, func(_ int, conn net.Conn) { kind.client(conn) })
					leave()
				}
				h.check("endless heads")
				for _, head := range [][]byte{nil, shortLines("/v1/models", legalHeadBytes)} {
					leave := h.crowd(listener, hostileFDs, func(_ int, conn net.Conn) { _, _ = conn.Write(head) })
					h.check("partial heads")
					h.answered("during")
					leave()
				}
			})
		}
	}
}
