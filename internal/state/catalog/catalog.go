// Package catalog holds the configuration and the targets of an entry that sends
// requests to its targets directly: routes, services, client accounts and the
// targets that are up.
//
// A Config is read-only once it is in force. The code that decodes a Config calls
// ValidateAndIndex before it shares the Config.
//
// # Usage
//
//	if err := cfg.ValidateAndIndex(); err != nil { … }
//	route, ok := cfg.Match("reports.example", "/diagnosis/17")
//	account, ok := cfg.AccountOf(key)
package catalog

import (
	"slices"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a configuration violates a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Version numbers configurations. It increases, not always by 1; 0 means none.
type Version int64

// AccountName is the name of a client account.
type AccountName string

// Key is a secret with which requests authenticate as a client account.
type Key string

// Config is everything that operators configure, at one version.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[id.Service]Service
	Limits   Limits
	// Accounts is empty if requests need no key.
	Accounts []ClientAccount

	byHost map[string]Routes
	byKey  map[Key]*ClientAccount
	// urgencies are sorted, the most urgent first.
	urgencies []urgency
}

// ClientAccount is a client account with its keys.
type ClientAccount struct {
	Name AccountName
	Keys []Key
	// Priority overrides the priority of the route, unless it is nil.
	Priority *int
}

// Service is a group of equivalent targets that routes send requests to.
type Service struct {
	Name id.Service
	// Engine is set if the targets are model engines.
	Engine *Engine
	// HealthPath is the path at which a target reports whether it is healthy and
	// which target it is; empty if the targets have no such path.
	HealthPath string
}

// Engine describes what the engines of a service have in common.
type Engine struct {
	// MemoryTokens is the capacity of an engine's KV cache, in tokens.
	MemoryTokens int
	// SupportsBackup says that an engine can copy the KV cache of a run to another
	// engine while the run continues.
	SupportsBackup bool
}

// Limits restrict what clients may send.
type Limits struct {
	// HeaderBytes is the maximum size of a request's head; 0 means the entry's own
	// limit.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body; 0 means the entry's own
	// limit.
	BodyBytes int64
	// IdleTimeout is how long a client's connection may stay open without a
	// request.
	IdleTimeout time.Duration
}

// ValidateAndIndex checks the configuration and builds the look-up maps. It must
// be called once, before the configuration is shared.
func (c *Config) ValidateAndIndex() error {
	if c.Version <= 0 {
		return fault.New("Config.ValidateAndIndex", Invalid, "version is %d, want at least 1", c.Version)
	}
	c.byHost = make(map[string]Routes)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.Validate(); err != nil {
			return err
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		routes.sortLongestFirst()
	}
	c.byKey = make(map[Key]*ClientAccount)
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
	c.indexUrgencies()
	return nil
}

// Match returns the route of a request: of the routes of its host, the one with
// the longest path prefix that matches. The host may include a port.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	return c.byHost[strings.ToLower(host)].match(path)
}

// NeedsKey reports whether requests on the route must carry a key of a client
// account.
func (c *Config) NeedsKey(r *Route) bool {
	return len(c.Accounts) > 0 && !r.Public
}

// AccountOf returns the client account that holds the key.
func (c *Config) AccountOf(key Key) (*ClientAccount, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// PriorityOf returns the priority of an account's request on the route; 0 is the
// most urgent. The account is nil on public routes.
func (c *Config) PriorityOf(r *Route, a *ClientAccount) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Routes is a list of routes for one host.
type Routes []*Route

func (rs Routes) sortLongestFirst() {
	slices.SortStableFunc(rs, func(a, b *Route) int {
		return len(b.PathPrefix) - len(a.PathPrefix)
	})
}

func (rs Routes) match(path string) (*Route, bool) {
	for _, r := range rs {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}
