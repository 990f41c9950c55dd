// Package settings holds what a process learns when it starts: its name, its
// place, its addresses and those of the platform. Settings come from a TOML
// file and never change while the process runs; what operators change at run
// time is in package conf.
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
	// Invalid means that a setting breaks a rule.
	Invalid Kind = "invalid"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Place is where a process runs.
type Place struct {
	Host   id.Host   `toml:"host" json:"host"`
	Zone   id.Zone   `toml:"zone" json:"zone"`
	Region id.Region `toml:"region" json:"region"`
}

// Platform says where the platform's services are.
type Platform struct {
	// StoreURLs are the base URLs of the key-value service's endpoints.
	StoreURLs []string `toml:"stores"`
	// SeedAddresses are addresses of entries, as host:port, that are asked for news
	// besides those that the key-value service names.
	SeedAddresses []string `toml:"seeds"`
	// HostListURL is the URL of the host list.
	HostListURL string `toml:"hostList"`
	// HostListInterval is the time between two reads of the host list.
	HostListInterval conf.Duration `toml:"hostListEvery"`
	// StoreWritesPerSecond and StoreReadsPerSecond bound this process's calls.
	StoreWritesPerSecond float64 `toml:"storeWritesPerSecond"`
	StoreReadsPerSecond  float64 `toml:"storeReadsPerSecond"`
}

// Entry is the settings of an entry process.
type Entry struct {
	Name     id.Entry `toml:"name"`
	Place    Place    `toml:"place"`
	Platform Platform `toml:"platform"`
	// CallerAddress is the address that callers reach, as host:port.
	CallerAddress string `toml:"callers"`
	// PeerAddress is the address that other processes reach.
	PeerAddress string `toml:"peers"`
	// OperatorAddress is the address for status, metrics and health.
	OperatorAddress string `toml:"operators"`
}

// Target is the settings of a target process.
type Target struct {
	Name     id.Target `toml:"name"`
	Place    Place     `toml:"place"`
	Platform Platform  `toml:"platform"`
	// PeerAddress is the address that other processes reach.
	PeerAddress string `toml:"peers"`
	// OperatorAddress is the address for status, metrics and health.
	OperatorAddress string `toml:"operators"`
	// Engine is set beside a model engine, Service beside a plain service.
	Engine  *Engine  `toml:"engine"`
	Service *Service `toml:"service"`
}

// Engine is the model engine beside a target process.
type Engine struct {
	// URL is the engine's base URL.
	URL string `toml:"url"`
	// SupportsFencing says that the engine refuses orders with an old number.
	SupportsFencing bool `toml:"fences"`
	// Slots is how many generations the engine runs at once.
	Slots int `toml:"slots"`
	// QueueSize is how many more generations may wait for a slot.
	QueueSize int `toml:"queue"`
	// MaxLogBytes bounds the memory of the attempts and their logs.
	MaxLogBytes int `toml:"logBytes"`
	// Model, Version, Adapters and Role are what the engine is set up for when
	// the process starts; orders change them.
	Model    id.Model     `toml:"model"`
	Version  id.Version   `toml:"version"`
	Adapters []id.Adapter `toml:"adapters"`
	// Role is mixed, prefill or decode.
	Role string `toml:"role"`
}

// Service is the plain service beside a target process.
type Service struct {
	Name id.Service `toml:"name"`
	// URL is the service's base URL.
	URL string `toml:"url"`
	// Slots is how many calls the service runs at once.
	Slots int `toml:"slots"`
	// QueueSize is how many more calls may wait for a slot.
	QueueSize int `toml:"queue"`
	// MaxReplyBytes bounds the memory of the kept replies.
	MaxReplyBytes int `toml:"replyBytes"`
}
