package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/attempt"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// offer starts an attempt of a request of its own.
func offer(t *attempt.Table, now time.Time, n int, class generation.Class, deadline time.Time) (*attempt.Reader, error) {
	s := spec()
	s.Request = id.Request(fmt.Sprintf("ans-00000000-%x", n))
	s.Class, s.Deadline = class, deadline
	return t.Start(now, attempt.Start{Spec: s, Epoch: 1, Attempt: 1}, func() {})
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	l := limits()
	l.Capacity = attempt.Capacity{Slots: 1, Queue: 10}
	table := attempt.NewTable(l)
	running, err := offer(table, begin, 0, generation.Long, time.Time{})
	is.NoErr(err)
	is.Equal(len(table.Admit(begin)), 1)
	in := func(d time.Duration) time.Time { return begin.Add(d) }
	asks := []struct {
		class    generation.Class
		deadline time.Time
	}{
		{generation.Long, in(time.Minute)},
		{generation.Standard, time.Time{}},
		{generation.Standard, in(2 * time.Minute)},
		{generation.Standard, in(time.Minute)},
		{generation.Short, time.Time{}},
		{generation.Standard, time.Time{}},
	}
	for i, ask := range asks {
		_, err := offer(table, begin, i+1, ask.class, ask.deadline)
		is.NoErr(err)
	}
	table.Finish(begin, running.Record(), generation.Stop, attempt.Usage{})
	var order []string
	for range asks {
		r := table.Admit(begin)[0]
		order = append(order, string(r.Spec.Request[len("ans-00000000-"):]))
		table.Finish(begin, r, generation.Stop, attempt.Usage{})
	}
	is.Equal(order, []string{"5", "4", "3", "2", "6", "1"})
}

func TestQueueHeadroom(t *testing.T) {
	tests := []struct {
		name                string
		slots               int
		share               float64
		others, wantOthers  int
		shorts, wantRunning int
	}{
		{"ten slots", 10, 0.1, 20, 9, 5, 10},
		{"share rounds up", 4, 0.1, 20, 3, 5, 4},
		{"one slot is for all", 1, 0.5, 20, 1, 5, 1},
		{"no share", 4, 0, 20, 4, 5, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := limits()
			l.Capacity = attempt.Capacity{Slots: tt.slots, Queue: 40, HeadroomShare: tt.share}
			table := attempt.NewTable(l)
			for i := range tt.others {
				_, err := offer(table, begin, i, generation.Long, time.Time{})
				is.NoErr(err)
			}
			is.Equal(len(table.Admit(begin)), tt.wantOthers)
			for i := range tt.shorts {
				_, err := offer(table, begin, 1000+i, generation.Short, time.Time{})
				is.NoErr(err)
			}
			table.Admit(begin)
			is.Equal(table.Queue().Running(), tt.wantRunning)
		})
	}
}

func TestQueueRefuses(t *testing.T) {
	is := is.New(t)
	l := limits()
	l.Capacity = attempt.Capacity{Slots: 2, Queue: 2, HeadroomShare: 0.5}
	table := attempt.NewTable(l)
	_, err := offer(table, begin, 0, generation.Long, begin)
	is.True(fault.Is(err, attempt.Deadline)) // it has passed already
	// One slot is for long work, and each takes 10 s.
	reader, err := offer(table, begin, 1, generation.Long, time.Time{})
	is.NoErr(err)
	table.Admit(begin)
	now := begin.Add(10 * time.Second)
	table.Finish(now, reader.Record(), generation.Stop, attempt.Usage{})
	_, err = offer(table, now, 2, generation.Long, time.Time{})
	is.NoErr(err)
	table.Admit(now)
	_, err = offer(table, now, 3, generation.Long, now.Add(9*time.Second))
	is.True(fault.Is(err, attempt.Busy)) // the wait of 10 s passes its deadline
	is.Equal(table.Queue().RetryAfter(generation.Long), 10*time.Second)
	_, err = offer(table, now, 4, generation.Long, now.Add(11*time.Second))
	is.NoErr(err)
	_, err = offer(table, now, 5, generation.Long, time.Time{})
	is.True(fault.Is(err, attempt.Busy)) // the other place is for short work
	_, err = offer(table, now, 6, generation.Short, now.Add(time.Second))
	is.NoErr(err) // a slot is free for it, whoever waits
	table.Admit(now)
	_, err = offer(table, now, 7, generation.Short, time.Time{})
	is.NoErr(err)
	stopped := table.Sweep(now.Add(12 * time.Second))
	is.Equal(len(stopped), 1) // attempt 4 waited past its deadline
	is.Equal(stopped[0].Failure.Kind, attempt.Deadline)
	is.True(!stopped[0].Failure.Started) // and this proves that it was not run
}

// TestQueueCounts drives a queue at random and holds its counts against the
// attempts themselves.
func TestQueueCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits()
		l.Capacity = attempt.Capacity{
			Slots:         rapid.IntRange(1, 6).Draw(t, "slots"),
			Queue:         rapid.IntRange(0, 6).Draw(t, "queue"),
			HeadroomShare: rapid.Float64Range(0, 0.9).Draw(t, "share"),
		}
		table := attempt.NewTable(l)
		var running []*attempt.Record
		classes := []generation.Class{generation.Short, generation.Standard, generation.Long}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "start") {
				_, _ = offer(table, begin, n, rapid.SampledFrom(classes).Draw(t, "class"), time.Time{})
			} else if len(running) > 0 {
				at := rapid.IntRange(0, len(running)-1).Draw(t, "at")
				table.Finish(begin, running[at], generation.Stop, attempt.Usage{})
				running = append(running[:at], running[at+1:]...)
			}
			running = append(running, table.Admit(begin)...)
			checkQueue(t, table.Queue(), running, l.Capacity)
		}
	})
}

func checkQueue(t *rapid.T, q *attempt.Queue, running []*attempt.Record, c attempt.Capacity) {
	short := 0
	for _, r := range running {
		if r.Spec.Class == generation.Short {
			short++
		}
	}
	switch {
	case q.Running() != len(running) || q.ShortRunning() != short:
		t.Fatalf("counts %d and %d, want %d and %d", q.Running(), q.ShortRunning(), len(running), short)
	case q.Running() > c.Slots:
		t.Fatalf("%d run in %d slots", q.Running(), c.Slots)
	case q.Waiting() > c.Queue:
		t.Fatalf("%d wait in %d places", q.Waiting(), c.Queue)
	case q.Waiting() > 0 && q.Running() == 0:
		t.Fatal("work waits beside free slots")
	}
}
