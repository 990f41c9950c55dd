package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/platform"
)

// applyTime is how long after its confirmation a change must be in force.
const applyTime = 2500 * time.Millisecond

// configChanged adds a route, and replaces the second key of the client account.
// Entries that are not disturbed must serve the route in time, and refuse the
// key that was taken away.
func configChanged(ctx context.Context, w *world, _ *step) {
	path, old, key := w.change()
	w.mustCommit(ctx, func() error { return w.writeConfig(ctx) })
	confirmed := time.Now()
	if !wait(ctx, applyTime) || w.opts.SafetyOnly {
		return
	}
	for _, e := range w.entries {
		added := w.probe(ctx, e, path, key)
		revoked := w.probe(ctx, e, unsafePath+"revoked", old)
		if w.windows.overlap(confirmed, time.Now()) {
			return
		}
		if added == http.StatusNotFound || added == http.StatusUnauthorized {
			w.ledger.breaks(ConfigInForce, "", "%s answers %d for %s, which was added %v ago", e.name, added, path, time.Since(confirmed))
		}
		if old != "" && revoked != 0 && revoked != http.StatusUnauthorized && revoked != http.StatusServiceUnavailable {
			w.ledger.breaks(ConfigInForce, "", "%s answers %d for a key that was taken away %v ago", e.name, revoked, time.Since(confirmed))
		}
	}
}

// change makes the next configuration. It returns the path of the route that it
// adds, the key that it takes away, and the one that it gives.
func (w *world) change() (path string, old, key catalog.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cfg := w.config
	cfg.Version++
	path = fmt.Sprintf("%s%d/", extraPath, cfg.Version)
	route := cfg.Routes[0]
	route.Name, route.PathPrefix = path, path
	cfg.Routes = append(slices.DeleteFunc(slices.Clone(cfg.Routes), func(r catalog.Route) bool {
		return strings.HasPrefix(r.PathPrefix, extraPath)
	}), route)
	keys := cfg.Accounts[0].Keys
	if len(keys) > 1 {
		old = keys[1]
	}
	key = catalog.Key(fmt.Sprintf("extra-%d", cfg.Version))
	cfg.Accounts = []catalog.ClientAccount{{Name: account, Keys: []catalog.Key{mainKey, key}}}
	w.config = cfg
	return path, old, key
}

// probe asks an entry itself and returns the status, or 0 for no answer.
func (w *world) probe(ctx context.Context, e *process, path string, key catalog.Key) int {
	ctx, cancel := context.WithTimeout(ctx, plainTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", e.host, clientPort, path), nil)
	if err != nil {
		return 0
	}
	req.Host = routeHost
	attempt := direct.AttemptID(fmt.Sprintf("probe-%s-%s-%s", e.name, key, path))
	w.ledger.sends(attempt, sent{at: time.Now(), path: path, account: account})
	platform.EncodeRequestMetadata(req.Header, &direct.RequestMetadata{Attempt: attempt, Timeout: plainTimeout, Key: key})
	res, err := w.probes.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
