// Package catalog holds what an entry serves that reaches its targets
// directly: routes, services, client accounts and the targets that are up.
//
// A Config is read-only once it is in force. Whoever decodes one calls Index
// before handing it on; Index also checks it.
//
// # Usage
//
//	if err := cfg.Index(); err != nil { … }
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

// Invalid means that a configuration breaks a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Version numbers configurations. It rises in uneven steps; 0 is none.
type Version int64

// AccountName names a client account.
type AccountName string

// Key is a client account's secret.
type Key string

// Config is everything that operators set, at one version.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[id.Service]Service
	Limits   Limits
	// Accounts is empty where requests need no key.
	Accounts []ClientAccount

	byHost map[string]Routes
	byKey  map[Key]*ClientAccount
}

// ClientAccount is a client account with its keys.
type ClientAccount struct {
	Name AccountName
	Keys []Key
	// Priority replaces that of the route, unless it is nil.
	Priority *int
}

// Service is what routes lead to.
type Service struct {
	Name id.Service
	// Engine is set for a service of model engines.
	Engine *Engine
	// HealthPath is where a target says whether it is healthy, and which one it
	// is; empty where it does not.
	HealthPath string
}

// Engine is what the engines of a service have in common.
type Engine struct {
	// MemoryTokens is the size of an engine's memory, in tokens.
	MemoryTokens int
	// SupportsBackup says that an engine can copy a run's memory to another one while
	// the run goes on.
	SupportsBackup bool
}

// Limits bound what clients send.
type Limits struct {
	// BodyBytes bounds a request's body; 0 is the entry's own bound.
	BodyBytes int64
	// IdleTimeout is how long a client's connection may stay without a request.
	IdleTimeout time.Duration
}

// ValidateAndIndex checks the configuration and prepares the look-ups. It is called once,
// before the configuration is shared.
func (c *Config) ValidateAndIndex() error {
	if c.Version <= 0 {
		return fault.New("Config.Index", Invalid, "version is %d, want at least 1", c.Version)
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
	return nil
}

// Match returns the route of a request: among those of the host the one with
// the longest prefix that begins the path. The host may carry a port.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	return c.byHost[strings.ToLower(host)].match(path)
}

// NeedsKey reports whether requests on the route carry a client account's key.
func (c *Config) NeedsKey(r *Route) bool {
	return len(c.Accounts) > 0 && !r.Public
}

// AccountOf returns the client account that holds the key.
func (c *Config) AccountOf(key Key) (*ClientAccount, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

// PriorityOf returns the rank of an account's request on the route; 0 is the
// most urgent. The account is nil on public routes.
func (c *Config) PriorityOf(r *Route, a *ClientAccount) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Routes is a list of routes of one host.
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
