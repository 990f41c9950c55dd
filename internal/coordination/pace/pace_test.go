package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/pace"
)

func TestMinRemaining(t *testing.T) {
	tests := []struct {
		name   string
		seen   int
		prompt int
		done   int
		least  time.Duration
		most   time.Duration
	}{
		{"too few observations", 5, 8000, 0, 0, 0},
		{"new stream", 30, 8000, 0, 2 * time.Second, 5 * time.Second},
		{"nearly done", 30, 8000, 130, time.Second, 1100 * time.Millisecond},
		{"longer than all observed", 30, 8000, 500, time.Second, 1100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := pace.New()
			for range tt.seen {
				e.Observe(140, 4200*time.Millisecond)
			}
			got := e.MinRemaining(tt.prompt, tt.done)
			is.True(got >= tt.least)
			is.True(got <= tt.most)
		})
	}
}

func TestLikely(t *testing.T) {
	is := is.New(t)
	e := pace.New()
	for i := range 40 {
		is.Equal(e.Likely() > 0, i >= 20) // too few observations before
		e.Observe(120, 5*time.Second)
		e.ObserveWhole(time.Duration(5+i%5) * time.Second)
	}
	is.True(e.Likely() >= 8*time.Second)
	is.True(e.Likely() <= 11*time.Second)
}
