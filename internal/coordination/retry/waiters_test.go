package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/retry"
)

// TestWaiters has six requests wait for a budget of three retries.
func TestWaiters(t *testing.T) {
	is := is.New(t)
	claims := []retry.Claim{
		{Priority: 2, Latest: start.Add(2 * time.Second)},
		{Priority: 2, Latest: start.Add(time.Second)},
		{Priority: 0, Latest: start.Add(9 * time.Second)},
		{Priority: 2, Copy: true, Latest: start.Add(9 * time.Second)},
		{Priority: 2, Begun: true, Latest: start.Add(9 * time.Second)},
		{Priority: 2, Latest: start.Add(2 * time.Second)},
	}
	var w retry.Waiters
	for i := range claims {
		w.Join(&claims[i])
	}
	for i, before := range []int{4, 3, 2, 1, 0, 5} {
		is.Equal(w.Before(&claims[i]), before)
	}
	b := retry.New(retry.Config{MinRetries: 3, Window: 10 * time.Second, Random: roundUp}, start)
	others := retry.Others{Share: 1, Age: 200 * time.Millisecond}
	for _, i := range []int{4, 3, 2} {
		is.True(w.Before(&claims[i]) < b.Available(start, others))
		is.True(b.TryRetry(start, others))
		w.Leave(&claims[i])
	}
	is.Equal(b.Available(start, others), 0)
	is.Equal(w.Count(), 3)
	is.Equal(b.Available(start.Add(11*time.Second), others), 3)
}
