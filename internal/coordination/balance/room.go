package balance

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// plainRoom is how many requests a target of a plain service may have, in multiples of its
	// slots: those that it runs, and as many that follow at once.
	plainRoom = 2
	// QueueDivisor is the divisor of a target's slots that gives how many requests it may have
	// beyond them.
	QueueDivisor = 4
	// engineBacklog is the number of prompt tokens that an engine may have yet to compute when
	// it gets a request: less than a second's work.
	engineBacklog = 6000
	// unboundedRoom is the room at a target that does not say how many requests it runs.
	unboundedRoom = 1 << 20
	// fullTime is how long a target that refused a request as full gets no other one from this
	// entry.
	fullTime = 150 * time.Millisecond
	// An entry's part of the room is rounded at random anew after plainDrawInterval, the usual
	// time of a request of a plain service, and after engineDrawInterval, within which entries
	// have told each other of a prompt.
	plainDrawInterval  = 50 * time.Millisecond
	engineDrawInterval = 100 * time.Millisecond
)

// Rivals says who wants the room of a service.
type Rivals struct {
	// Waiting is the number of requests that wait at this entry and are as urgent as the one
	// that asks, itself included; Others is that at the other entries by their last reports.
	Waiting, Others int
	// Reserved counts the requests that this entry is about to send, by target.
	Reserved map[id.Target]int
}

func (r *Rivals) reserved() int {
	n := 0
	for _, reserved := range r.Reserved {
		n += reserved
	}
	return n
}

// Room is what a service's targets can take from this entry now.
type Room struct {
	// Targets are those with room. Places is how many requests may be sent to them.
	Targets catalog.Targets
	Places  int
	// Undecided says that there is no target whose room matters: all that are left are
	// suspected or not ready.
	Undecided bool
}

// draw is a random number that is used for a while.
type draw struct {
	at    time.Time
	value float64
}

// Room returns the room for a request among targets of one service that it was not sent to.
func (b *Balancer) Room(now time.Time, request Request, targets catalog.Targets, rivals Rivals) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := make(catalog.Targets, 0, len(targets))
	for _, t := range targets {
		if t.State == catalog.Ready && !b.suspected(now, t) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return Room{Undecided: true}
	}
	if request.Engine != nil {
		return b.engineRoom(now, request, usable, &rivals)
	}
	return b.serviceRoom(now, usable, &rivals)
}

// engineRoom returns the engines that would soon begin with a prompt. While other entries
// have requests waiting, it leaves each to them with the probability of their part of these.
func (b *Balancer) engineRoom(now time.Time, request Request, usable catalog.Targets, rivals *Rivals) Room {
	var room Room
	share := float64(rivals.Waiting) / float64(max(1, rivals.Waiting+rivals.Others))
	for _, t := range usable {
		r := b.record(now, t)
		places := b.enginePlaces(now, request, r, t, rivals.Reserved[t.ID])
		if places == 0 {
			continue
		}
		if rivals.Others > 0 {
			if b.redraw(now, &r.roomDraw, engineDrawInterval) >= share {
				continue
			}
			places = 1
		}
		room.Targets = append(room.Targets, t)
		room.Places += places
	}
	return room
}

// enginePlaces returns how many requests like the given one an engine has room for.
func (b *Balancer) enginePlaces(now time.Time, request Request, r *record, t *catalog.Target, reserved int) int {
	if now.Before(r.fullUntil) {
		return 0
	}
	l := b.total(r, t)
	if request.memory() <= request.Engine.MemoryTokens && !b.fits(now, request, t, 1+reserved) {
		return 0
	}
	places := unboundedRoom
	if t.Slots > 0 {
		places = t.Slots + t.Slots/QueueDivisor - l.Running - reserved
	}
	backlog := b.backlogOf(now, t.ID, l) + float64(reserved*request.PromptTokens)
	if backlog > engineBacklog {
		return 0
	}
	if request.PromptTokens > 0 {
		places = min(places, 1+int(engineBacklog-backlog)/request.PromptTokens)
	}
	return max(0, places)
}

// serviceRoom returns the room at targets of a plain service. While all requests that entries
// have there, or want to send, are more than the targets run and queue, an entry may have its
// part of these in flight, by its part of the requests.
func (b *Balancer) serviceRoom(now time.Time, usable catalog.Targets, rivals *Rivals) Room {
	var room Room
	bound, others, own := 0, 0, rivals.reserved()
	unbounded := false
	for _, t := range usable {
		r := b.record(now, t)
		unbounded = unbounded || t.Slots == 0
		bound += plainRoom * t.Slots
		others += b.others[t.ID].Running
		own += r.Running
		if !r.full(now) {
			room.Targets = append(room.Targets, t)
		}
	}
	demand := own + others + rivals.Waiting + rivals.Others
	switch {
	case len(room.Targets) == 0:
	case unbounded:
		room.Places = unboundedRoom
	case demand <= bound:
		room.Places = bound - demand + rivals.Waiting
	default:
		share := float64(own+rivals.Waiting) / float64(demand)
		part := int(share*float64(bound) + b.redraw(now, b.serviceDraw(usable[0].Service), plainDrawInterval))
		room.Places = max(0, part-own)
	}
	if room.Places == 0 {
		room.Targets = nil
	}
	return room
}

// full reports whether a target of a plain service has refused a request lately, or said that
// it has more requests than it should.
func (r *record) full(now time.Time) bool {
	if now.Before(r.fullUntil) {
		return true
	}
	return r.load.Slots > 0 && now.Sub(r.loadAt) < countLifetime && r.load.Waiting >= (plainRoom-1)*r.load.Slots
}

// serviceDraw returns the random number by which this entry's part of a service's room is
// rounded.
func (b *Balancer) serviceDraw(service id.Service) *draw {
	if b.draws == nil {
		b.draws = map[id.Service]*draw{}
	}
	if b.draws[service] == nil {
		b.draws[service] = &draw{}
	}
	return b.draws[service]
}

// redraw returns the number, after a new one has been drawn if it is older than interval.
func (b *Balancer) redraw(now time.Time, d *draw, interval time.Duration) float64 {
	if d.at.IsZero() || now.Sub(d.at) >= interval {
		d.at, d.value = now, b.random()
	}
	return d.value
}
