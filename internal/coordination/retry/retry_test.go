package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/retry"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// roundUp rounds an entry's part up.
func roundUp() float64 { return 0.999 }

// TestTryRetryAtOnce guards against more retries than allowed when all of many entries
// retry at once, before they have heard of each other's.
func TestTryRetryAtOnce(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		entries, requests, tries int
		// least is the number of retries that must be possible, and limit the highest number.
		least, limit int
	}{
		{4, 100, 200, 90, 100},
		{31, 350, 20, 400, 451},
		{103, 870, 20, 800, 888},
	}
	for _, tt := range tests {
		is := is.New(t)
		random := rand.New(rand.NewPCG(7, 7))
		cfg := retry.Config{Ratio: 0.8, MinRetries: 150, Window: window, Random: random.Float64}
		if tt.entries == 4 {
			cfg.MinRetries = 20
		}
		var entries []*retry.Budget
		for range tt.entries {
			entries = append(entries, retry.New(cfg, start))
		}
		for range tt.requests {
			entries[random.IntN(tt.entries)].RecordRequest(start)
		}
		counts := func() (all retry.Counts) {
			for _, b := range entries {
				all = all.Add(b.Counts(start))
			}
			return all
		}
		retries := 0
		for second := range 5 {
			now := start.Add(time.Duration(second) * time.Second)
			known := counts()
			for _, b := range entries {
				own := b.Counts(now)
				others := retry.Others{Counts: retry.Counts{Requests: known.Requests - own.Requests, Retries: known.Retries - own.Retries}, Share: 1, Age: time.Second}
				for range tt.tries {
					if b.TryRetry(now, others) {
						retries++
					}
				}
			}
			is.True(retries <= tt.limit)
		}
		is.True(retries >= tt.least)
	}
}

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
			b := retry.New(retry.Config{Ratio: 0.5, MinRetries: 10, Window: 10 * time.Second, Random: roundUp}, start)
			for range tt.requests {
				b.RecordRequest(start)
			}
			allowed := 0
			for range 1000 {
				if b.TryRetry(start, retry.Others{Counts: tt.others, Share: tt.share}) {
					allowed++
				}
			}
			is.Equal(allowed, tt.want)
		})
	}
}

func TestUndoRetry(t *testing.T) {
	is := is.New(t)
	b := retry.New(retry.Config{MinRetries: 1, Window: 10 * time.Second, Random: roundUp}, start)
	is.True(b.TryRetry(start, retry.Others{Share: 1}))
	is.True(!b.TryRetry(start, retry.Others{Share: 1}))
	b.UndoRetry(start)
	is.True(b.TryRetry(start, retry.Others{Share: 1}))
}

// In any period of the window's length there must be no more retries than the
// limit allows for the requests that the budget counts in that period.
func TestTryRetrySlides(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New(retry.Config{Ratio: 0.5, MinRetries: 6, Window: window, Random: roundUp}, start)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.TryRetry(now, retry.Others{Share: 1}) {
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

// TestHasSpare checks that half of the budget is kept for requests that were lost.
func TestHasSpare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := retry.New(retry.Config{Ratio: 1, MinRetries: 10, Window: 10 * time.Second, Random: func() float64 { return 0 }}, now)
	others := retry.Others{Share: 1}
	spare := 0
	for b.HasSpare(now, others) {
		is.True(b.TryRetry(now, others))
		spare++
	}
	is.Equal(spare, 5)
	is.True(b.MayRetry(now, others))
}
