// Package hostlist holds the document of the platform's host list: which hosts
// are live and which are leaving. The list lags behind the hosts.
//
// # Usage
//
//	GET URL → Document, with an ETag; 304 when If-None-Match still holds
package hostlist

import (
	"encoding/json"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Invalid means that a document breaks a rule.
const Invalid Kind = "invalid"

// Error is this package's error.
type Error = fault.Error[Kind]

// Document is the host list.
type Document struct {
	// Version rises with each change.
	Version int64 `json:"version"`
	Hosts   Hosts `json:"hosts"`
}

// Host is one host of the list.
type Host struct {
	Host  id.Host          `json:"host"`
	State member.HostState `json:"state"`
}

// Hosts is a list of hosts.
type Hosts []Host

// UnmarshalJSON reads a document and checks it.
func (d *Document) UnmarshalJSON(data []byte) error {
	type plain Document
	if err := json.Unmarshal(data, (*plain)(d)); err != nil {
		return fault.Wrap("Document.UnmarshalJSON", Invalid, err)
	}
	return d.Validate()
}

// Validate returns an error that names the first host that breaks a rule.
func (d *Document) Validate() error {
	const op = "Document.Validate"
	seen := make(map[id.Host]bool, len(d.Hosts))
	for i, h := range d.Hosts {
		switch {
		case h.Host == "":
			return fault.New(op, Invalid, "hosts[%d].host is empty", i)
		case seen[h.Host]:
			return fault.New(op, Invalid, "hosts[%d].host %q is there twice", i, h.Host)
		case h.State != member.HostLive && h.State != member.HostLeaving:
			return fault.New(op, Invalid, "hosts[%d].state is %q, want live or leaving", i, h.State)
		}
		seen[h.Host] = true
	}
	return nil
}

// HostList returns the document as it was read at a time.
func (d *Document) HostList(at time.Time) member.HostList {
	doc := member.HostList{Hosts: make(map[id.Host]member.HostState, len(d.Hosts)), At: at}
	for _, h := range d.Hosts {
		doc.Hosts[h.Host] = h.State
	}
	return doc
}
