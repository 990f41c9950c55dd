//go:build !race

package caller_test

import (
	"testing"

	"github.com/matryer/is"
)

// maxTokenAllocs bounds the allocations for one streamed token. The race
// detector empties pools at random, so the test is not part of its run.
const maxTokenAllocs = 1

func TestStreamAllocations(t *testing.T) {
	const few, many = 100, 1100
	for _, tt := range streamCases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var n int
			h := endless(&n)
			base := testing.AllocsPerRun(20, func() { streamTokens(h, &n, few, tt.path, tt.body) })
			more := testing.AllocsPerRun(20, func() { streamTokens(h, &n, many, tt.path, tt.body) })
			is.True((more-base)/(many-few) <= maxTokenAllocs)
		})
	}
}
