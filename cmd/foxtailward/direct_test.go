package main_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	kv "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/platform"
)

// directEntry is an entry that runs on a stand-in of the platform's store.
type directEntry struct {
	t       *testing.T
	service *kv.Service
	process *process
}

// newDirectEntry starts an entry with version 1 of the configuration.
func newDirectEntry(t *testing.T) *directEntry {
	t.Helper()
	e := &directEntry{t: t, service: kv.New(kv.Options{})}
	t.Cleanup(e.service.Close)
	server := httptest.NewServer(platform.NewStoreHandler(e.service.Direct(), e.service.Era))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	e.writeConfig(1)
	c := newCluster(t)
	e.process = c.start(c.mainPath, "direct", "--config", c.config("e", fmt.Sprintf(`name = "e"
clients = "127.0.0.1:0"
readiness = "127.0.0.1:0"
peers = "127.0.0.1:0"
store = %q
[place]
host = "e"
zone = "a"
region = "x"
`, strings.TrimPrefix(server.URL, "http://"))))
	e.awaitVersion(1)
	return e
}

// writeConfig writes a configuration as the operator does.
func (e *directEntry) writeConfig(version catalog.Version) {
	e.t.Helper()
	data, err := platform.EncodeConfig(&catalog.Config{Version: version})
	is.New(e.t).NoErr(err)
	e.put(platform.ConfigKey, data)
}

func (e *directEntry) put(key string, value []byte) {
	e.t.Helper()
	s := e.service.Direct()
	_, err := s.Commit(e.t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
	is.New(e.t).NoErr(err)
}

// awaitVersion waits until a configuration is in force.
func (e *directEntry) awaitVersion(version catalog.Version) {
	e.t.Helper()
	e.process.line(e.t, fmt.Sprintf("name=revisionInForce version=%d", version))
}

// A change that the store confirms after it returned from an older copy must be
// applied, although its revision was in use before.
func TestConfigAfterStoreReturnsFromCopy(t *testing.T) {
	is := is.New(t)
	e := newDirectEntry(t)
	before := e.service.Copy()
	for version := catalog.Version(2); version <= 6; version++ {
		e.writeConfig(version)
		e.awaitVersion(version)
	}
	// The entry watches again after the last change.
	for e.service.Calls().OpenWatches < 2 {
		time.Sleep(time.Millisecond)
	}
	lost := e.service.Revision()
	e.service.ReturnTo(before)
	e.writeConfig(8)
	is.True(e.service.Revision() < lost)
	for i := 0; e.service.Revision() <= lost; i++ {
		e.put(fmt.Sprintf("other/%d", i), nil)
	}
	e.awaitVersion(8)
}
