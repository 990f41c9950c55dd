package route

import (
	"math"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// HasCapacity reports whether a target whose current load is report may start a
// request of a class. Headroom is the share of the slots that is reserved for
// class Short.
//
// The target process calls it before it starts an attempt. Entries hold older
// reports, and several of them may send to the same free slot; so the target
// checks again and refuses as busy with its current load, which the entry
// records before it chooses another target.
func HasCapacity(report *member.TargetReport, class generation.Class, headroom float64) bool {
	active := report.Running + report.Queued
	if class == generation.Short {
		return active < report.Slots
	}
	reserved := int(math.Ceil(headroom * float64(report.Slots)))
	return active+max(0, reserved-report.ShortRunning) < report.Slots
}
