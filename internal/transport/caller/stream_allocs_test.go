//go:build !race

package caller_test

import (
	"testing"

	"github.com/matryer/is"
)

// maxTokenAllocs is the maximum number of allocations per streamed token. This test
// does not run with the race detector, which empties sync.Pools at random.
const maxTokenAllocs = 1

func TestStreamAllocations(t *testing.T) {
	const few, many = 100, 1100
	for _, tt := range streamCases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var n int
			h := newStreamHandler(&n)
			base := testing.AllocsPerRun(20, func() { streamTokens(h, &n, few, tt.path, tt.body) })
			more := testing.AllocsPerRun(20, func() { streamTokens(h, &n, many, tt.path, tt.body) })
			is.True((more-base)/(many-few) <= maxTokenAllocs)
		})
	}
}
