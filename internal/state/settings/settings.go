// Package settings holds the settings that a process reads when it starts: its
// name, its location, its addresses and those of the platform. Settings come from
// a TOML file and never change while the process runs. The configuration that
// operators change at run time is in package conf.
//
// # Usage
//
//	s, err := settings.LoadEntry("entry.toml")
//	if err != nil { … }
package settings

import (
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Unreadable means that a file could not be opened or parsed.
	Unreadable Kind = "unreadable"
	// Invalid means that a setting violates a rule.
	Invalid Kind = "invalid"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Place is the location where a process runs.
type Place struct {
	Host   id.Host   `toml:"host" json:"host"`
	Zone   id.Zone   `toml:"zone" json:"zone"`
	Region id.Region `toml:"region" json:"region"`
}

// Platform holds the addresses of the platform's services, and how often a
// process may call them.
type Platform struct {
	// StoreURLs are the base URLs of the key-value service's endpoints.
	StoreURLs []string `toml:"stores"`
	// SeedAddresses are addresses of entries, as host:port, that are queried for
	// the state of the cluster besides the entries listed in the key-value service.
	SeedAddresses []string `toml:"seeds"`
	// HostListURL is the URL of the host list.
	HostListURL string `toml:"hostList"`
	// HostListInterval is the time between two reads of the host list.
	HostListInterval conf.Duration `toml:"hostListEvery"`
	// StoreWritesPerSecond and StoreReadsPerSecond limit the rates at which this
	// process calls the key-value service.
	StoreWritesPerSecond float64 `toml:"storeWritesPerSecond"`
	StoreReadsPerSecond  float64 `toml:"storeReadsPerSecond"`
}

// Entry holds the settings of an entry process.
type Entry struct {
	Name     id.Entry `toml:"name"`
	Place    Place    `toml:"place"`
	Platform Platform `toml:"platform"`
	// CallerAddress is the address that callers connect to, as host:port.
	CallerAddress string `toml:"callers"`
	// PeerAddress is the address that other processes connect to.
	PeerAddress string `toml:"peers"`
	// OperatorAddress is the address for status, metrics and health.
	OperatorAddress string `toml:"operators"`
}

// Target holds the settings of a target process.
type Target struct {
	Name     id.Target `toml:"name"`
	Place    Place     `toml:"place"`
	Platform Platform  `toml:"platform"`
	// PeerAddress is the address that other processes connect to.
	PeerAddress string `toml:"peers"`
	// OperatorAddress is the address for status, metrics and health.
	OperatorAddress string `toml:"operators"`
	// Engine is set for a process in front of a model engine, Service for one in
	// front of a plain service.
	Engine  *Engine  `toml:"engine"`
	Service *Service `toml:"service"`
}

// Engine describes the model engine behind a target process.
type Engine struct {
	// URL is the engine's base URL.
	URL string `toml:"url"`
	// SupportsFencing says that the engine refuses orders with an old fencing token.
	SupportsFencing bool `toml:"fences"`
	// Slots is how many generations the engine runs concurrently.
	Slots int `toml:"slots"`
	// QueueSize is how many more generations may wait for a slot.
	QueueSize int `toml:"queue"`
	// MaxLogBytes limits the memory for the attempts and the logs of their tokens.
	MaxLogBytes int `toml:"logBytes"`
	// Model, Version, Adapters and Role are what the engine is configured for when
	// the process starts. Orders change them later.
	Model    id.Model     `toml:"model"`
	Version  id.Version   `toml:"version"`
	Adapters []id.Adapter `toml:"adapters"`
	// Role is mixed, prefill or decode.
	Role string `toml:"role"`
}

// Service describes the plain service behind a target process.
type Service struct {
	Name id.Service `toml:"name"`
	// URL is the service's base URL.
	URL string `toml:"url"`
	// Slots is how many calls the service runs concurrently.
	Slots int `toml:"slots"`
	// QueueSize is how many more calls may wait for a slot.
	QueueSize int `toml:"queue"`
	// MaxReplyBytes limits the memory for stored replies.
	MaxReplyBytes int `toml:"replyBytes"`
}
