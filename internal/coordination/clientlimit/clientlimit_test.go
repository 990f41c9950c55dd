package clientlimit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
)

var start = time.Unix(1000, 0)

// open opens a connection some seconds after the start.
func open(t *testing.T, l *clientlimit.Listener, second int) *clientlimit.Conn {
	t.Helper()
	c, evicted, ok := l.Open(start.Add(time.Duration(second) * time.Second))
	if !ok || evicted != nil {
		t.Fatalf("connection %d has no room", second)
	}
	return c
}

// A new connection takes the place of the oldest one without a complete head, then of the
// oldest idle one, and none of one that is being served.
func TestListenerOpen(t *testing.T) {
	is := is.New(t)
	l := clientlimit.New(clientlimit.Limits{}).NewListener(4)
	idleLate, serving, readingEarly, readingLate := open(t, l, 0), open(t, l, 1), open(t, l, 2), open(t, l, 3)
	idleLate.Serve()
	idleLate.Rest(start)
	serving.Serve()
	for _, want := range []*clientlimit.Conn{readingEarly, readingLate, idleLate} {
		c, evicted, ok := l.Open(start.Add(time.Minute))
		is.True(ok)
		is.Equal(evicted, want)
		c.Serve()
		evicted.Close() // changes nothing
	}
	_, evicted, ok := l.Open(start.Add(time.Minute))
	is.True(!ok)
	is.Equal(evicted, nil)
	serving.Close()
	open(t, l, 60)
}

// TestListenerOpenBesideBodies guards against new connections that are refused for as long as others keep back the bodies of their
// requests.
func TestListenerOpenBesideBodies(t *testing.T) {
	is := is.New(t)
	l := clientlimit.New(clientlimit.Limits{}).NewListener(4)
	idle, late, early, reading := open(t, l, 0), open(t, l, 1), open(t, l, 2), open(t, l, 3)
	is.True(idle.Serve())
	idle.Rest(start)
	late.Receive(start.Add(20 * time.Second))
	early.Receive(start.Add(10 * time.Second))
	for _, want := range []*clientlimit.Conn{reading, early, late, idle} {
		c, evicted, ok := l.Open(start.Add(time.Minute))
		is.True(ok)
		is.Equal(evicted, want)
		is.True(!evicted.Serve()) // its request was not complete
		c.Receive(start.Add(time.Minute))
		is.True(c.Serve())
	}
	_, _, ok := l.Open(start.Add(time.Minute))
	is.True(!ok)
}

// TestConnChargeBesideBodies guards against heads that are refused for as long as others keep back the bodies of requests with large heads.
func TestConnChargeBesideBodies(t *testing.T) {
	is := is.New(t)
	const large = 1 << 20
	l := clientlimit.New(clientlimit.Limits{HeadMemory: large}).NewListener(100)
	stalled := open(t, l, 0)
	_, ok := stalled.Charge(large)
	is.True(ok)
	stalled.Receive(start)
	evicted, ok := open(t, l, 1).Charge(large / 2)
	is.True(ok)
	is.Equal(evicted, []*clientlimit.Conn{stalled})
}

// Small heads always have room, a large one alone too. A smaller head takes the place of larger
// incomplete ones, and of none that is being served.
func TestConnCharge(t *testing.T) {
	is := is.New(t)
	const small, large = 32 << 10, 1 << 20
	ledger := clientlimit.New(clientlimit.Limits{HeadMemory: large})
	l := ledger.NewListener(100)
	first := open(t, l, 0)
	_, ok := first.Charge(3 * large) // alone
	is.True(ok)
	_, ok = open(t, l, 1).Charge(small)
	is.True(ok)
	equal := open(t, l, 2)
	_, ok = equal.Charge(3 * large)
	is.True(!ok)
	smaller := open(t, l, 3)
	evicted, ok := smaller.Charge(large)
	is.True(ok)
	is.Equal(evicted, []*clientlimit.Conn{first})
	_, ok = first.Charge(small) // it is closed
	is.True(!ok)
	smaller.Serve()
	evicted, ok = equal.Charge(large / 2)
	is.True(!ok)
	is.Equal(len(evicted), 0)
	is.Equal(ledger.HeadMemory(), clientlimit.Bytes(large))
	smaller.Rest(start)
	_, ok = equal.Charge(large / 2)
	is.True(ok)
	_, ok = equal.Charge(small)
	is.True(ok)
	is.Equal(ledger.HeadMemory(), clientlimit.Bytes(0))
	is.Equal(ledger.Count(), 3)
}

// A refused head still costs what had been read of it.
func TestConnChargeRefused(t *testing.T) {
	is := is.New(t)
	const large = 1 << 20
	ledger := clientlimit.New(clientlimit.Limits{HeadMemory: 3 * large})
	l := ledger.NewListener(2)
	one, other := open(t, l, 0), open(t, l, 1)
	_, _ = one.Charge(large)
	one.Serve()
	_, _ = other.Charge(large)
	_, ok := other.Charge(3 * large)
	is.True(!ok)
	is.Equal(ledger.HeadMemory(), clientlimit.Bytes(2*large))
}

func TestLimitsOf(t *testing.T) {
	tests := []struct {
		name        string
		memory      clientlimit.Bytes
		descriptors int
		want        clientlimit.Limits
	}{
		{"unknown", 0, 0, clientlimit.Limits{HeadMemory: 64 << 20, ClientConns: 8192, InternalConns: 1365}},
		{"memory", 640 << 20, 0, clientlimit.Limits{HeadMemory: 64 << 20, ClientConns: 3072, InternalConns: 512}},
		{"descriptors", 640 << 20, 1224, clientlimit.Limits{HeadMemory: 64 << 20, ClientConns: 448, InternalConns: 32}},
		{"fewDescriptors", 0, 200, clientlimit.Limits{HeadMemory: 64 << 20, ClientConns: 43, InternalConns: 32}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(clientlimit.LimitsOf(tt.memory, tt.descriptors), tt.want)
		})
	}
}
