package detect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/detect"
)

func TestPacketLossDetector(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		gaps []time.Duration
		want int
	}{
		{"an even pace", []time.Duration{30 * ms, 30 * ms, 30 * ms}, 0},
		{"an engine's pause", []time.Duration{30 * ms, 300 * ms, 30 * ms, 30 * ms}, 0},
		{"a lost packet", []time.Duration{30 * ms, 230 * ms, 0, 0, 20 * ms}, 1},
		{"two lost packets", []time.Duration{230 * ms, 1 * ms, 30 * ms, 230 * ms, 1 * ms}, 2},
		{"events produced together", []time.Duration{0, 0, 30 * ms, 0}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := detect.NewPacketLossDetector()
			now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
			d.Observe(now)
			delayed := 0
			for _, gap := range tt.gaps {
				now = now.Add(gap)
				if d.Observe(now) {
					delayed++
				}
			}
			is.New(t).Equal(delayed, tt.want)
		})
	}
}
