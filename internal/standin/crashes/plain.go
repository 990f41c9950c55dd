package crashes

import (
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// firstSend is when crashing requests are sent first.
	firstSend = 2 * time.Second
	// minResend and maxResend bound the time after which a client sends a request again.
	minResend = 200 * time.Millisecond
	maxResend = time.Second
)

// addCrashers adds the crashing requests, which begin within one Gap.
func (s *simulation) addCrashers() {
	s.crashers = map[id.Fingerprint]*crasher{}
	if !s.Crasher {
		return
	}
	n := min(max(1, s.Crashers), maxCrashers)
	for i := range n {
		begin := firstSend + s.Gap*time.Duration(i)/time.Duration(n)
		s.crashers[firstCrasher+id.Fingerprint(i)] = &crasher{nextSend: s.now.Add(begin)}
	}
}

// addOthers adds the targets of another service.
func (s *simulation) addOthers() {
	for i := range s.OthersPerZone * s.Zones {
		t := &target{zone: i % s.Zones}
		s.startTarget(t)
		s.others = append(s.others, t)
	}
	s.nextOtherLoss = s.now.Add(s.OtherLossInterval)
}

// loseOthers ends targets of the other service when they are due. Any entry may notice.
func (s *simulation) loseOthers() {
	if s.OtherLossInterval == 0 || s.now.Before(s.nextOtherLoss) {
		return
	}
	s.nextOtherLoss = s.now.Add(s.OtherLossInterval)
	for _, t := range s.others {
		if s.r.Float64() < s.OtherLossShare {
			s.entries[s.r.IntN(len(s.entries))].recordLoss(t)
			s.startTarget(t)
		}
	}
}

// outcome draws how a run ends.
func (s *simulation) outcome() outcome {
	if s.FailShare == 0 && s.BreakShare == 0 {
		return completes
	}
	switch x := s.r.Float64(); {
	case x < s.FailShare:
		return fails
	case x < s.FailShare+s.BreakShare:
		return breaks
	}
	return completes
}

// endInNothing ends a run whose request has not run to completion, while its target lives.
func (s *simulation) endInNothing(t *target, r *run) {
	if r.outcome == breaks {
		r.entry.lose(t, r, true)
		r.entry.try(r.request, true)
		return
	}
	r.entry.heard[t.id] = s.now
	r.entry.quarantine.End(r.request.content(), r.request.id)
	s.clientRetry(r.request)
}

// countEnds counts the runs of crashing requests that end with a target.
func (s *simulation) countEnds(t *target) {
	for _, r := range t.running {
		c := s.crashers[r.request.fingerprint]
		if c == nil {
			continue
		}
		if c.ends++; c.ends == AllowedCrashes {
			c.thirdAt = s.now
		}
	}
}

// clientRetries returns how often a client sends a request again.
func (s *simulation) clientRetries() int {
	if s.Plain {
		return 1
	}
	return 0
}

// clientRetry lets the client of a request that was not answered send it again.
func (s *simulation) clientRetry(q *request) {
	if q.retries == 0 {
		return
	}
	again := &request{fingerprint: q.fingerprint, parts: q.parts, attempts: s.Attempts, retries: q.retries - 1}
	wait := minResend + time.Duration(s.r.Float64()*float64(maxResend-minResend))
	s.resends = append(s.resends, resend{again, s.now.Add(wait)})
}

// sendAgain sends the requests that come again now.
func (s *simulation) sendAgain() {
	due := s.resends
	s.resends = nil
	for _, again := range due {
		if s.now.Before(again.at) {
			s.resends = append(s.resends, again)
			continue
		}
		s.send(again.request)
	}
}
