package detect_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/detect"
)

// pace is the mean time between two tokens that the target figures are given
// for.
const pace = 31 * time.Millisecond

// stream generates the gaps of a healthy generation. Each gap ends with a
// number of tokens that arrive together.
type stream struct {
	name string
	// mean is the mean gap between arrivals as the target reports it.
	mean time.Duration
	gap  func(r *rand.Rand, i int) (time.Duration, int)
}

// lognormal draws from a lognormal distribution with mean m; sigma is the
// standard deviation of the logarithm.
func lognormal(r *rand.Rand, m time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(m) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

func streams() []stream {
	one := func(f func(r *rand.Rand, i int) time.Duration) func(*rand.Rand, int) (time.Duration, int) {
		return func(r *rand.Rand, i int) (time.Duration, int) { return f(r, i), 1 }
	}
	return []stream{
		{"regular", pace, one(func(r *rand.Rand, _ int) time.Duration { return lognormal(r, pace, 0.1) })},
		{"exponential", pace, one(func(r *rand.Rand, _ int) time.Duration {
			return time.Duration(r.ExpFloat64() * float64(pace))
		})},
		{"lognormal1.0", pace, one(func(r *rand.Rand, _ int) time.Duration { return lognormal(r, pace, 1) })},
		{"bursts8", 8 * pace, func(r *rand.Rand, _ int) (time.Duration, int) { return lognormal(r, 8*pace, 0.3), 8 }},
		{"pauses1-2s", pace, one(func(r *rand.Rand, _ int) time.Duration {
			gap := lognormal(r, pace, 0.3)
			if r.IntN(500) == 0 {
				gap += time.Second + time.Duration(r.Int64N(int64(time.Second)))
			}
			return gap
		})},
		{"growingBatch", pace, one(func(r *rand.Rand, i int) time.Duration {
			return lognormal(r, pace+pace*time.Duration(min(i, 600))/100, 0.5)
		})},
		{"slow400ms", 400 * time.Millisecond, one(func(r *rand.Rand, _ int) time.Duration {
			return time.Duration(r.ExpFloat64() * float64(400*time.Millisecond))
		})},
	}
}

// watcher is the interface through which the rules for suspicion are compared.
type watcher struct {
	tokens  func(now time.Time, n int)
	verdict func(now time.Time) (detect.Verdict, time.Time)
}

// rule makes a watcher for one attempt.
type rule struct {
	name  string
	watch func(start time.Time, mean time.Duration) watcher
}

func adaptive() rule {
	return rule{"adaptive", func(start time.Time, mean time.Duration) watcher {
		d := detect.New(detect.DefaultConfig(), start, detect.Expectation{Pace: mean})
		return watcher{d.RecordTokens, d.Verdict}
	}}
}

func fixed(timeout time.Duration) rule {
	return rule{"fixed" + timeout.String(), func(start time.Time, _ time.Duration) watcher {
		last := start
		return watcher{
			func(now time.Time, _ int) { last = now },
			func(now time.Time) (detect.Verdict, time.Time) {
				if due := last.Add(timeout); now.Before(due) {
					return detect.Healthy, due
				}
				return detect.Stalled, time.Time{}
			},
		}
	}}
}

// result is what one rule did over many generations of one stream.
type result struct {
	// suspected is the number of healthy generations that were suspected.
	suspected int
	// found are the times from the last token of a stalled generation to its
	// suspicion, sorted.
	found []time.Duration
}

func (r *result) at(share float64) time.Duration {
	return r.found[int(share*float64(len(r.found)-1))]
}

// measure simulates generations of up to maxEvents arrivals on virtual time.
// All are healthy until their end; one in ten then stalls for good.
func measure(s stream, rl rule, generations, maxEvents int, seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	var out result
	for g := range generations {
		start := time.Unix(0, 0)
		w := rl.watch(start, s.mean)
		events := 1 + r.IntN(maxEvents)
		last, check, ok := play(w, s, r, start, events)
		switch {
		case !ok:
			out.suspected++
		case g%10 == 0:
			out.found = append(out.found, stall(w, check).Sub(last))
		}
	}
	slices.Sort(out.found)
	return out
}

// play passes the tokens of one generation to w, and asks for a verdict at each
// time that w returned, as a timer would.
func play(w watcher, s stream, r *rand.Rand, now time.Time, events int) (last, check time.Time, ok bool) {
	w.tokens(now, 1)
	_, check = w.verdict(now)
	for i := range events {
		gap, n := s.gap(r, i)
		now = now.Add(gap)
		for !now.Before(check) {
			v, next := w.verdict(check)
			if v != detect.Healthy {
				return now, check, false
			}
			check = next
		}
		w.tokens(now, n)
	}
	return now, check, true
}

// stall returns when w suspects a stream that sends no more tokens.
func stall(w watcher, check time.Time) time.Time {
	for {
		v, next := w.verdict(check)
		if v != detect.Healthy {
			return check
		}
		check = next
	}
}
