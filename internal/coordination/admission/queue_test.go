package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/admission"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

var begin = time.Unix(1_800_000_000, 0)

type (
	queue  = admission.Queue[int]
	ticket = admission.Ticket[int]
)

func newQueue(slots, places int, share float64) *queue {
	q := admission.NewQueue[int](admission.Capacity{Slots: slots, QueueSize: places, HeadroomShare: share})
	return &q
}

// admitAll admits work until no more fits.
func admitAll(q *queue, now time.Time) []*ticket {
	var admitted []*ticket
	for {
		t, ok := q.Admit(now)
		if !ok {
			return admitted
		}
		admitted = append(admitted, t)
	}
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	q := newQueue(1, 10, 0)
	is.NoErr(q.Offer(begin, &ticket{Class: generation.Long}))
	running := admitAll(q, begin)[0]
	in := func(d time.Duration) time.Time { return begin.Add(d) }
	tickets := []*ticket{
		{Owner: 1, Class: generation.Long, Deadline: in(time.Minute)},
		{Owner: 2, Class: generation.Standard},
		{Owner: 3, Class: generation.Standard, Deadline: in(2 * time.Minute)},
		{Owner: 4, Class: generation.Standard, Deadline: in(time.Minute)},
		{Owner: 5, Class: generation.Short},
		{Owner: 6, Class: generation.Standard},
	}
	for _, v := range tickets {
		is.NoErr(q.Offer(begin, v))
	}
	var order []int
	for range tickets {
		q.Release(begin, running)
		running = admitAll(q, begin)[0]
		order = append(order, running.Owner)
	}
	is.Equal(order, []int{5, 4, 3, 2, 6, 1})
}

func TestQueueHeadroom(t *testing.T) {
	tests := []struct {
		name        string
		slots       int
		share       float64
		wantOthers  int
		wantRunning int
	}{
		{"ten slots", 10, 0.1, 9, 10},
		{"share rounds up", 4, 0.1, 3, 4},
		{"a single slot is not reserved", 1, 0.5, 1, 1},
		{"no share", 4, 0, 4, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(tt.slots, 40, tt.share)
			for range 20 {
				is.NoErr(q.Offer(begin, &ticket{Class: generation.Long}))
			}
			is.Equal(len(admitAll(q, begin)), tt.wantOthers)
			for range 5 {
				is.NoErr(q.Offer(begin, &ticket{Class: generation.Short}))
			}
			admitAll(q, begin)
			is.Equal(q.Running(), tt.wantRunning)
		})
	}
}

func TestQueueRefuses(t *testing.T) {
	is := is.New(t)
	q := newQueue(2, 2, 0.5)
	offer := func(now time.Time, class generation.Class, deadline time.Time) error {
		return q.Offer(now, &ticket{Class: class, Deadline: deadline})
	}
	is.True(fault.Is(offer(begin, generation.Long, begin), admission.Deadline)) // the deadline has already passed
	// One of the two slots is available for long work, and each piece takes 10 s.
	is.NoErr(offer(begin, generation.Long, time.Time{}))
	now := begin.Add(10 * time.Second)
	q.Release(now, admitAll(q, begin)[0])
	is.NoErr(offer(now, generation.Long, time.Time{}))
	admitAll(q, now)
	is.True(fault.Is(offer(now, generation.Long, now.Add(9*time.Second)), admission.Busy)) // the expected wait of 10 s passes the deadline
	is.Equal(q.RetryAfter(generation.Long), 10*time.Second)
	is.NoErr(offer(now, generation.Long, now.Add(11*time.Second)))
	is.True(fault.Is(offer(now, generation.Long, time.Time{}), admission.Busy)) // the other place is reserved for short work
	is.NoErr(offer(now, generation.Short, now.Add(time.Second)))                // the reserved slot is free, even though long work waits
	is.Equal(len(admitAll(q, now)), 1)
	is.NoErr(offer(now, generation.Short, time.Time{}))
}

// TestQueueCounts applies random operations to a queue and compares its counts with the
// tickets.
func TestQueueCounts(t *testing.T) {
	classes := []generation.Class{generation.Short, generation.Standard, generation.Long}
	rapid.Check(t, func(t *rapid.T) {
		slots, places := rapid.IntRange(1, 6).Draw(t, "slots"), rapid.IntRange(0, 6).Draw(t, "places")
		q := newQueue(slots, places, rapid.Float64Range(0, 0.9).Draw(t, "share"))
		var running []*ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "offer") {
				_ = q.Offer(begin, &ticket{Class: rapid.SampledFrom(classes).Draw(t, "class")})
			} else if len(running) > 0 {
				at := rapid.IntRange(0, len(running)-1).Draw(t, "at")
				q.Release(begin, running[at])
				running = append(running[:at], running[at+1:]...)
			}
			running = append(running, admitAll(q, begin)...)
			checkCounts(t, q, running, slots, places)
		}
	})
}

func checkCounts(t *rapid.T, q *queue, running []*ticket, slots, places int) {
	short := 0
	for _, r := range running {
		if r.Class == generation.Short {
			short++
		}
	}
	switch {
	case q.Running() != len(running) || q.ShortRunning() != short:
		t.Fatalf("counts %d and %d, want %d and %d", q.Running(), q.ShortRunning(), len(running), short)
	case q.Running() > slots:
		t.Fatalf("%d running in %d slots", q.Running(), slots)
	case q.Waiting() > places:
		t.Fatalf("%d waiting in %d places", q.Waiting(), places)
	case q.Waiting() > 0 && q.Running() == 0:
		t.Fatal("work waits although all slots are free")
	}
}
