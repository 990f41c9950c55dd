package route

import (
	"math"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// HasCapacity reports whether a target whose true load is report may start work of
// a class. Entries hold older reports, and several may see the same free slot;
// so a target process asks this before it starts an attempt, and refuses as
// busy with its load, which the entry takes over before it chooses again.
// Headroom is the part of the slots that only short work uses.
func HasCapacity(report *member.TargetReport, class generation.Class, headroom float64) bool {
	active := report.Running + report.Queued
	if class == generation.Short {
		return active < report.Slots
	}
	kept := int(math.Ceil(headroom * float64(report.Slots)))
	return active+max(0, kept-report.ShortRunning) < report.Slots
}
