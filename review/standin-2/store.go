package main

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxWatch is how long the store holds a watch at most.
const maxWatch = 30 * time.Second

// storeItem is an item as the store's page shows it.
type storeItem struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease-id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store: items with revisions, pages, watches and
// transactions. It knows no leases, because the project's entries take none.
type store struct {
	address string
	// down says that no call is answered: each connection is closed.
	down atomic.Bool

	// lose, unless nil, says that the answer to the next write is lost. late is closed when that write is done.
	lose     chan struct{}
	lateness time.Duration
	late     chan struct{}

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

// newStore starts a store.
func newStore() (*store, error) {
	s := &store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) int64 {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(key, data)
	return s.revision
}

func (s *store) writeLocked(key string, data []byte) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{Key: key, Data: data, Revision: s.revision, Created: created}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wakeLocked()
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
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/api/kv-range":
		s.list(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("path-prefix"), r.FormValue("after")
	s.mu.Lock()
	entries, at := []storeItem{}, s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	more := len(entries) > 500
	if more {
		entries = entries[:500]
	}
	s.answer(w, http.StatusOK, map[string]any{"entries": entries, "has-more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("path-prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait-ms"), 10, 64)
	end := time.After(min(maxWatch, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		events, at, changed := []storeItem{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after > at {
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []storeItem `json:"expected-revision"`
		Write    []storeItem `json:"write"`
		Remove   []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, i := range txn.Write {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if s.losesWrite(txn.Write) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	current, held := []storeItem{}, true
	for _, e := range txn.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		held = held && i.Revision == e.Revision
	}
	if held {
		for _, i := range txn.Write {
			s.writeLocked(i.Key, i.Data)
		}
		for _, key := range txn.Remove {
			s.removeLocked(key)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	if !held {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"revision": revision})
}

// route describes a route for putConfig.
type route struct {
	name, prefix, kind, service string
	timeoutMS, targetMS         int
	attempts                    int
	resumable, public           bool
}

// putConfig writes a configuration with the services "shop" (plain) and "llm" (engines).
func (s *store) putConfig(version int, keys map[string][]string, routes ...route) {
	var rs []map[string]any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "kind": r.kind, "timeout-ms": r.timeoutMS,
			"target-latency-ms": r.targetMS, "priority": 1, "service": r.service, "max-attempts": max(1, r.attempts), "public": r.public,
		}
		if r.kind == "streaming" {
			m["sticky"], m["resumable"], m["target-gap-ms"] = true, r.resumable, 700
		}
		rs = append(rs, m)
	}
	all := map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	c := map[string]any{
		"version": version, "routes": rs, "limits": all,
		"services": []map[string]any{
			{"name": "shop", "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false},
			{"name": "llm", "health-path": "/healthz", "max-connections": 150, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slots": 12, "kv-capacity": 88000, "kv-bytes": 18432, "bandwidth-mbps": 180000.0, "migrations": true, "backups": true,
				"interval": 8, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "ref-ttl-s": 4.0, "model-list": []map[string]any{{"name": "m"}},
			}},
		},
	}
	if keys != nil {
		var tenants []map[string]any
		for name, ks := range keys {
			tenants = append(tenants, map[string]any{"name": name, "api-keys": ks, "priority": 1})
		}
		c["tenants"] = tenants
	}
	s.put("op/config", c)
}

// register writes a replica's entry.
func (s *store) register(r *replica, state string) {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": r.sequence,
	}
	if r.born != 0 {
		entry["born"] = r.born
	}
	r.mu.Unlock()
	s.put("servers/"+r.id, entry)
}

// loseNext has the answer to the next write lost, and the write done a time later. The returned channel is closed
// when it has come.
func (s *store) loseNext(late time.Duration) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.late, s.lateness = make(chan struct{}), make(chan struct{}), late
	return s.lose
}

// awaitLate waits until the lost write is done.
func (s *store) awaitLate() { <-s.late }

// losesWrite reports whether the answer to a write is lost, and has it done later.
func (s *store) losesWrite(items []storeItem) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == nil {
		return false
	}
	close(s.lose)
	s.lose = nil
	time.AfterFunc(s.lateness, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, i := range items {
			s.writeLocked(i.Key, i.Data)
		}
		close(s.late)
	})
	return true
}
