package caller

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Invalid means that a limit in Config is invalid.
	Invalid Kind = "invalid"
	// CorruptAnswer means that an answer has missing, repeated or wrong tokens, or
	// cannot be encoded.
	CorruptAnswer Kind = "broken"
	// Disconnected means that writing to the caller failed.
	Disconnected Kind = "disconnected"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Defaults of the limits.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 8 << 20
	defaultBodyMemory    = 256 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultWriteTimeout  = 20 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultMaxTimeout    = 24 * time.Hour
)

// Config limits the resources that one caller, and all callers together, may use.
type Config struct {
	// Address is the address to listen on, as host:port.
	Address string
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body. A contract's
	// promptBytes can lower it further.
	MaxBodyBytes int64
	// MaxBodyMemory is the maximum total size of the bodies that are being read.
	MaxBodyMemory int64
	// HeaderTimeout and BodyTimeout limit the time to read a request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout limits the time of one write to the caller.
	WriteTimeout time.Duration
	// IdleTimeout limits how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout time.Duration
}

// SetDefaults sets the zero fields of c to their defaults.
func (c *Config) SetDefaults() {
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, defaultHeaderBytes)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultBodyBytes)
	c.MaxBodyMemory = cmp.Or(c.MaxBodyMemory, defaultBodyMemory)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, defaultHeaderTimeout)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, defaultBodyTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, defaultWriteTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.MaxTimeout = cmp.Or(c.MaxTimeout, defaultMaxTimeout)
}

// Validate returns an error for the first invalid limit, or nil.
func (c *Config) Validate() error {
	const op = "Config.Validate"
	switch {
	case c.MaxHeaderBytes < 1:
		return fault.New(op, Invalid, "MaxHeaderBytes is %d, want at least 1", c.MaxHeaderBytes)
	case c.MaxBodyBytes < 1 || c.MaxBodyMemory < c.MaxBodyBytes:
		return fault.New(op, Invalid, "MaxBodyMemory is %d, want at least MaxBodyBytes, which is %d and must be at least 1", c.MaxBodyMemory, c.MaxBodyBytes)
	case min(c.HeaderTimeout, c.BodyTimeout, c.WriteTimeout, c.IdleTimeout, c.MaxTimeout) <= 0:
		return fault.New(op, Invalid, "a timeout is not positive")
	}
	return nil
}
