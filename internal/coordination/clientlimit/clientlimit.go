// Package clientlimit bounds what the clients of a process make it hold before their requests
// are served: the number of their connections, and the memory of the heads of their requests.
// It decides whom to refuse and which connections to close, so that clients with ordinary
// requests still get in while others take all they can.
//
// # Usage
//
//	ledger := clientlimit.New(clientlimit.LimitsOf(memory, descriptors))
//	listener := ledger.NewListener(conns)
//	c, closed, ok := listener.Open(now) // a connection; those in closed must be closed
//	closed, ok = c.Charge(cost)         // the head of its request has grown
//	c.Receive(now)                      // the head is complete, and a body follows
//	ok = c.Serve()                      // the request is complete; false if it was closed
//	c.Rest(now)                         // the request has ended
//	c.Close()
//
// A Ledger does no I/O and is safe for concurrent use. The connection handles that it returns
// are compared by identity.
package clientlimit

import (
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// lineCost is the memory that a header line takes beside its bytes: its entries in the
	// client's header, in the forwarded one and in the one of an attempt.
	lineCost Bytes = 1 << 10
	// byteCost is how much memory each byte of a head takes.
	byteCost = 4
	// smallHead is the cost of a head up to which it is accepted whatever others take.
	smallHead Bytes = 32 << 10
	// connCost is the memory that a connection takes, with the one to a target: buffers,
	// goroutines and a small body.
	connCost Bytes = 64 << 10
)

// HeadCost returns the memory that a head of a number of bytes and lines takes.
func HeadCost(bytes, lines int) Bytes { return Bytes(lines)*lineCost + Bytes(bytes)*byteCost }

// Shares of a process's memory and descriptors.
const (
	headShare = 0.1
	connShare = 0.3
	// reservedFDs is the number of descriptors that are kept for files.
	reservedFDs = 200
	// minInternalConns is the least number of connections of a listener that is not for
	// clients.
	minInternalConns = 32
	// defaultHeadMemory and defaultConns apply without a memory limit.
	defaultHeadMemory Bytes = 64 << 20
	defaultConns            = 8192
)

// Limits bound what clients make a process hold.
type Limits struct {
	// HeadMemory is for the heads of all requests together, except small ones.
	HeadMemory Bytes
	// ClientConns is the number of connections of the listener for clients, and
	// InternalConns that of each other listener.
	ClientConns, InternalConns int
}

// LimitsOf returns the limits that follow from the memory and the descriptors that a process
// may have; 0 for unlimited. A client takes a descriptor, and its request one to a target.
func LimitsOf(memory Bytes, descriptors int) Limits {
	l := Limits{HeadMemory: defaultHeadMemory, ClientConns: defaultConns, InternalConns: defaultConns / 6}
	if memory > 0 {
		l.HeadMemory = Bytes(headShare * float64(memory))
		l.ClientConns = max(minInternalConns, int(connShare*float64(memory)/float64(connCost)))
		l.InternalConns = l.ClientConns / 6
	}
	if descriptors > 0 {
		usable := max(descriptors-reservedFDs, descriptors/2)
		l.ClientConns = min(l.ClientConns, usable*7/16)
		l.InternalConns = min(l.InternalConns, usable/32)
	}
	l.InternalConns = max(minInternalConns, l.InternalConns)
	return l
}

// phase is what a connection does.
type phase int

const (
	// reading means that the head of a request has not arrived completely.
	reading phase = iota
	// receiving means that the body of the request has not arrived completely.
	receiving
	serving
	resting
	closed
)

// Ledger has all connections of a process.
type Ledger struct {
	limits Limits

	mu sync.Mutex
	// large is the cost of all heads above smallHead.
	large Bytes
	conns map[*Conn]struct{}
}

// New returns a ledger without connections.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, conns: map[*Conn]struct{}{}}
}

// Listener has the connections of one listener.
type Listener struct {
	ledger *Ledger
	most   int
	count  int
}

// NewListener returns a listener that may have a number of connections.
func (l *Ledger) NewListener(most int) *Listener { return &Listener{ledger: l, most: most} }

// Conn is one connection of a client.
type Conn struct {
	listener *Listener
	phase    phase
	since    time.Time
	cost     Bytes
}

// Count returns the number of connections of all listeners.
func (l *Ledger) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// HeadMemory returns the cost of all heads that are not small.
func (l *Ledger) HeadMemory() Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.large
}

// Open adds a connection. If the listener has too many, the one that has waited the longest
// for the rest of a head makes room, else for the rest of a body, else the one that has been idle the longest; it is
// returned and must be closed. Open returns false if all others are being served.
func (s *Listener) Open(now time.Time) (c, evicted *Conn, ok bool) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	if s.count >= s.most {
		evicted = s.oldest()
		if evicted == nil {
			return nil, nil, false
		}
		evicted.remove()
	}
	c = &Conn{listener: s, since: now}
	s.ledger.conns[c] = struct{}{}
	s.count++
	return c, evicted, true
}

// oldest returns the connection that makes room for another one, or nil if all are being
// served.
func (s *Listener) oldest() *Conn {
	var found *Conn
	for c := range s.ledger.conns {
		switch {
		case c.listener != s || c.phase == serving:
		case found == nil, c.phase < found.phase, c.phase == found.phase && c.since.Before(found.since):
			found = c
		}
	}
	return found
}

// Charge sets the cost of the head of the connection's request. If the heads of all
// connections take too much together, those of incomplete requests that take more than this one make room,
// the largest first; they are returned and must be closed. Charge returns false if that is not
// enough: the request must be refused, and its head costs as much as before. A small head, and a large one without another large
// one, are always accepted. The head of a connection that was closed meanwhile is not.
func (c *Conn) Charge(cost Bytes) (evicted []*Conn, ok bool) {
	l := c.listener.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == closed {
		return nil, false
	}
	before := c.cost
	c.setCost(0)
	for !l.fits(cost) {
		victim := l.largest(cost)
		if victim == nil {
			c.setCost(before)
			return evicted, false
		}
		victim.remove()
		evicted = append(evicted, victim)
	}
	c.setCost(cost)
	return evicted, true
}

// fits reports whether a head can be added.
func (l *Ledger) fits(cost Bytes) bool {
	return cost <= smallHead || l.large == 0 || l.large+cost <= l.limits.HeadMemory
}

// largest returns the connection whose head takes the most, of those with an incomplete request, if that is more than a
// cost.
func (l *Ledger) largest(cost Bytes) *Conn {
	var found *Conn
	for c := range l.conns {
		if c.phase < serving && c.cost > max(cost, smallHead) && (found == nil || c.cost > found.cost) {
			found = c
		}
	}
	return found
}

func (c *Conn) setCost(cost Bytes) {
	if c.cost > smallHead {
		c.listener.ledger.large -= c.cost
	}
	if cost > smallHead {
		c.listener.ledger.large += cost
	}
	c.cost = cost
}

// Serve records that the connection's request is complete. It returns false if the connection was closed before that.
func (c *Conn) Serve() bool { return c.enter(serving, nil) }

// Receive records that the head of the connection's request is complete, and that a body follows.
func (c *Conn) Receive(now time.Time) { c.enter(receiving, &now) }

// Read records that a request has begun to arrive.
func (c *Conn) Read(now time.Time) { c.enter(reading, &now) }

// Rest records that the connection's request has ended.
func (c *Conn) Rest(now time.Time) { c.enter(resting, &now) }

// enter changes the phase of the connection, unless it is closed. A connection that rests costs nothing.
func (c *Conn) enter(p phase, now *time.Time) bool {
	l := c.listener.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.phase = p
	if now != nil {
		c.since = *now
	}
	if p == resting {
		c.setCost(0)
	}
	return true
}

// Close removes the connection.
func (c *Conn) Close() {
	l := c.listener.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	c.remove()
}

func (c *Conn) remove() {
	if c.phase == closed {
		return
	}
	c.setCost(0)
	c.phase = closed
	c.listener.count--
	delete(c.listener.ledger.conns, c)
}
