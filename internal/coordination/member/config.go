package member

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	// DefaultReportEvery is the time between two reports of a target.
	DefaultReportEvery = time.Second
	// DefaultReportTTL is how long a report lets its target take work. It
	// leaves 500 ms of the 3 s within which a leaving target must be left
	// alone for a report's time on the wire.
	DefaultReportTTL = 2500 * time.Millisecond
	// DefaultEntryTTL is how long an entry's report makes it a live entry.
	DefaultEntryTTL = 8 * time.Second
	// DefaultGoneAfter is the silence after which a member counts as gone.
	DefaultGoneAfter = 45 * time.Second
	// DefaultForgetAfter is how long a gone member's numbers are kept, so that
	// old reports do not revive it.
	DefaultForgetAfter = 15 * time.Minute
	// DefaultFlapWindow is the time within which silences count as flapping.
	DefaultFlapWindow = time.Minute
	// DefaultFlapHold is the first time that a flapping target is held back.
	DefaultFlapHold = 5 * time.Second
	// DefaultFlapHoldMax is the longest time.
	DefaultFlapHoldMax = time.Minute
	// DefaultFlapLimit is the number of silences that start damping.
	DefaultFlapLimit = 3
	// DefaultZoneShare is the part of a zone's members whose silence is the
	// zone's loss.
	DefaultZoneShare = 0.6
	// DefaultZoneWindow is how long a silence waits to be seen as part of its
	// zone's loss before it is told on its own.
	DefaultZoneWindow = 1500 * time.Millisecond
	// DefaultZoneMembers is the smallest number of members of a zone that may
	// be lost as one.
	DefaultZoneMembers = 3
)

// Config sets how a view judges silence. A zero field means its default.
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

// Defaults fills in what c leaves out.
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
