package detect

import "time"

const (
	// heldPause is the least pause that a lost packet makes: its sender waits about
	// as long before it sends it again.
	heldPause = 150 * time.Millisecond
	// together is the most between two events that arrived at once. An engine
	// takes many times as long to make one.
	together = 2 * time.Millisecond
)

// PacketLossDetector tells a stream whose events are held up on their way from one whose
// engine pauses. After a pause of the engine the events come one by one; those
// that were held up behind a lost packet come together.
type PacketLossDetector struct {
	last time.Time
	// paused says that the last event came after a pause.
	paused bool
}

// NewPacketLossDetector returns an Arrivals before the first event.
func NewPacketLossDetector() *PacketLossDetector { return &PacketLossDetector{} }

// Observe notes an event, and reports whether it and the one before were held up.
func (a *PacketLossDetector) Observe(now time.Time) bool {
	gap := now.Sub(a.last)
	held := a.paused && gap <= together
	a.paused = !a.last.IsZero() && gap >= heldPause
	a.last = now
	return held
}
