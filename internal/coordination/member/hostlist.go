package member

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// HostState is what the platform's host list says of a host.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostList is one reading of the platform's host list. The list lags: a host
// that it does not name may be new, and says nothing.
type HostList struct {
	Hosts map[id.Host]HostState
	// At is when the list was made, by the receiver's clock.
	At time.Time
}

// UpdateHostList takes over a reading of the host list. An older reading than the
// last one is ignored.
func (v *View) UpdateHostList(doc HostList, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !doc.At.After(v.hostsAt) {
		return
	}
	v.hostsAt = doc.At
	v.leavingHosts = make(map[id.Host]bool)
	for host, state := range doc.Hosts {
		if state == HostLeaving {
			v.leavingHosts[host] = true
		}
	}
	for _, t := range v.targets {
		v.judgeTarget(t, now)
	}
	for _, e := range v.entries {
		v.judgeEntry(e, now)
	}
	v.publish()
}

// HostLeaving reports whether the newest host list says that host leaves.
func (v *View) HostLeaving(host id.Host) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leavingHosts[host]
}
