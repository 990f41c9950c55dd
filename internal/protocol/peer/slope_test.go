package peer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"foxtailward.example/foxtailward/internal/coordination/limit"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
)

// slopes holds an entry that knows the letter's members.
func slopes() (*spread.Spreader, *member.View) {
	place := member.Place{Host: "host-entry-0000", Zone: "zone-0", Region: "region-0"}
	v := member.NewView(member.Config{}, "entry-0000")
	s := spread.New(spread.Config{Entry: "entry-0000", Incarnation: 1, Place: place, Address: "10.1.0.0:7000"}, v, rand.New(rand.NewPCG(1, 1)), start)
	s.SetState(member.Ready)
	var news spread.Update
	news.From.Name = "entry-0001"
	for i := range 350 {
		news.Entries = append(news.Entries, entryOf(i))
	}
	for i := range 760 {
		news.Loads = append(news.Loads, loadOf(i, 1, start))
	}
	s.Receive(news, start)
	return s, v
}

func entryOf(i int) member.EntryReport {
	return member.EntryReport{Entry: id.Entry(fmt.Sprintf("entry-%04d", i)), Incarnation: 1, Sequence: 1, State: member.Ready,
		Place: member.Place{Host: "h", Zone: id.Zone(fmt.Sprint("zone-", i%6)), Region: "region-0"}, Address: fmt.Sprintf("10.1.0.%d:7000", i), At: start}
}

func loadOf(i int, sequence id.Sequence, at time.Time) member.TargetReport {
	n := &node{name: fmt.Sprintf("target-%04d", i), address: fmt.Sprintf("10.2.%d.%d:7000", i/250, i%250), incarnation: 1,
		place: member.Place{Host: "h", Zone: id.Zone(fmt.Sprint("zone-", i%6)), Region: "region-0"}, sequence: sequence - 1}
	return n.report(at)
}

// BenchmarkTargetReport is a target's report of a second at an entry, with the
// conversions: bytes there and back, time at the entry.
func BenchmarkTargetReport(b *testing.B) {
	s, _ := slopes()
	report := loadOf(0, 1, start)
	news := spread.Update{From: spread.Sender{Name: "target-0000", Revision: 1, Incarnation: 1}}
	bytes := 0
	sequence := id.Sequence(1)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		now := start.Add(time.Duration(sequence) * time.Millisecond)
		news.LoadDigests = []spread.LoadDigest{{Key: spread.TargetKey(&report), Sequence: sequence, At: now,
			Running: 20, Queued: 3, ShortRunning: 2, Pace: report.Pace, QueuedPrefill: 3000}}
		request := check(peer.FromUpdate(&news, now))
		reply := s.Receive(*check(peer.ToUpdate(request, now)), now)
		message := check(peer.FromReplyUpdate(&reply, now))
		bytes = proto.Size(request) + proto.Size(message)
	}
	b.ReportMetric(float64(bytes), "B/report")
}

// BenchmarkEntrySwap is one swap of two entries, both with news as full as the
// bounds allow, and the taking in of that news.
func BenchmarkEntrySwap(b *testing.B) {
	here, _ := slopes()
	there, _ := slopes()
	bytes, rounds := 0, 0
	now := start
	b.ReportAllocs()
	for b.Loop() {
		rounds++
		now = now.Add(time.Second)
		here.Receive(newsOf(rounds, 0, now), now)
		there.Receive(newsOf(rounds, 40, now), now)
		for _, m := range here.Round(now)[:1] {
			request := check(peer.FromUpdate(&m.Update, now))
			reply := there.Receive(*check(peer.ToUpdate(request, now)), now)
			message := check(peer.FromReplyUpdate(&reply, now))
			here.HandleReply(m.To, *check(peer.ToReplyUpdate(message, now)), now)
			bytes += proto.Size(request) + proto.Size(message)
		}
	}
	b.ReportMetric(float64(bytes)/float64(rounds), "B/swap")
}

// newsOf is ten loads and twenty entries that are new in a round.
func newsOf(round, from int, now time.Time) spread.Update {
	news := spread.Update{From: spread.Sender{Name: "entry-0002", Incarnation: 1}}
	for i := range 10 {
		n := (round*10 + i + 10*from) % 760
		report := loadOf(n, 1, now)
		news.LoadDigests = append(news.LoadDigests, spread.LoadDigest{Key: spread.TargetKey(&report),
			Sequence: id.Sequence(round + 1), At: now, Running: 20, Queued: 3, ShortRunning: 2, Pace: 31 * time.Millisecond, QueuedPrefill: 3000})
	}
	for i := range 20 {
		n := 1 + (round*20+i+20*from)%349
		entry := entryOf(n)
		news.EntryDigests = append(news.EntryDigests, spread.EntryDigest{Key: spread.EntryKey(&entry), Sequence: id.Sequence(round + 1), At: now})
	}
	return news
}

// BenchmarkTick is one judgement of all members of the letter's size.
func BenchmarkTick(b *testing.B) {
	_, v := slopes()
	b.ReportAllocs()
	for b.Loop() {
		v.Tick(start.Add(time.Second))
	}
}

// BenchmarkMemberMemory is the memory of one member in an entry's view and in
// what it spreads.
func BenchmarkMemberMemory(b *testing.B) {
	var before, after runtime.MemStats
	var perMember float64
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, v := slopes()
		runtime.GC()
		runtime.ReadMemStats(&after)
		perMember = float64(after.HeapAlloc-before.HeapAlloc) / (350 + 760)
		runtime.KeepAlive(s)
		runtime.KeepAlive(v)
	}
	b.ReportMetric(perMember, "B/member")
}

// BenchmarkAsk is one ask for a limit and its grant, with the conversions.
func BenchmarkAsk(b *testing.B) {
	shares := limit.NewAllocator()
	ask := limit.GrantRequest{Contract: "verein-staplerdienst", RequestsPerSecond: 0.4, TokensPerSecond: 180.5, Requests: 1, Tokens: 450, Slots: 2, Running: 3, ReturnedTokens: 12.5}
	limits := contract.Limits{RequestsPerSecond: 1000000, TokensPerSecond: 1000000000, Concurrency: 100000}
	bytes := 0
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		request := &peerpb.ShareRequest{Stamp: peer.FromSender(spread.Sender{Name: "entry-0001", Revision: 1, Incarnation: 1}), Asks: []*peerpb.ShareAsk{peer.FromGrantRequest(&ask)}}
		grant := shares.Grant("entry-0001", peer.ToGrantRequest(request.Asks[0]), limits, limit.EntryCounts{Live: 350, Known: 350}, now)
		reply := &peerpb.ShareReply{Stamp: request.Stamp, Grants: []*peerpb.ShareGrant{peer.FromGrant(&grant)}}
		_ = peer.ToGrant(reply.Grants[0])
		bytes = proto.Size(request) + proto.Size(reply)
	}
	b.ReportMetric(float64(bytes), "B/ask")
}
