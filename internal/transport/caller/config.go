package caller

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that a limit breaks a rule.
	Invalid Kind = "invalid"
	// CorruptAnswer means that an answer broke a rule on its way to the caller.
	CorruptAnswer Kind = "broken"
	// Disconnected means that the caller took no more bytes.
	Disconnected Kind = "disconnected"
)

// Error is this package's error.
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

// Config bounds what one caller, and all of them together, may take.
type Config struct {
	// Address is where the server listens, as host:port.
	Address string
	// MaxHeaderBytes is the largest header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes is the largest body of any request; a contract's promptBytes
	// can make it smaller.
	MaxBodyBytes int64
	// MaxBodyMemory is the largest sum of the bodies that are being read.
	MaxBodyMemory int64
	// HeaderTimeout and BodyTimeout bound the time to read a request.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout is how long one write may wait for the caller.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
	// MaxTimeout is the longest time a caller may ask to wait.
	MaxTimeout time.Duration
}

// SetDefaults fills in what c leaves out.
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

// Validate returns an error that names the first limit that breaks a rule.
func (c *Config) Validate() error {
	const op = "Config.Validate"
	switch {
	case c.MaxHeaderBytes < 1:
		return fault.New(op, Invalid, "header bytes are %d, want at least 1", c.MaxHeaderBytes)
	case c.MaxBodyBytes < 1 || c.MaxBodyMemory < c.MaxBodyBytes:
		return fault.New(op, Invalid, "body memory is %d, want at least the body bytes, %d", c.MaxBodyMemory, c.MaxBodyBytes)
	case min(c.HeaderTimeout, c.BodyTimeout, c.WriteTimeout, c.IdleTimeout, c.MaxTimeout) <= 0:
		return fault.New(op, Invalid, "a timeout is not positive")
	}
	return nil
}
