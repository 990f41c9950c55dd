package settings

import (
	"net"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Direct is the settings of an entry that reaches its targets directly.
type Direct struct {
	Name  id.Entry `toml:"name"`
	Place Place    `toml:"place"`
	// ClientAddress is the address that clients reach, as host:port.
	ClientAddress string `toml:"clients"`
	// ReadinessAddress is the address at which the platform asks whether the entry
	// takes work.
	ReadinessAddress string `toml:"readiness"`
	// OperatorAddress is the address for status, metrics and health; empty for none.
	OperatorAddress string `toml:"operators"`
	// MetricsAddress is the address at which scrapers read the metrics as text; empty for
	// none.
	MetricsAddress string `toml:"metrics"`
	// PeerAddress is the address that other entries reach; its port is the same on all
	// hosts.
	PeerAddress string `toml:"peers"`
	// SeedAddresses are the operators' addresses of a few other entries, which may be
	// stale.
	SeedAddresses []string `toml:"seeds"`
	// StoreAddress is the key-value service's address, as host:port.
	StoreAddress string        `toml:"store"`
	Limits       ProcessLimits `toml:"limits"`
	Retries      Retries       `toml:"retries"`
}

// ProcessLimits bounds a process.
type ProcessLimits struct {
	// MemoryMB is the memory above which the host ends the process, in MB.
	MemoryMB float64 `toml:"memoryMB"`
	// GraceSeconds is the time between the signal to stop and the kill.
	GraceSeconds float64 `toml:"graceSeconds"`
	// AddressReuseSeconds is the least time between a target's end and the use of
	// its address for another service; 0 for none that is promised.
	AddressReuseSeconds float64 `toml:"addressReuseSeconds"`
}

// AddressReuse returns the least time between a target's end and the use of its
// address for another service.
func (p *ProcessLimits) AddressReuse() time.Duration {
	return time.Duration(p.AddressReuseSeconds * float64(time.Second))
}

// Grace returns the time between the signal to stop and the kill.
func (p *ProcessLimits) Grace() time.Duration {
	return time.Duration(p.GraceSeconds * float64(time.Second))
}

// Retries bounds what all entries together send again to a service.
type Retries struct {
	// Ratio times the requests of a window may be sent again.
	Ratio float64 `toml:"ratio"`
	// MinRetries may be sent again besides.
	MinRetries float64 `toml:"slack"`
	// WindowSeconds is the length of the window.
	WindowSeconds float64 `toml:"windowSeconds"`
}

// Defaults of what a file leaves out.
const (
	defaultGraceSeconds  = 8
	defaultRetryRatio    = 0.2
	defaultWindowSeconds = 10
)

// LoadDirect reads, completes and checks the settings of an entry that reaches
// its targets directly. The error is an *Error that names the file, the line,
// the key and what was expected.
func LoadDirect(path string) (*Direct, error) {
	s := &Direct{}
	return s, load(path, s, func() error { s.SetDefaults(); return s.Validate() })
}

// SetDefaults fills in what s leaves out.
func (s *Direct) SetDefaults() {
	if s.Limits.GraceSeconds == 0 {
		s.Limits.GraceSeconds = defaultGraceSeconds
	}
	if s.Retries == (Retries{}) {
		s.Retries.Ratio = defaultRetryRatio
	}
	if s.Retries.WindowSeconds == 0 {
		s.Retries.WindowSeconds = defaultWindowSeconds
	}
}

// Validate returns a *KeyError for the first key that breaks a rule.
func (s *Direct) Validate() error {
	if s.Name == "" {
		return refuse("name", "is empty, want the entry's name")
	}
	if err := s.Place.Validate(); err != nil {
		return err
	}
	switch {
	case s.Limits.MemoryMB < 0:
		return refuse("limits.memoryMB", "is %v, want a number above 0, or none", s.Limits.MemoryMB)
	case s.Limits.GraceSeconds < 0:
		return refuse("limits.graceSeconds", "is %v, want a number above 0", s.Limits.GraceSeconds)
	case s.Limits.AddressReuseSeconds < 0:
		return refuse("limits.addressReuseSeconds", "is %v, want a number of 0 or more", s.Limits.AddressReuseSeconds)
	case s.Retries.Ratio < 0:
		return refuse("retries.ratio", "is %v, want a number of 0 or more", s.Retries.Ratio)
	case s.Retries.MinRetries < 0:
		return refuse("retries.slack", "is %v, want a number of 0 or more", s.Retries.MinRetries)
	case s.Retries.WindowSeconds < 0:
		return refuse("retries.windowSeconds", "is %v, want a number above 0", s.Retries.WindowSeconds)
	}
	for i, seed := range s.SeedAddresses {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return refuse("seeds", "element %d is %q, want host:port", i, seed)
		}
	}
	addresses := []address{{"clients", s.ClientAddress}, {"readiness", s.ReadinessAddress}, {"store", s.StoreAddress}, {"peers", s.PeerAddress}}
	if s.OperatorAddress != "" {
		addresses = append(addresses, address{"operators", s.OperatorAddress})
	}
	if s.MetricsAddress != "" {
		addresses = append(addresses, address{"metrics", s.MetricsAddress})
	}
	return checkAddresses(addresses...)
}
