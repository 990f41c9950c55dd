package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: keys, revisions and watches. Entries hold no leases,
// so calls for them are missing.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// down is set while the store resets each channel on which it is called.
	down bool
}

// setDown begins or ends an outage. Watches that wait are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// isDown reports whether there is an outage.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// guard serves calls unless there is an outage.
func (s *store) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// item is a key and its value, or a deletion.
type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease-id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	go func() { _ = http.Serve(l, s.guard(mux)) }()
	return s, nil
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, data)
}

func (s *store) putLocked(key string, data []byte) {
	s.revision++
	i := item{Key: key, Data: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.addHistory(i)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.addHistory(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) addHistory(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("path-prefix"), r.FormValue("after")
	s.mu.Lock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has-more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("path-prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait-ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a write.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected-revision"`
	Write []struct {
		Key  string `json:"key"`
		Data []byte `json:"data"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range t.Write {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, held := []item{}, true
	for _, e := range t.Expected {
		i := s.items[e.Key]
		held = held && i.Revision == e.Revision
		if i.Revision > 0 {
			current = append(current, i)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, put := range t.Write {
		s.putLocked(put.Key, put.Data)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const (
	routeHost = "diag.example"
	key       = "xd9dnn2ctnfzs989anu6"
	tenant    = "huka270"
)

// configText is the operator's configuration.
const configText = `{"version":7,"routes":[
{"name":"r-report","host":"diag.example","path-prefix":"/report/","kind":"streaming","timeout-ms":25000,"target-latency-ms":4500,"priority":1,"service":"diag","max-attempts":5,"public":false,"sticky":true,"resumable":true,"target-gap-ms":700},
{"name":"r-once","host":"diag.example","path-prefix":"/once/","kind":"streaming","timeout-ms":25000,"target-latency-ms":4500,"priority":1,"service":"diag","max-attempts":5,"public":false,"sticky":true,"resumable":false,"target-gap-ms":700},
{"name":"r-parts","host":"diag.example","path-prefix":"/parts/","kind":"unsafe","timeout-ms":5000,"target-latency-ms":500,"priority":2,"service":"parts","max-attempts":3,"public":false},
{"name":"r-status","host":"diag.example","path-prefix":"/status/","kind":"safe","timeout-ms":5000,"target-latency-ms":500,"priority":2,"service":"parts","max-attempts":3,"public":false}],
"services":[
{"name":"diag","health-path":"/healthz","max-connections":400,"protocol":"h1","tls":false,"runtime":{"slots":160,"kv-capacity":88000,"kv-bytes":18432,"bandwidth-mbps":180000.0,"migrations":true,"backups":true,"interval":8,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"ref-ttl-s":4.0,"model-list":[{"name":"m"}]}},
{"name":"parts","health-path":"/healthz","max-connections":400,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}`
