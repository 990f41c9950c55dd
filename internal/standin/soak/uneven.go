package soak

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

// Hosts that targets share with others.
const (
	// spellTime is how long a host keeps its pace. In spellShare of these times work takes
	// spellSlowness times as long.
	spellTime     = 600 * time.Millisecond
	spellShare    = 0.15
	spellSlowness = 2.5
	// slowZone is the zone whose hosts take slowZoneSlowness times as long.
	slowZone         = 2
	slowZoneSlowness = 1.3
	// oddPaceShare is the share of answers whose word about the pace is of no use.
	oddPaceShare = 0.1
)

// hostSlowness returns how long work takes on a target's host at a time, relative to the usual
// time.
func hostSlowness(name id.Target, zone int, at time.Time) float64 {
	slowness := 1.0
	if zone == slowZone {
		slowness = slowZoneSlowness
	}
	h := fnv.New64a()
	// Writing to a hash returns no error.
	_, _ = h.Write([]byte(string(name) + strconv.FormatInt(at.UnixNano()/int64(spellTime), 10)))
	if float64(h.Sum64()%1000) < spellShare*1000 {
		slowness *= spellSlowness
	}
	return slowness
}

// work returns how long work takes at the replica now that usually takes so long.
func (p *replica) work(usual time.Duration) time.Duration {
	if !p.w.opts.Uneven {
		return usual
	}
	return time.Duration(float64(usual) * hostSlowness(p.currentTarget().ID, p.zone, time.Now()))
}

// sayPace writes the replica's load and its host's pace into the head of an answer. Some
// words are of no use: none at all, one from a spell ago, or one that is no pace.
func (p *replica) sayPace(h http.Header, self id.Target) {
	if !p.w.opts.Uneven {
		return
	}
	load := direct.TargetLoad{Slots: slots, Slowness: hostSlowness(self, p.zone, time.Now())}
	if rand.Float64() < oddPaceShare {
		odd := []float64{0, hostSlowness(self, p.zone, time.Now().Add(-spellTime)), math.NaN(), -1, math.Inf(1), 1e-9}
		load.Slowness = odd[rand.IntN(len(odd))]
	}
	platform.EncodeLoad(h, load)
}
