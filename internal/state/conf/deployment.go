package conf

import (
	"cmp"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Duration is a time.Duration written as text, such as "6s".
type Duration time.Duration

// MarshalText returns d as time.Duration writes it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fault.New("Duration.UnmarshalText", Invalid, "is %q, want a time such as 30s", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Defaults of a deployment.
const (
	defaultRetention      = Duration(10 * time.Minute)
	defaultOrphanGrace    = Duration(30 * time.Second)
	defaultAbandonGrace   = Duration(60 * time.Second)
	defaultRetryShare     = 0.2
	defaultHedgeShare     = 0.05
	defaultMaxAttempts    = 8
	defaultHeadroomShare  = 0.1
	defaultKillThreshold  = 3
	defaultQuarantineTime = Duration(15 * time.Minute)
)

// Deployment is what the operators set for all processes.
type Deployment struct {
	Models    Models    `json:"models" toml:"models"`
	Retention Duration  `json:"retention" toml:"retention"`
	Recovery  Recovery  `json:"recovery" toml:"recovery"`
	Routing   Routing   `json:"routing" toml:"routing"`
	Placement Placement `json:"placement" toml:"placement"`
}

// Recovery bounds the work that losses may cause.
type Recovery struct {
	// OrphanGrace is how long a target process goes on with an attempt that
	// no entry reads.
	OrphanGrace Duration `json:"orphanGrace" toml:"orphanGrace"`
	// AbandonGrace is how long an entry goes on with an answer that no caller
	// reads.
	AbandonGrace Duration `json:"abandonGrace" toml:"abandonGrace"`
	// RetryShare is the largest part of the work that retries may add.
	RetryShare float64 `json:"retryShare" toml:"retryShare"`
	// HedgeShare is the largest part of the work that races may add.
	HedgeShare float64 `json:"hedgeShare" toml:"hedgeShare"`
	// MaxAttempts ends a request that no target can finish.
	MaxAttempts int `json:"maxAttempts" toml:"maxAttempts"`
	// QuarantineThreshold is the number of isolated deaths that quarantine a
	// fingerprint.
	QuarantineThreshold int `json:"killThreshold" toml:"killThreshold"`
	// QuarantineTime is how long a fingerprint stays refused.
	QuarantineTime Duration `json:"quarantineTime" toml:"quarantineTime"`
}

// Routing sets how targets are chosen.
type Routing struct {
	// HeadroomShare is the part of each target that only short work may use.
	HeadroomShare float64 `json:"headroomShare" toml:"headroomShare"`
}

// Placement sets how targets are given models.
type Placement struct {
	// OrdersEnabled lets the leader give orders to engines.
	OrdersEnabled bool `json:"ordersEnabled" toml:"ordersEnabled"`
	// MaxConcurrentLoads is how many targets may read from the weight store at once.
	MaxConcurrentLoads int `json:"loadsAtOnce" toml:"loadsAtOnce"`
}

// Model is what the deployment serves of one model.
type Model struct {
	Name     id.Model     `json:"name" toml:"name"`
	Version  id.Version   `json:"version" toml:"version"`
	Adapters []id.Adapter `json:"adapters,omitempty" toml:"adapters"`
	// Replicas is the smallest number of ready targets.
	Replicas int `json:"replicas" toml:"replicas"`
}

// Models is a list of models.
type Models []Model

// Find returns the model of that name.
func (m Models) Find(name id.Model) (Model, bool) {
	i := slices.IndexFunc(m, func(v Model) bool { return v.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return m[i], true
}

// SetDefaults fills in what d leaves out.
func (d *Deployment) SetDefaults() {
	d.Retention = cmp.Or(d.Retention, defaultRetention)
	d.Recovery.OrphanGrace = cmp.Or(d.Recovery.OrphanGrace, defaultOrphanGrace)
	d.Recovery.AbandonGrace = cmp.Or(d.Recovery.AbandonGrace, defaultAbandonGrace)
	d.Recovery.RetryShare = cmp.Or(d.Recovery.RetryShare, defaultRetryShare)
	d.Recovery.HedgeShare = cmp.Or(d.Recovery.HedgeShare, defaultHedgeShare)
	d.Recovery.MaxAttempts = cmp.Or(d.Recovery.MaxAttempts, defaultMaxAttempts)
	d.Recovery.QuarantineThreshold = cmp.Or(d.Recovery.QuarantineThreshold, defaultKillThreshold)
	d.Recovery.QuarantineTime = cmp.Or(d.Recovery.QuarantineTime, defaultQuarantineTime)
	d.Routing.HeadroomShare = cmp.Or(d.Routing.HeadroomShare, defaultHeadroomShare)
	d.Placement.MaxConcurrentLoads = cmp.Or(d.Placement.MaxConcurrentLoads, 2)
}

// Validate returns an error that names the first field that breaks a rule.
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
			return fault.New(op, Invalid, "models[%d].name %q is there twice", i, m[i].Name)
		case m[i].Replicas < 0:
			return fault.New(op, Invalid, "models[%d].replicas is negative", i)
		}
		seen[m[i].Name] = true
	}
	return nil
}
