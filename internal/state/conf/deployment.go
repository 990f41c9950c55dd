package conf

import (
	"cmp"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Duration is a time.Duration that is encoded as text, such as "6s".
type Duration time.Duration

// MarshalText encodes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText accepts the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fault.New("Duration.UnmarshalText", Invalid, "is %q, want a duration such as 30s", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Default settings of a deployment.
const (
	defaultRetention           = Duration(10 * time.Minute)
	defaultOrphanGrace         = Duration(30 * time.Second)
	defaultAbandonGrace        = Duration(60 * time.Second)
	defaultRetryShare          = 0.2
	defaultHedgeShare          = 0.05
	defaultMaxAttempts         = 8
	defaultHeadroomShare       = 0.1
	defaultQuarantineThreshold = 3
	defaultQuarantineTime      = Duration(15 * time.Minute)
)

// Deployment holds the settings that apply to all processes. Operators change them
// at run time.
type Deployment struct {
	Models    Models    `json:"models" toml:"models"`
	Retention Duration  `json:"retention" toml:"retention"`
	Recovery  Recovery  `json:"recovery" toml:"recovery"`
	Routing   Routing   `json:"routing" toml:"routing"`
	Placement Placement `json:"placement" toml:"placement"`
}

// Recovery limits the extra work that the loss of attempts may cause.
type Recovery struct {
	// OrphanGrace is how long a target process continues an attempt that no
	// entry reads.
	OrphanGrace Duration `json:"orphanGrace" toml:"orphanGrace"`
	// AbandonGrace is how long an entry continues an answer that no caller
	// reads.
	AbandonGrace Duration `json:"abandonGrace" toml:"abandonGrace"`
	// RetryShare is the largest ratio of the work of retries to useful work, in each
	// process. Retries after single losses may exceed it by a fixed reserve.
	RetryShare float64 `json:"retryShare" toml:"retryShare"`
	// HedgeShare is the largest ratio of the work of hedged attempts to useful work,
	// in each process.
	HedgeShare float64 `json:"hedgeShare" toml:"hedgeShare"`
	// MaxAttempts limits the attempts of a request, so that a request that no
	// target can finish ends.
	MaxAttempts int `json:"maxAttempts" toml:"maxAttempts"`
	// QuarantineThreshold is how many target failures within QuarantineTime
	// quarantine a fingerprint that ran on the failed targets, if nothing else
	// explains them.
	QuarantineThreshold int `json:"killThreshold" toml:"killThreshold"`
	// QuarantineTime is how long requests with a quarantined fingerprint are
	// refused after the last of these failures.
	QuarantineTime Duration `json:"quarantineTime" toml:"quarantineTime"`
}

// Routing configures how targets are chosen.
type Routing struct {
	// HeadroomShare is the share of the slots and of the queue of each target that
	// is reserved for requests of class short.
	HeadroomShare float64 `json:"headroomShare" toml:"headroomShare"`
}

// Placement configures how models are assigned to targets.
type Placement struct {
	// OrdersEnabled allows the leader to give orders to engines.
	OrdersEnabled bool `json:"ordersEnabled" toml:"ordersEnabled"`
	// MaxConcurrentLoads is how many targets may load weights from the weight store
	// concurrently.
	MaxConcurrentLoads int `json:"loadsAtOnce" toml:"loadsAtOnce"`
}

// Model describes how the deployment serves one model.
type Model struct {
	Name     id.Model     `json:"name" toml:"name"`
	Version  id.Version   `json:"version" toml:"version"`
	Adapters []id.Adapter `json:"adapters,omitempty" toml:"adapters"`
	// Replicas is the minimum number of ready targets.
	Replicas int `json:"replicas" toml:"replicas"`
}

// Models is a list of models.
type Models []Model

// Find returns the model with the name.
func (m Models) Find(name id.Model) (Model, bool) {
	i := slices.IndexFunc(m, func(v Model) bool { return v.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return m[i], true
}

// SetDefaults sets the fields of d that are zero to their defaults.
func (d *Deployment) SetDefaults() {
	d.Retention = cmp.Or(d.Retention, defaultRetention)
	d.Recovery.OrphanGrace = cmp.Or(d.Recovery.OrphanGrace, defaultOrphanGrace)
	d.Recovery.AbandonGrace = cmp.Or(d.Recovery.AbandonGrace, defaultAbandonGrace)
	d.Recovery.RetryShare = cmp.Or(d.Recovery.RetryShare, defaultRetryShare)
	d.Recovery.HedgeShare = cmp.Or(d.Recovery.HedgeShare, defaultHedgeShare)
	d.Recovery.MaxAttempts = cmp.Or(d.Recovery.MaxAttempts, defaultMaxAttempts)
	d.Recovery.QuarantineThreshold = cmp.Or(d.Recovery.QuarantineThreshold, defaultQuarantineThreshold)
	d.Recovery.QuarantineTime = cmp.Or(d.Recovery.QuarantineTime, defaultQuarantineTime)
	d.Routing.HeadroomShare = cmp.Or(d.Routing.HeadroomShare, defaultHeadroomShare)
	d.Placement.MaxConcurrentLoads = cmp.Or(d.Placement.MaxConcurrentLoads, 2)
}

// Validate returns an error that names the first field that violates a rule.
func (d *Deployment) Validate() error {
	const op = "Deployment.Validate"
	r := &d.Recovery
	switch {
	case d.Retention < 0:
		return fault.New(op, Invalid, "retention is negative")
	case r.OrphanGrace < 0 || r.AbandonGrace < 0:
		return fault.New(op, Invalid, "recovery.orphanGrace or recovery.abandonGrace is negative")
	case r.RetryShare < 0 || r.RetryShare > 1:
		return fault.New(op, Invalid, "recovery.retryShare is %v, want 0 to 1", r.RetryShare)
	case r.HedgeShare < 0 || r.HedgeShare > 1:
		return fault.New(op, Invalid, "recovery.hedgeShare is %v, want 0 to 1", r.HedgeShare)
	case r.MaxAttempts < 1:
		return fault.New(op, Invalid, "recovery.maxAttempts is %d, want at least 1", r.MaxAttempts)
	case r.QuarantineThreshold < 1:
		return fault.New(op, Invalid, "recovery.killThreshold is %d, want at least 1", r.QuarantineThreshold)
	case r.QuarantineTime < 0:
		return fault.New(op, Invalid, "recovery.quarantineTime is negative")
	case d.Routing.HeadroomShare < 0 || d.Routing.HeadroomShare > 0.9:
		return fault.New(op, Invalid, "routing.headroomShare is %v, want 0 to 0.9", d.Routing.HeadroomShare)
	case d.Placement.MaxConcurrentLoads < 1:
		return fault.New(op, Invalid, "placement.loadsAtOnce is %d, want at least 1", d.Placement.MaxConcurrentLoads)
	}
	return d.Models.validate()
}

func (m Models) validate() error {
	const op = "Models.validate"
	seen := map[id.Model]bool{}
	for i := range m {
		switch {
		case m[i].Name == "":
			return fault.New(op, Invalid, "models[%d].name is empty", i)
		case seen[m[i].Name]:
			return fault.New(op, Invalid, "models[%d].name %q is listed twice", i, m[i].Name)
		case m[i].Replicas < 0:
			return fault.New(op, Invalid, "models[%d].replicas is negative", i)
		}
		seen[m[i].Name] = true
	}
	return nil
}
