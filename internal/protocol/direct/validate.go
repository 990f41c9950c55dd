package direct

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// maxSpanMS limits times in milliseconds. As time.Duration it does not overflow.
	maxSpanMS = int64(365 * 24 * time.Hour / time.Millisecond)
	// maxLoad limits what an entry reports to have in flight. The sums over all entries do
	// not overflow.
	maxLoad = 1 << 40
	// MaxPerSecond is the highest limit that is one at all.
	MaxPerSecond PerSecond = 1e9
)

// validate returns an error for the first value that is out of range.
func (u *PeerUpdate) validate() error {
	const op = "PeerUpdate.validate"
	for _, ms := range u.spans() {
		if ms < -maxSpanMS || ms > maxSpanMS {
			return fault.New(op, Malformed, "%d ms is out of range", ms)
		}
	}
	for _, loads := range []map[id.Target]balance.Load{u.Loads, u.LoadChanges} {
		for target, l := range loads {
			if !inRange(l.Running, l.PrefillTokens, l.MemoryTokens, l.Backups) {
				return fault.New(op, Malformed, "load of %s is out of range", target)
			}
		}
	}
	for service, c := range u.Retries {
		if !inRange(c.Requests, c.Retries) {
			return fault.New(op, Malformed, "retries of %s are out of range", service)
		}
	}
	for i := range u.Limits {
		if rate := u.Limits[i].PerSecond; !(rate >= 0 && rate <= MaxPerSecond) {
			return fault.New(op, Malformed, "limit of %s is out of range", u.Limits[i].Target)
		}
	}
	if slices.ContainsFunc(u.TargetChanges, func(c TargetChange) bool { return c.Key == "" || c.Revision <= 0 }) {
		return fault.New(op, Malformed, "change of a target without key or revision")
	}
	for service, r := range u.Rollouts {
		if err := r.Validate(); err != nil || service == "" {
			return fault.New(op, Malformed, "roll-out of service %q: %v", service, err)
		}
	}
	return nil
}

// spans returns all times in milliseconds of the message.
func (u *PeerUpdate) spans() []int64 {
	spans := []int64{u.StopsInMS}
	for i := range u.Losses {
		spans = append(spans, u.Losses[i].AgeMS)
	}
	for i := range u.Runs {
		spans = append(spans, u.Runs[i].AgoMS)
	}
	for i := range u.Limits {
		spans = append(spans, u.Limits[i].AgeMS)
	}
	for i := range u.Streams {
		spans = append(spans, u.Streams[i].AgeMS)
	}
	for i := range u.Failures {
		for _, o := range u.Failures[i].Observations {
			spans = append(spans, o.AgeMs, o.RunMs, o.LastRunMs)
		}
		for _, trial := range u.Failures[i].Trials {
			spans = append(spans, trial.AgeMs)
		}
	}
	if u.Versions != nil {
		spans = append(spans, u.Versions.CoveredMS)
		for i := range u.Versions.Seen {
			spans = append(spans, u.Versions.Seen[i].AgeMS)
		}
	}
	return spans
}

func inRange(values ...int) bool {
	return !slices.ContainsFunc(values, func(n int) bool { return n < 0 || n > maxLoad })
}
