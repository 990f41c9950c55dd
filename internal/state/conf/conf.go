// Package conf holds the configuration of a deployment: the contracts and the
// settings that operators change at run time for all processes. One increasing
// revision number covers all of it.
//
// # Usage
//
//	var s conf.Snapshot
//	next, err := s.Apply(change)
//	c, ok := next.ContractOfKey(contract.HashKey(bearer))
//
// A Snapshot is immutable once it is in force; Apply returns a new one.
package conf

import (
	"encoding/json"
	"maps"
	"time"

	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Invalid means that a value violates a rule.
	Invalid Kind = "invalid"
	// RevisionGap means that the revision of a change is not the one after the
	// snapshot's.
	RevisionGap Kind = "gap"
)

// Error is this package's error.
type Error = fault.Error[Kind]

// Object is the type of the object that a change applies to.
type Object string

// Types of objects.
const (
	// ContractObject is a contract; Change.Name is the name of the contract.
	ContractObject Object = "contract"
	// DeploymentObject is the deployment's configuration; Change.Name is empty.
	DeploymentObject Object = "deployment"
)

// Change is one accepted change of the configuration.
type Change struct {
	// ID is random. It lets an operator who got no response to a change find out
	// whether this change is the one that was requested.
	ID string `json:"id,omitempty"`
	// Revision is one more than that of the previous change.
	Revision id.Revision `json:"revision"`
	Object   Object      `json:"object"`
	Name     id.Contract `json:"name,omitempty"`
	// Value is the new contract or deployment; null if it was deleted.
	Value  json.RawMessage `json:"value"`
	Author string          `json:"author"`
	At     time.Time       `json:"at"`
}

// Deleted reports whether the change deletes its object.
func (c *Change) Deleted() bool {
	return len(c.Value) == 0 || string(c.Value) == "null"
}

// Snapshot is the complete configuration at one revision.
type Snapshot struct {
	Revision   id.Revision                        `json:"revision"`
	Deployment Deployment                         `json:"deployment"`
	Contracts  map[id.Contract]*contract.Contract `json:"contracts"`
	byKey      map[contract.KeyHash]*contract.Contract
}

// Empty returns the snapshot at revision 0, with default settings and no
// contracts.
func Empty() *Snapshot {
	s := &Snapshot{}
	s.Deployment.SetDefaults()
	return s
}

// Decode reads a snapshot from JSON, fills in its defaults and validates it.
func Decode(data []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fault.Wrap("conf.Decode", Invalid, err)
	}
	s.Deployment.SetDefaults()
	if err := s.Deployment.Validate(); err != nil {
		return nil, err
	}
	for _, c := range s.Contracts {
		c.SetDefaults()
		if err := c.Validate(); err != nil {
			return nil, fault.Wrap("conf.Decode", Invalid, err)
		}
	}
	s.index()
	return s, nil
}

// Apply returns the snapshot that results from applying change to s. It does not
// modify s.
func (s *Snapshot) Apply(change Change) (*Snapshot, error) {
	const op = "Snapshot.Apply"
	if change.Revision != s.Revision+1 {
		return nil, fault.New(op, RevisionGap, "change %d does not follow revision %d", change.Revision, s.Revision)
	}
	next := &Snapshot{
		Revision:   change.Revision,
		Deployment: s.Deployment,
		Contracts:  maps.Clone(s.Contracts),
	}
	if next.Contracts == nil {
		next.Contracts = map[id.Contract]*contract.Contract{}
	}
	if err := next.set(change); err != nil {
		return nil, fault.Wrap(op, Invalid, err)
	}
	next.index()
	return next, nil
}

func (s *Snapshot) set(change Change) error {
	switch change.Object {
	case ContractObject:
		return s.setContract(change)
	case DeploymentObject:
		return s.setDeployment(change)
	default:
		return fault.New("Snapshot.set", Invalid, "object is %q, want contract or deployment", change.Object)
	}
}

func (s *Snapshot) setContract(change Change) error {
	if change.Deleted() {
		delete(s.Contracts, change.Name)
		return nil
	}
	c := &contract.Contract{}
	if err := json.Unmarshal(change.Value, c); err != nil {
		return err
	}
	c.SetDefaults()
	if c.Name != change.Name {
		return fault.New("Snapshot.setContract", Invalid, "contract name is %q, want %q as in the change", c.Name, change.Name)
	}
	if err := c.Validate(); err != nil {
		return err
	}
	s.Contracts[change.Name] = c
	return nil
}

func (s *Snapshot) setDeployment(change Change) error {
	d := Deployment{}
	if !change.Deleted() {
		if err := json.Unmarshal(change.Value, &d); err != nil {
			return err
		}
	}
	d.SetDefaults()
	if err := d.Validate(); err != nil {
		return err
	}
	s.Deployment = d
	return nil
}

// index builds the map from key hashes to contracts.
func (s *Snapshot) index() {
	s.byKey = make(map[contract.KeyHash]*contract.Contract, len(s.Contracts))
	for _, c := range s.Contracts {
		for _, k := range c.Keys {
			s.byKey[k] = c
		}
	}
}

// ContractOfKey returns the contract that contains the hash of a bearer key.
func (s *Snapshot) ContractOfKey(key contract.KeyHash) (*contract.Contract, bool) {
	c, ok := s.byKey[key]
	return c, ok
}
