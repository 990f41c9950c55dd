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

// maxApplyTime is the time within which entries must apply a change after the
// key-value service has confirmed it.
const maxApplyTime = 2500 * time.Millisecond

// changeConfig adds a route and replaces the second key of the client account. If no
// fault is active, all entries must serve the new route and refuse the revoked key
// within maxApplyTime.
func changeConfig(ctx context.Context, w *world, _ *step) {
	path, old, key := w.nextConfig()
	w.mustCommit(ctx, func() error { return w.writeConfig(ctx) })
	confirmed := time.Now()
	if !sleep(ctx, maxApplyTime) || w.opts.SafetyOnly {
		return
	}
	if !w.newestConfig(path) {
		// A later change has removed the route.
		return
	}
	for _, e := range w.entries {
		added := w.probe(ctx, e, path, key)
		revoked := w.probe(ctx, e, unsafePath+"revoked", old)
		if w.faultWindows.overlap(confirmed, time.Now()) || !w.newestConfig(path) {
			return
		}
		if added == http.StatusNotFound || added == http.StatusUnauthorized {
			w.history.recordViolation(ConfigInForce, "", "%s answered status %d for route %s, which was added %v ago", e.name, added, path, time.Since(confirmed))
		}
		if old != "" && revoked != 0 && revoked != http.StatusUnauthorized && revoked != http.StatusServiceUnavailable {
			w.history.recordViolation(ConfigInForce, "", "%s answered status %d for a key that was revoked %v ago", e.name, revoked, time.Since(confirmed))
		}
	}
}

// nextConfig changes w.config to the next version. It returns the path of the added
// route, the revoked key, which is empty the first time, and the new key.
func (w *world) nextConfig() (path string, old, key catalog.Key) {
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
	if w.opts.LargeConfigs && cfg.Version%2 == 0 {
		cfg.Routes = append(cfg.Routes, bulkRoutes(route, int(cfg.Version))...)
	}
	keys := cfg.Accounts[0].Keys
	if len(keys) > 1 {
		old = keys[1]
	}
	key = catalog.Key(fmt.Sprintf("extra-%d", cfg.Version))
	cfg.Accounts = []catalog.ClientAccount{{Name: account, Keys: []catalog.Key{primaryKey, key}}}
	w.config = cfg
	return path, old, key
}

// newestConfig reports whether the version that added a path is the newest one.
func (w *world) newestConfig(path string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return path == fmt.Sprintf("%s%d/", extraPath, w.config.Version)
}

// bulkRouteCount is the number of routes that a large configuration has more.
const bulkRouteCount = 3000

// bulkRoutes returns routes that nobody requests.
func bulkRoutes(like catalog.Route, version int) []catalog.Route {
	routes := make([]catalog.Route, bulkRouteCount)
	for i := range routes {
		like.PathPrefix = fmt.Sprintf("%sbulk-%d-%d/", extraPath, version, i)
		like.Name = like.PathPrefix
		routes[i] = like
	}
	return routes
}

// probe sends a request directly to an entry, not through its client link. It
// returns the status, or 0 if there was no response.
func (w *world) probe(ctx context.Context, e *process, path string, key catalog.Key) int {
	ctx, cancel := context.WithTimeout(ctx, plainTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", e.host, clientPort, path), nil)
	if err != nil {
		return 0
	}
	req.Host = routeHost
	attempt := direct.AttemptID(fmt.Sprintf("probe-%d-%s-%s-%s", w.probeCount.Add(1), e.name, key, path))
	w.history.recordSent(attempt, sentAttempt{sentAt: time.Now(), entry: e.name, path: path, account: account})
	platform.EncodeRequestMetadata(req.Header, &direct.RequestMetadata{Attempt: attempt, Timeout: plainTimeout, Key: key})
	res, err := w.probes.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
