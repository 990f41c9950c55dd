package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/pace"
)

func TestLeast(t *testing.T) {
	tests := []struct {
		name   string
		seen   int
		prompt int
		done   int
		least  time.Duration
		most   time.Duration
	}{
		{"nothing known", 5, 8000, 0, 0, 0},
		{"a whole one", 30, 8000, 0, 2 * time.Second, 5 * time.Second},
		{"nearly done", 30, 8000, 130, time.Second, 1100 * time.Millisecond},
		{"the longest seen was shorter", 30, 8000, 500, time.Second, 1100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := pace.New()
			for range tt.seen {
				p.Observe(140, 4200*time.Millisecond)
			}
			got := p.MinRemaining(tt.prompt, tt.done)
			is.True(got >= tt.least)
			is.True(got <= tt.most)
		})
	}
}
