// Package hostlist defines the JSON document of the platform's host list, which
// says which hosts are live and which are leaving. The list lags behind the actual
// state of the hosts.
//
// # Usage
//
//	GET URL → Document, with an ETag; 304 if If-None-Match holds the current ETag
package hostlist

import (
	"encoding/json"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind classifies this package's errors.
type Kind string

// Invalid means that a document is malformed or fails validation.
const Invalid Kind = "invalid"

// Error is the type of this package's errors.
type Error = fault.Error[Kind]

// Document is the host list.
type Document struct {
	// Version increases with each change.
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

// UnmarshalJSON decodes and validates a document.
func (d *Document) UnmarshalJSON(data []byte) error {
	type plain Document
	if err := json.Unmarshal(data, (*plain)(d)); err != nil {
		return fault.Wrap("Document.UnmarshalJSON", Invalid, err)
	}
	return d.Validate()
}

// Validate returns an error that names the first invalid host.
func (d *Document) Validate() error {
	const op = "Document.Validate"
	seen := make(map[id.Host]bool, len(d.Hosts))
	for i, h := range d.Hosts {
		switch {
		case h.Host == "":
			return fault.New(op, Invalid, "hosts[%d].host is empty", i)
		case seen[h.Host]:
			return fault.New(op, Invalid, "hosts[%d].host %q is a duplicate", i, h.Host)
		case h.State != member.HostLive && h.State != member.HostLeaving:
			return fault.New(op, Invalid, "hosts[%d].state is %q, want live or leaving", i, h.State)
		}
		seen[h.Host] = true
	}
	return nil
}

// HostList converts the document, which was read at the given time.
func (d *Document) HostList(at time.Time) member.HostList {
	list := member.HostList{Hosts: make(map[id.Host]member.HostState, len(d.Hosts)), At: at}
	for _, h := range d.Hosts {
		list.Hosts[h.Host] = h.State
	}
	return list
}
