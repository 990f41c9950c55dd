// Package hostlist is a stand-in for the platform's host list. It serves the
// list as it was a settable lag ago.
//
// # Usage
//
//	l := hostlist.New(nil)
//	l.Set("host-1", member.HostLive)
//	l.SetLag(3 * time.Second)
//	server := httptest.NewServer(l.Handler())
//
// Over HTTP: GET / reads the list, PUT /hosts/{host} takes a state,
// DELETE /hosts/{host} takes the host out, and POST /faults takes a Command.
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

// maxBody bounds a request's body, in bytes.
const maxBody = 1 << 16

// List is a stand-in host list. It is safe for concurrent use.
type List struct {
	clock clockwork.Clock

	mu     sync.Mutex
	lag    time.Duration
	outage bool
	reads  int
	// versions holds the list's states, the oldest first; the newest that is
	// as old as the lag is served.
	versions []version
}

type version struct {
	document protocol.Document
	at       time.Time
}

// New returns an empty list; a nil clock is the real one.
func New(clock clockwork.Clock) *List {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &List{clock: clock, versions: []version{{document: protocol.Document{Hosts: protocol.Hosts{}}}}}
}

// Set puts a host on the list or changes its state.
func (l *List) Set(host id.Host, state member.HostState) {
	l.change(func(hosts protocol.Hosts) protocol.Hosts {
		return append(without(hosts, host), protocol.Host{Host: host, State: state})
	})
}

// Remove takes a host off the list.
func (l *List) Remove(host id.Host) {
	l.change(func(hosts protocol.Hosts) protocol.Hosts { return without(hosts, host) })
}

// SetLag sets how old the served list is.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetOutage makes reads fail, or ends this.
func (l *List) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// ReadCount returns how often the list was asked for.
func (l *List) ReadCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Current returns the list that is served now.
func (l *List) Current() protocol.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served()
}

func (l *List) served() protocol.Document {
	until := l.clock.Now().Add(-l.lag)
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].at.After(until) {
			return l.versions[i].document
		}
	}
	return l.versions[0].document
}

func (l *List) change(edit func(protocol.Hosts) protocol.Hosts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].document
	next := protocol.Document{Version: newest.Version + 1, Hosts: edit(slices.Clone(newest.Hosts))}
	slices.SortFunc(next.Hosts, func(a, b protocol.Host) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
	l.versions = append(l.versions, version{document: next, at: l.clock.Now()})
}

func without(hosts protocol.Hosts, host id.Host) protocol.Hosts {
	return slices.DeleteFunc(hosts, func(h protocol.Host) bool { return h.Host == host })
}

// Handler returns the list's HTTP interface.
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
	l.reads++
	document, outage := l.served(), l.outage
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
	// The peer is gone when this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(document)
}

// stateBody is the body of PUT /hosts/{host}.
type stateBody struct {
	State member.HostState `json:"state"`
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var body stateBody
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body)
	if err != nil || (body.State != member.HostLive && body.State != member.HostLeaving) {
		http.Error(w, "the state must be live or leaving", http.StatusBadRequest)
		return
	}
	l.Set(id.Host(chi.URLParam(r, "host")), body.State)
	w.WriteHeader(http.StatusNoContent)
}

// Command is a fault command, as POST /faults takes it.
type Command struct {
	// Kind is "lag", "outage" or "resume".
	Kind string `json:"kind"`
	// Millis is the lag.
	Millis int64 `json:"millis,omitempty"`
}

func (l *List) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&c); err != nil {
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
