package directory

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// relistTimeout is how long after an outage of the key-value service a live
// target may take to be listed again.
const relistTimeout = 2 * time.Second

// successorListTimeout is how long a target that was added as a successor may
// take until it is listed, while the key-value service is available.
const successorListTimeout = 3 * time.Second

// departedRetention is how long the names of targets that have left are kept.
// Other entries may still report a successor for a second after it was added.
const departedRetention = time.Minute

// sequenceTrustTime is how long a record is kept because its sequence is higher than
// that of the listed one. Targets write again, or their records expire, much sooner.
const sequenceTrustTime = 30 * time.Second

// departure is what is known of a target that has left.
type departure struct {
	at          time.Time
	incarnation id.Incarnation
	version     recordVersion
	// removed is the key-value service's revision at which its record was removed; 0 if that is not known.
	removed int64
}

// markListed records that a target is listed.
func (d *Directory) markListed(name id.Target) {
	delete(d.missing, name)
	delete(d.unlisted, name)
}

// hasLeft reports whether the target has left and has not written since. Without a
// sequence that is not known.
func (d *Directory) hasLeft(t *catalog.Target) bool {
	left, departed := d.departed[t.ID]
	if !departed || left.incarnation != t.Incarnation || t.Sequence == 0 {
		return false
	}
	return t.Sequence == left.version.sequence || d.olderThan(t, left.version)
}

// leftBeforeReturn reports whether the target had left before the service returned from an
// older copy of its state, and has not written since.
func (d *Directory) leftBeforeReturn(t *catalog.Target) bool {
	return d.hasLeft(t) && d.departed[t.ID].at.Before(d.restoredAt)
}

// removedSince reports whether t is older than the removal of the target's record, of which another entry may tell later.
func (d *Directory) removedSince(t *catalog.Target) bool {
	left, departed := d.departed[t.ID]
	return departed && !left.at.Before(d.restoredAt) && t.RecordedAt.Sub(left.at) <= departedRetention &&
		t.Revision > 0 && t.Revision < left.removed
}

// StoreUnavailable reports whether the key-value service does not answer this
// entry.
func (d *Directory) StoreUnavailable() bool { return d.storeDown }

// delist removes a target, or marks it as missing if it may be listed again.
func (d *Directory) delist(now time.Time, name id.Target) *catalog.Target {
	t, known := d.targets[name]
	if !known {
		return nil
	}
	if t.State == catalog.Ready && d.listIncomplete(now) {
		if _, missing := d.missing[name]; !missing {
			d.missing[name] = now
		}
		return nil
	}
	d.depart(now, t)
	return t
}

// depart removes a target, keeping its name among the departed ones.
func (d *Directory) depart(now time.Time, t *catalog.Target) {
	delete(d.targets, t.ID)
	delete(d.missing, t.ID)
	delete(d.unlisted, t.ID)
	d.departed[t.ID] = departureOf(now, t)
	for name, left := range d.departed {
		if now.Sub(left.at) > departedRetention {
			delete(d.departed, name)
			delete(d.replaced, name)
		}
	}
}

func departureOf(now time.Time, t *catalog.Target) departure {
	return departure{at: now, incarnation: t.Incarnation, version: versionOf(t)}
}

// listIncomplete reports whether the key-value service's list may lack live
// targets.
func (d *Directory) listIncomplete(now time.Time) bool {
	return d.storeDown || (!d.storeUpAt.IsZero() && now.Before(d.storeUpAt.Add(relistTimeout)))
}

// MarkStoreUnavailable records that the key-value service does not answer, and
// reports whether it was available before.
func (d *Directory) MarkStoreUnavailable() bool {
	changed := !d.storeDown
	d.storeDown = true
	return changed
}

// MarkStoreAvailable records that the key-value service answers, and reports
// whether it was unavailable before.
func (d *Directory) MarkStoreAvailable(now time.Time) bool {
	if !d.storeDown {
		return false
	}
	d.storeDown, d.storeUpAt = false, now
	return true
}

// MarkStoreRestored records that the key-value service has returned from an older
// copy of its state.
func (d *Directory) MarkStoreRestored(now time.Time) { d.storeUpAt, d.restoredAt = now, now }

// RemoveMissing removes the targets whose time to be listed again has run out,
// and returns them.
func (d *Directory) RemoveMissing(now time.Time) catalog.Targets {
	if d.listIncomplete(now) {
		return nil
	}
	for name, at := range d.unlisted {
		if now.Sub(at) > successorListTimeout {
			d.missing[name] = at
			delete(d.unlisted, name)
		}
	}
	if len(d.missing) == 0 {
		return nil
	}
	var gone catalog.Targets
	for name := range d.missing {
		if t, known := d.targets[name]; known {
			gone = append(gone, t)
			d.depart(now, t)
		}
	}
	clear(d.missing)
	d.publish()
	return gone
}
