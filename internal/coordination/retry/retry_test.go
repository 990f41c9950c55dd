package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/retry"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func TestTryRetry(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		others   retry.Counts
		share    float64
		want     int
	}{
		{"no requests", 0, retry.Counts{}, 1, 10},
		{"no requests, a share of MinRetries", 0, retry.Counts{}, 0.2, 2},
		{"a share of the requests", 100, retry.Counts{}, 1, 60},
		{"what the others leave", 20, retry.Counts{Requests: 80, Retries: 10}, 1, 50},
		{"nothing left", 20, retry.Counts{Requests: 0, Retries: 30}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := retry.New(retry.Config{Ratio: 0.5, MinRetries: 10, Window: 10 * time.Second}, start)
			for range tt.requests {
				b.RecordRequest(start)
			}
			allowed := 0
			for range 1000 {
				if b.TryRetry(start, tt.others, tt.share) {
					allowed++
				}
			}
			is.Equal(allowed, tt.want)
		})
	}
}

func TestUndoRetry(t *testing.T) {
	is := is.New(t)
	b := retry.New(retry.Config{MinRetries: 1, Window: 10 * time.Second}, start)
	is.True(b.TryRetry(start, retry.Counts{}, 1))
	is.True(!b.TryRetry(start, retry.Counts{}, 1))
	b.UndoRetry(start)
	is.True(b.TryRetry(start, retry.Counts{}, 1))
}

// In any period of the window's length there must be no more retries than the
// limit allows for the requests that the budget counts in that period.
func TestTryRetrySlides(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New(retry.Config{Ratio: 0.5, MinRetries: 6, Window: window}, start)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.TryRetry(now, retry.Counts{}, 1) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			retried := within(retries, end.Add(-window), end)
			// The budget counts requests of one bucket more than the window.
			requested := within(requests, end.Add(-window-window/50), end)
			if float64(retried) > 0.5*float64(requested)+6 {
				t.Fatalf("%d retries for %d requests in the window that ends at %v", retried, requested, end.Sub(start))
			}
		}
	})
}

func within(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}
