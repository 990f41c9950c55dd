package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// streamKeepers is the number of other entries that keep the version of a stream.
	streamKeepers = 3
	// streamAsked is the number of entries that are asked for it. It is larger because
	// entries may know different ones, and because some may have ended.
	streamAsked = 6
	// maxStreamsPerMessage keeps messages about streams well below the size limit.
	maxStreamsPerMessage = 200
)

// tellStreams reports to the entries that keep them at which versions this entry's streams
// began.
func (x *peerExchange) tellStreams(now time.Time) {
	untold := x.e.streams.Untold(now, entrySet(x.roster.Alive(now)), func(attempt id.Request) []string {
		return x.roster.Closest(now, string(attempt), streamKeepers)
	})
	for address, streams := range untold {
		x.sendStreams(address, streams)
	}
}

// entrySet identifies a set of entries by their sorted addresses.
func entrySet(addresses []string) origin.EntrySet {
	// The highest bit keeps the empty set apart from none.
	return origin.EntrySet(xxhash.Sum64String(strings.Join(addresses, " ")) | 1<<63)
}

// sendStreams reports streams to another entry.
func (x *peerExchange) sendStreams(address string, streams []origin.Stream) {
	for part := range slices.Chunk(streams, maxStreamsPerMessage) {
		x.sendPartial([]string{address}, func(u *direct.PeerUpdate) { u.Streams = part })
	}
}

// sendPartial sends a message that says nothing about what is left out.
func (x *peerExchange) sendPartial(addresses []string, fill func(u *direct.PeerUpdate)) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	update := x.header(x.e.deps.Clock.Now())
	update.Announcement = true
	fill(update)
	x.encodeAndSend(addresses, update)
}

// greet tells an entry that has just started which versions have served, and has it told
// again about the streams that it keeps.
func (x *peerExchange) greet(now time.Time, address string) {
	x.e.streams.Forgotten(address)
	report := x.versionReport(now)
	x.sendPartial([]string{address}, func(u *direct.PeerUpdate) { u.Versions = report })
}

func (x *peerExchange) versionReport(now time.Time) *direct.VersionReport {
	report := x.e.versions.Report(now)
	return &report
}

// mergeVersions records which versions have served according to another entry. If that
// makes a service mixed, this entry's streams are reported at once. An entry that does not
// know all versions learns them from those that do.
func (x *peerExchange) mergeVersions(now time.Time, report *direct.VersionReport) {
	if report == nil {
		return
	}
	if x.e.versions.Merge(now, *report, 0) {
		x.tellVersions()
	}
	if !x.e.versions.Covers(report) && x.e.versions.Covered(now) {
		x.versionsAsked.Store(true)
	}
}

// takeVersionReport returns the versions that have served, if other entries must hear of them
// now, or nil. The caller holds sendMu.
func (x *peerExchange) takeVersionReport(now time.Time) *direct.VersionReport {
	urgent := x.versionsDue.Swap(false)
	wanted := x.versionsAsked.Load() || x.e.versions.Uncertain(now)
	if !urgent && (!wanted || now.Sub(x.versionsSentAt) < versionReportInterval) {
		return nil
	}
	x.versionsSentAt = now
	x.versionsAsked.Store(false)
	return x.versionReport(now)
}

// tellVersions reports to the other entries at once which versions have served.
func (x *peerExchange) tellVersions() {
	x.versionsDue.Store(true)
	x.sendNow()
}

// applyStreams applies what a message says about streams, and answers what it asks. It
// holds whatever the order of messages.
func (x *peerExchange) applyStreams(now time.Time, u *direct.PeerUpdate) {
	x.e.streams.Merge(now, u.Streams)
	if u.Announcement {
		x.mergeVersions(now, u.Versions)
	}
	for i := range u.Streams {
		x.questions.answered(u.Address, u.Streams[i].Attempt)
	}
	for _, attempt := range u.Unheard {
		x.questions.answered(u.Address, attempt)
	}
	if len(u.Asks) > 0 {
		x.answerAsks(now, u)
	}
}

// answerAsks answers where streams began, or that this entry does not know it.
func (x *peerExchange) answerAsks(now time.Time, u *direct.PeerUpdate) {
	var known []origin.Stream
	var unheard []id.Request
	for _, attempt := range u.Asks {
		if s, ok := x.e.streams.Find(now, attempt); ok {
			known = append(known, s)
		} else {
			unheard = append(unheard, attempt)
		}
	}
	x.sendPartial([]string{u.Address}, func(answer *direct.PeerUpdate) { answer.Streams, answer.Unheard = known, unheard })
}

// tellStream reports to the entries that keep it where a stream of this entry began, at once.
func (x *peerExchange) tellStream(now time.Time, keys []id.Request) {
	for _, key := range keys {
		s, addresses := x.e.streams.Tell(now, key, x.roster.Closest(now, string(key), streamKeepers))
		if len(addresses) > 0 {
			x.sendPartial(addresses, func(u *direct.PeerUpdate) { u.Streams = []origin.Stream{s} })
		}
	}
}

// ask requests from the entries that may keep it where a stream began.
func (x *peerExchange) ask(now time.Time, attempt id.Request) *originQuestion {
	return x.questions.ask(attempt, x.roster.Closest(now, string(attempt), streamAsked))
}

// sendQuestion sends a question to the entries that have not answered it.
func (x *peerExchange) sendQuestion(q *originQuestion) {
	if addresses := x.questions.unanswered(q); len(addresses) > 0 {
		x.sendPartial(addresses, func(u *direct.PeerUpdate) { u.Asks = []id.Request{q.attempt} })
	}
}
