package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// HostState is the state of a host in the platform's host list.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostList is one reading of the platform's host list. The list lags behind
// reality: a host that it does not contain may be new, so a missing host says
// nothing about its state.
type HostList struct {
	Hosts map[id.Host]HostState
	// At is when the list was made, by the receiver's clock.
	At time.Time
}

// UpdateHostList applies a reading of the host list. A reading that is not
// newer than the last one is ignored.
func (v *View) UpdateHostList(list HostList, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !list.At.After(v.hostsAt) {
		return
	}
	v.hostsAt = list.At
	v.leavingHosts = make(map[id.Host]bool)
	for host, state := range list.Hosts {
		if state == HostLeaving {
			v.leavingHosts[host] = true
		}
	}
	for _, t := range v.targets {
		v.evaluateTarget(t, now)
	}
	for _, e := range v.entries {
		v.evaluateEntry(e, now)
	}
	v.publish()
}

// HostLeaving reports whether the newest host list marks the host as leaving.
func (v *View) HostLeaving(host id.Host) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leavingHosts[host]
}
