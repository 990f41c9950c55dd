// Package hostlist is a stand-in for the platform's host list. It can serve outdated
// versions of the list, with a configurable lag.
//
// # Usage
//
//	l := hostlist.New(nil)
//	l.Set("host-1", member.HostLive)
//	l.SetLag(3 * time.Second)
//	server := httptest.NewServer(l.Handler())
//
// The HTTP handler has these routes: GET / reads the list, PUT /hosts/{host} sets the
// state of a host, DELETE /hosts/{host} removes a host, and POST /faults runs a
// Command.
package hostlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/member"
	protocol "foxtailward.example/foxtailward/internal/protocol/hostlist"
	"foxtailward.example/foxtailward/internal/state/id"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 16

// List is a stand-in host list. It is safe for concurrent use.
type List struct {
	clock clockwork.Clock

	mu        sync.Mutex
	lag       time.Duration
	outage    bool
	readCount int
	// versions holds all versions of the list, the oldest first. The newest version
	// that is at least as old as the lag is served.
	versions []version
}

type version struct {
	document protocol.Document
	at       time.Time
}

// New returns an empty list. A nil clock means the real clock.
func New(clock clockwork.Clock) *List {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &List{clock: clock, versions: []version{{document: protocol.Document{Hosts: protocol.Hosts{}}}}}
}

// Set adds a host to the list or changes its state.
func (l *List) Set(host id.Host, state member.HostState) {
	l.update(func(hosts protocol.Hosts) protocol.Hosts {
		return append(removeHost(hosts, host), protocol.Host{Host: host, State: state})
	})
}

// Remove removes a host from the list.
func (l *List) Remove(host id.Host) {
	l.update(func(hosts protocol.Hosts) protocol.Hosts { return removeHost(hosts, host) })
}

// SetLag sets how long after a change reads get the changed list.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetOutage sets whether reads fail.
func (l *List) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// ReadCount returns the number of requests for the list, failed ones included.
func (l *List) ReadCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readCount
}

// Current returns the version of the list that reads get now.
func (l *List) Current() protocol.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current()
}

func (l *List) current() protocol.Document {
	cutoff := l.clock.Now().Add(-l.lag)
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].at.After(cutoff) {
			return l.versions[i].document
		}
	}
	return l.versions[0].document
}

func (l *List) update(edit func(protocol.Hosts) protocol.Hosts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].document
	next := protocol.Document{Version: newest.Version + 1, Hosts: edit(slices.Clone(newest.Hosts))}
	slices.SortFunc(next.Hosts, func(a, b protocol.Host) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
	l.versions = append(l.versions, version{document: next, at: l.clock.Now()})
}

func removeHost(hosts protocol.Hosts, host id.Host) protocol.Hosts {
	return slices.DeleteFunc(hosts, func(h protocol.Host) bool { return h.Host == host })
}

// Handler returns the HTTP handler of the list.
func (l *List) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/", l.serveList)
	r.Put("/hosts/{host}", l.servePut)
	r.Delete("/hosts/{host}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(id.Host(chi.URLParam(r, "host")))
		w.WriteHeader(http.StatusNoContent)
	})
	r.Post("/faults", l.serveFault)
	return r
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.readCount++
	document, outage := l.current(), l.outage
	l.mu.Unlock()
	if outage {
		http.Error(w, "the host list is down", http.StatusServiceUnavailable)
		return
	}
	tag := `"` + strconv.FormatInt(document.Version, 10) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(document)
}

// stateRequest is the body of PUT /hosts/{host}.
type stateRequest struct {
	State member.HostState `json:"state"`
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var body stateRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
	if err != nil || (body.State != member.HostLive && body.State != member.HostLeaving) {
		http.Error(w, "the state must be live or leaving", http.StatusBadRequest)
		return
	}
	l.Set(id.Host(chi.URLParam(r, "host")), body.State)
	w.WriteHeader(http.StatusNoContent)
}

// Command is the body of POST /faults.
type Command struct {
	// Kind is "lag", "outage" or "resume".
	Kind string `json:"kind"`
	// Millis is the lag in milliseconds, for "lag".
	Millis int64 `json:"millis,omitempty"`
}

func (l *List) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch c.Kind {
	case "lag":
		l.SetLag(time.Duration(c.Millis) * time.Millisecond)
	case "outage":
		l.SetOutage(true)
	case "resume":
		l.SetOutage(false)
	default:
		http.Error(w, "the fault is not known", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
