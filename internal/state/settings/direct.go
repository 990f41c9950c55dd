package settings

import (
	"net"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Direct holds the settings of an entry that sends requests to its targets
// directly.
type Direct struct {
	Name  id.Entry `toml:"name"`
	Place Place    `toml:"place"`
	// ClientAddress is the address that clients connect to, as host:port.
	ClientAddress string `toml:"clients"`
	// ReadinessAddress is the address at which the platform checks whether the
	// entry accepts work.
	ReadinessAddress string `toml:"readiness"`
	// OperatorAddress is the address for status, metrics and health; empty for none.
	OperatorAddress string `toml:"operators"`
	// MetricsAddress is the address at which scrapers read the metrics as text;
	// empty for none.
	MetricsAddress string `toml:"metrics"`
	// PeerAddress is the address that other entries connect to. Its port is the
	// same on all hosts.
	PeerAddress string `toml:"peers"`
	// SeedAddresses are the operator addresses of a few other entries. Some may be
	// out of date.
	SeedAddresses []string `toml:"seeds"`
	// StoreAddress is the key-value service's address, as host:port.
	StoreAddress string        `toml:"store"`
	Limits       ProcessLimits `toml:"limits"`
	Retries      Retries       `toml:"retries"`
	// Contract names the parts of the deployment's contract. The adapter of the platform
	// says which settings they call for.
	Contract  []string  `toml:"contract"`
	Admission Admission `toml:"admission"`
	Rollouts  Rollouts  `toml:"rollouts"`
}

// Admission decides about requests while there is too little room for all.
type Admission struct {
	// Ordered says that callers compete for room: requests wait at the entry, and the ones
	// that cost their callers least are delayed or refused first. Services whose targets
	// share their hosts with others are treated so in any case.
	Ordered bool `toml:"ordered"`
}

// Rollouts bounds what a new version of a service's software may get and do before it is
// trusted. If Share is 0, roll-outs are not served.
type Rollouts struct {
	// Share is the largest share of a service's requests that an unproven version gets.
	Share float64 `toml:"share"`
	// Tolerance is the number of requests that it may get beyond Share.
	Tolerance int `toml:"tolerance"`
	// RevertMS is the time in milliseconds within which a bad version gets nothing more.
	RevertMS int64 `toml:"revertMs"`
}

// Enabled reports whether roll-outs are served.
func (r *Rollouts) Enabled() bool { return r.Share > 0 }

// ProcessLimits holds the limits that a process runs under.
type ProcessLimits struct {
	// MemoryMB is the memory, in MB, above which the host kills the process.
	MemoryMB float64 `toml:"memoryMB"`
	// MaxFDs is the number of descriptors that the process may have open; 0 for the limit
	// that the system enforces.
	MaxFDs int `toml:"maxFDs"`
	// CPUShare is the share of a processor that the process may use, and LinkMbps the
	// bandwidth of its host's link in Mbit/s; 0 if they are not known.
	CPUShare float64 `toml:"cpuShare"`
	LinkMbps float64 `toml:"linkMbps"`
	// GraceSeconds is the time between the stop signal and the kill signal.
	GraceSeconds float64 `toml:"graceSeconds"`
	// AddressReuseSeconds is the minimum time between the end of a target and the
	// reuse of its address for another service; 0 if no time is guaranteed.
	AddressReuseSeconds float64 `toml:"addressReuseSeconds"`
}

// AddressReuse returns the minimum time between the end of a target and the reuse
// of its address for another service.
func (p *ProcessLimits) AddressReuse() time.Duration {
	return time.Duration(p.AddressReuseSeconds * float64(time.Second))
}

// Grace returns the time between the stop signal and the kill signal.
func (p *ProcessLimits) Grace() time.Duration {
	return time.Duration(p.GraceSeconds * float64(time.Second))
}

// Retries limits the retries that all entries together send to one service.
type Retries struct {
	// Ratio is the largest ratio of retries to requests in a window.
	Ratio float64 `toml:"ratio"`
	// MinRetries is the number of retries allowed in a window in addition to Ratio,
	// however few requests there are.
	MinRetries float64 `toml:"slack"`
	// WindowSeconds is the length of the window.
	WindowSeconds float64 `toml:"windowSeconds"`
}

// Defaults for the settings that a file leaves out.
const (
	defaultGraceSeconds  = 8
	defaultRetryRatio    = 0.2
	defaultWindowSeconds = 10
)

// LoadDirect reads the settings of an entry that sends requests to its targets
// directly, fills in the defaults and validates them. The error is an *Error that
// names the file, the line, the key and what was expected.
func LoadDirect(path string) (*Direct, error) {
	s := &Direct{}
	return s, load(path, s, func() error { s.SetDefaults(); return s.Validate() })
}

// SetDefaults sets the fields of s that are zero to their defaults. Retries.Ratio
// has a default only if all fields of Retries are zero.
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

// Validate returns a *KeyError for the first key that violates a rule.
func (s *Direct) Validate() error {
	if s.Name == "" {
		return newKeyError("name", "is empty, want the entry's name")
	}
	if err := s.Place.Validate(); err != nil {
		return err
	}
	switch {
	case s.Limits.MemoryMB < 0:
		return newKeyError("limits.memoryMB", "is %v, want a number above 0, or leave it out", s.Limits.MemoryMB)
	case s.Limits.MaxFDs < 0:
		return newKeyError("limits.maxFDs", "is %v, want a number above 0, or leave it out", s.Limits.MaxFDs)
	case s.Limits.CPUShare < 0:
		return newKeyError("limits.cpuShare", "is %v, want a number above 0, or leave it out", s.Limits.CPUShare)
	case s.Limits.LinkMbps < 0:
		return newKeyError("limits.linkMbps", "is %v, want a number above 0, or leave it out", s.Limits.LinkMbps)
	case s.Limits.GraceSeconds < 0:
		return newKeyError("limits.graceSeconds", "is %v, want a number above 0", s.Limits.GraceSeconds)
	case s.Limits.AddressReuseSeconds < 0:
		return newKeyError("limits.addressReuseSeconds", "is %v, want a number of 0 or more", s.Limits.AddressReuseSeconds)
	case s.Retries.Ratio < 0:
		return newKeyError("retries.ratio", "is %v, want a number of 0 or more", s.Retries.Ratio)
	case s.Retries.MinRetries < 0:
		return newKeyError("retries.slack", "is %v, want a number of 0 or more", s.Retries.MinRetries)
	case s.Retries.WindowSeconds < 0:
		return newKeyError("retries.windowSeconds", "is %v, want a number above 0", s.Retries.WindowSeconds)
	case s.Rollouts.Share < 0 || s.Rollouts.Share > 1:
		return newKeyError("rollouts.share", "is %v, want a number from 0 to 1", s.Rollouts.Share)
	case s.Rollouts.Tolerance < 0:
		return newKeyError("rollouts.tolerance", "is %v, want a number of 0 or more", s.Rollouts.Tolerance)
	case s.Rollouts.RevertMS < 0:
		return newKeyError("rollouts.revertMs", "is %v, want a number of 0 or more", s.Rollouts.RevertMS)
	}
	for i, seed := range s.SeedAddresses {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return newKeyError("seeds", "element %d is %q, want host:port", i, seed)
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
