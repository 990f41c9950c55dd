package member

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	// DefaultReportEvery is the interval between two reports of a target.
	DefaultReportEvery = time.Second
	// DefaultReportTTL is how long a target may receive work after a report. A
	// target that leaves must receive no more work 3 s later; the TTL leaves
	// 500 ms of that for the transit time of its last report.
	DefaultReportTTL = 2500 * time.Millisecond
	// DefaultEntryTTL is how long an entry counts as live after a report.
	DefaultEntryTTL = 8 * time.Second
	// DefaultGoneAfter is the silence after which a member counts as gone.
	DefaultGoneAfter = 45 * time.Second
	// DefaultForgetAfter is how long the incarnation and sequence numbers of a
	// gone member are kept, so that old reports do not revive it.
	DefaultForgetAfter = 15 * time.Minute
	// DefaultFlapWindow is the time within which repeated silences count as
	// flapping.
	DefaultFlapWindow = time.Minute
	// DefaultFlapHold is how long a flapping target is held back the first
	// time.
	DefaultFlapHold = 5 * time.Second
	// DefaultFlapHoldMax is the longest time for which a flapping target is
	// held back.
	DefaultFlapHoldMax = time.Minute
	// DefaultFlapLimit is the number of silences within the flap window from
	// which on a target is held back.
	DefaultFlapLimit = 3
	// DefaultZoneShare is the share of a zone's members that must be silent for
	// the zone to count as lost.
	DefaultZoneShare = 0.6
	// DefaultZoneWindow is how long a silence may be attributed to a zone
	// failure before it is reported on its own.
	DefaultZoneWindow = 1500 * time.Millisecond
	// DefaultZoneMembers is the smallest number of members for which a zone can
	// count as lost.
	DefaultZoneMembers = 3
)

// Config holds the time-outs and thresholds of a view. A zero field selects the
// default.
type Config struct {
	ReportTTL   time.Duration
	EntryTTL    time.Duration
	GoneAfter   time.Duration
	ForgetAfter time.Duration
	FlapWindow  time.Duration
	FlapHold    time.Duration
	FlapHoldMax time.Duration
	FlapLimit   int
	ZoneShare   float64
	ZoneWindow  time.Duration
	ZoneMembers int
}

// Defaults sets the fields that are zero to their defaults.
func (c *Config) Defaults() {
	c.ReportTTL = cmp.Or(c.ReportTTL, DefaultReportTTL)
	c.EntryTTL = cmp.Or(c.EntryTTL, DefaultEntryTTL)
	c.GoneAfter = cmp.Or(c.GoneAfter, DefaultGoneAfter)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, DefaultForgetAfter)
	c.FlapWindow = cmp.Or(c.FlapWindow, DefaultFlapWindow)
	c.FlapHold = cmp.Or(c.FlapHold, DefaultFlapHold)
	c.FlapHoldMax = cmp.Or(c.FlapHoldMax, DefaultFlapHoldMax)
	c.FlapLimit = cmp.Or(c.FlapLimit, DefaultFlapLimit)
	c.ZoneShare = cmp.Or(c.ZoneShare, DefaultZoneShare)
	c.ZoneWindow = cmp.Or(c.ZoneWindow, DefaultZoneWindow)
	c.ZoneMembers = cmp.Or(c.ZoneMembers, DefaultZoneMembers)
}
