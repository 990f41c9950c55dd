package detect

import "time"

const (
	// minRetransmitPause is the shortest pause that a lost packet causes: the
	// sender waits about that long before it sends the packet again.
	minRetransmitPause = 150 * time.Millisecond
	// maxBurstGap is the longest gap between two events that arrived together.
	// An engine takes many times as long to produce one.
	maxBurstGap = 2 * time.Millisecond
)

// PacketLossDetector finds delays of a stream's events by packet loss, and
// tells them from pauses of the engine. After a pause of the engine the events
// arrive one by one. Events that waited behind a lost packet arrive together.
type PacketLossDetector struct {
	last time.Time
	// paused says that the last event arrived after a pause.
	paused bool
}

// NewPacketLossDetector returns a PacketLossDetector that has seen no event.
func NewPacketLossDetector() *PacketLossDetector { return &PacketLossDetector{} }

// Observe records the arrival of an event, and reports whether it and the event
// before were delayed by packet loss.
func (d *PacketLossDetector) Observe(now time.Time) bool {
	gap := now.Sub(d.last)
	delayed := d.paused && gap <= maxBurstGap
	d.paused = !d.last.IsZero() && gap >= minRetransmitPause
	d.last = now
	return delayed
}
