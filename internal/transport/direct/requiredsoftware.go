package direct

import (
	"sync"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// requiredSoftware is the version at which a stream goes on. It is safe for concurrent
// use.
type requiredSoftware struct {
	mu      sync.Mutex
	known   bool
	version id.SoftwareVersion
	// target is the target that began the stream, and start the start that its process named, if a
	// record may still tell the version; otherwise empty.
	target id.Target
	start  id.Incarnation
	// startless says that the version is that of a record without a start, and startsNamed whether any record names one.
	startless   bool
	startsNamed func() bool
	// source is from what the version is known.
	source origin.Source
}

// believed reports whether the version is known. The caller holds mu.
func (r *requiredSoftware) believed() bool { return r.known && !(r.startless && r.startsNamed()) }

// resolve returns the required version, if it is known, also from the record of the target
// that began the stream.
func (r *requiredSoftware) resolve(listed catalog.Targets) (id.SoftwareVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := listed.Find(r.target); !r.known && r.target != "" && t != nil && t.Incarnation == r.start && !t.SoftwareUnknown {
		r.version, r.known, r.source = t.Software, true, origin.ByRecord
	}
	return r.version, r.believed()
}

// stream returns the version as it is remembered.
func (r *requiredSoftware) stream() origin.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known {
		return origin.Stream{Software: r.version, Startless: r.startless}
	}
	return origin.Stream{Unknown: true, Target: r.target, Start: r.start}
}

// seen returns the version as it is saved before the stream begins at a target of a service.
func (r *requiredSoftware) seen(t *catalog.Target) origin.SeenVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.known:
		return origin.SeenVersion{Service: t.Service, Software: r.version}
	case r.target != "":
		return origin.SeenProcess(t.Service, r.target, r.start)
	}
	return origin.SeenProcess(t.Service, t.ID, origin.UnidentifiedStart)
}

// set sets the version, and from what it is known.
func (r *requiredSoftware) set(v id.SoftwareVersion, source origin.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.known, r.source = v, true, source
}

// setStartless sets the version from a record that names no start.
func (r *requiredSoftware) setStartless(v id.SoftwareVersion) {
	r.set(v, origin.ByRecord)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startless = true
}

// setProcess sets the process that began the stream, of which no record tells the version yet.
func (r *requiredSoftware) setProcess(target id.Target, start id.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.start = target, start
}

// text returns the version and its source for logs.
func (r *requiredSoftware) text() (software string, source origin.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.believed() {
		return "unknown", origin.NoSource
	}
	return string(r.version), r.source
}
