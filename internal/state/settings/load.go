package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/tomlfile"
)

// Defaults for the settings that a file leaves out.
const (
	defaultHostListInterval = conf.Duration(2 * time.Second)
	defaultWritesPerSecond  = 5
	defaultReadsPerSecond   = 20
	defaultEngineSlots      = 64
	defaultServiceSlots     = 16
	defaultRole             = "mixed"

	// A target process must stay below 128 MB, although the garbage collector lets
	// the heap grow to twice the memory in use.
	defaultMaxLogBytes   = 48 << 20
	defaultMaxReplyBytes = 32 << 20
)

// Upper bounds for the settings in a file.
const (
	maxSlots     = 4096
	maxQueueSize = 65536
)

// KeyError says which key of the settings violates a rule, and what was
// expected.
type KeyError struct {
	// Key is the dotted key as in the file.
	Key string
	// Detail says what the value is and what was expected.
	Detail string
}

// Error returns "key: detail".
func (e *KeyError) Error() string { return e.Key + ": " + e.Detail }

func newKeyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Detail: fmt.Sprintf(format, args...)}
}

// LoadEntry reads the settings of an entry process, fills in the defaults and
// validates them. The error is an *Error that names the file, the line, the key
// and what was expected.
func LoadEntry(path string) (*Entry, error) {
	s := &Entry{}
	return s, load(path, s, func() error { s.SetDefaults(); return s.Validate() })
}

// LoadTarget reads the settings of a target process, fills in the defaults and
// validates them. The error is an *Error that names the file, the line, the key
// and what was expected.
func LoadTarget(path string) (*Target, error) {
	s := &Target{}
	return s, load(path, s, func() error { s.SetDefaults(); return s.Validate() })
}

func load(path string, into any, check func() error) error {
	const op = "settings.load"
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(op, Unreadable, err)
	}
	if err := tomlfile.Decode(path, data, into); err != nil {
		return fault.Wrap(op, Unreadable, err)
	}
	err = check()
	var key *KeyError
	if errors.As(err, &key) {
		err = tomlfile.NewValueError(path, data, key.Key, key.Detail)
	}
	return fault.Wrap(op, Invalid, err)
}

// SetDefaults sets the fields of p that are zero to their defaults.
func (p *Platform) SetDefaults() {
	p.HostListInterval = cmp.Or(p.HostListInterval, defaultHostListInterval)
	p.StoreWritesPerSecond = cmp.Or(p.StoreWritesPerSecond, defaultWritesPerSecond)
	p.StoreReadsPerSecond = cmp.Or(p.StoreReadsPerSecond, defaultReadsPerSecond)
}

// Validate returns a *KeyError for the first key that violates a rule.
func (p *Platform) Validate() error {
	for i, s := range p.StoreURLs {
		if err := checkURL("platform.stores", s); err != nil {
			return newKeyError("platform.stores", "element %d: %s", i, err.(*KeyError).Detail)
		}
	}
	for i, s := range p.SeedAddresses {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return newKeyError("platform.seeds", "element %d is %q, want host:port", i, s)
		}
	}
	if p.HostListURL != "" {
		if err := checkURL("platform.hostList", p.HostListURL); err != nil {
			return err
		}
	}
	switch {
	case p.HostListInterval < 0:
		return newKeyError("platform.hostListEvery", "is %v, want a duration above 0", p.HostListInterval.Std())
	case p.StoreWritesPerSecond < 0:
		return newKeyError("platform.storeWritesPerSecond", "is %v, want a number above 0", p.StoreWritesPerSecond)
	case p.StoreReadsPerSecond < 0:
		return newKeyError("platform.storeReadsPerSecond", "is %v, want a number above 0", p.StoreReadsPerSecond)
	}
	return nil
}

// Validate returns a *KeyError for the first key that violates a rule.
func (p *Place) Validate() error {
	switch {
	case p.Host == "":
		return newKeyError("place.host", "is empty, want the host's name")
	case p.Zone == "":
		return newKeyError("place.zone", "is empty, want the availability zone's name")
	case p.Region == "":
		return newKeyError("place.region", "is empty, want the region's name")
	}
	return nil
}

// SetDefaults sets the fields of s that are zero to their defaults.
func (s *Entry) SetDefaults() { s.Platform.SetDefaults() }

// Validate returns a *KeyError for the first key that violates a rule.
func (s *Entry) Validate() error {
	if s.Name == "" {
		return newKeyError("name", "is empty, want the entry's name")
	}
	if err := s.Place.Validate(); err != nil {
		return err
	}
	if err := s.Platform.Validate(); err != nil {
		return err
	}
	return checkAddresses(
		address{"callers", s.CallerAddress}, address{"peers", s.PeerAddress}, address{"operators", s.OperatorAddress})
}

// SetDefaults sets the fields of s that are zero to their defaults.
func (s *Target) SetDefaults() {
	s.Platform.SetDefaults()
	if s.Engine != nil {
		s.Engine.SetDefaults()
	}
	if s.Service != nil {
		s.Service.SetDefaults()
	}
}

// Validate returns a *KeyError for the first key that violates a rule.
func (s *Target) Validate() error {
	if s.Name == "" {
		return newKeyError("name", "is empty, want the target's name")
	}
	if err := s.Place.Validate(); err != nil {
		return err
	}
	if err := s.Platform.Validate(); err != nil {
		return err
	}
	if err := checkAddresses(address{"peers", s.PeerAddress}, address{"operators", s.OperatorAddress}); err != nil {
		return err
	}
	switch {
	case s.Engine == nil && s.Service == nil:
		return newKeyError("engine", "is missing, want either a table [engine] or a table [service]")
	case s.Engine != nil && s.Service != nil:
		return newKeyError("service", "is set as well as engine, want only one of the two")
	case s.Engine != nil:
		return s.Engine.Validate()
	}
	return s.Service.Validate()
}

// SetDefaults sets the fields of e that are zero to their defaults.
func (e *Engine) SetDefaults() {
	e.Slots = cmp.Or(e.Slots, defaultEngineSlots)
	e.QueueSize = cmp.Or(e.QueueSize, e.Slots)
	e.MaxLogBytes = cmp.Or(e.MaxLogBytes, defaultMaxLogBytes)
	e.Role = cmp.Or(e.Role, defaultRole)
}

// Validate returns a *KeyError for the first key that violates a rule.
func (e *Engine) Validate() error {
	if err := checkURL("engine.url", e.URL); err != nil {
		return err
	}
	switch {
	case e.Model == "":
		return newKeyError("engine.model", "is empty, want the model that the engine serves")
	case e.Version == "":
		return newKeyError("engine.version", "is empty, want the version of the model's weights")
	case e.Slots < 1 || e.Slots > maxSlots:
		return newKeyError("engine.slots", "is %d, want 1 to %d", e.Slots, maxSlots)
	case e.QueueSize < 0 || e.QueueSize > maxQueueSize:
		return newKeyError("engine.queue", "is %d, want 0 to %d", e.QueueSize, maxQueueSize)
	case e.MaxLogBytes < 1<<20:
		return newKeyError("engine.logBytes", "is %d, want at least %d", e.MaxLogBytes, 1<<20)
	case e.Role != "mixed" && e.Role != "prefill" && e.Role != "decode":
		return newKeyError("engine.role", "is %q, want mixed, prefill or decode", e.Role)
	}
	return nil
}

// SetDefaults sets the fields of v that are zero to their defaults.
func (v *Service) SetDefaults() {
	v.Slots = cmp.Or(v.Slots, defaultServiceSlots)
	v.QueueSize = cmp.Or(v.QueueSize, v.Slots)
	v.MaxReplyBytes = cmp.Or(v.MaxReplyBytes, defaultMaxReplyBytes)
}

// Validate returns a *KeyError for the first key that violates a rule.
func (v *Service) Validate() error {
	if err := checkURL("service.url", v.URL); err != nil {
		return err
	}
	switch {
	case v.Name == "":
		return newKeyError("service.name", "is empty, want the service's name")
	case v.Slots < 1 || v.Slots > maxSlots:
		return newKeyError("service.slots", "is %d, want 1 to %d", v.Slots, maxSlots)
	case v.QueueSize < 0 || v.QueueSize > maxQueueSize:
		return newKeyError("service.queue", "is %d, want 0 to %d", v.QueueSize, maxQueueSize)
	case v.MaxReplyBytes < 1<<20:
		return newKeyError("service.replyBytes", "is %d, want at least %d", v.MaxReplyBytes, 1<<20)
	}
	return nil
}

type address struct{ key, value string }

func checkAddresses(addresses ...address) error {
	for _, a := range addresses {
		if a.value == "" {
			return newKeyError(a.key, "is empty, want host:port")
		}
		_, port, err := net.SplitHostPort(a.value)
		if err != nil {
			return newKeyError(a.key, "is %q, want host:port", a.value)
		}
		if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
			return newKeyError(a.key, "has port %q, want 0 to 65535", port)
		}
	}
	return nil
}

func checkURL(key, text string) error {
	if text == "" {
		return newKeyError(key, "is empty, want a URL such as http://127.0.0.1:8000")
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return newKeyError(key, "is %q, want a URL such as http://127.0.0.1:8000", text)
	}
	return nil
}
