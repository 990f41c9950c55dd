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

// newFullEntry returns an entry that knows all members of the reference
// deployment: 350 entries and 760 targets.
func newFullEntry() (*spread.Spreader, *member.View) {
	place := member.Place{Host: "host-entry-0000", Zone: "zone-0", Region: "region-0"}
	v := member.NewView(member.Config{}, "entry-0000")
	s := spread.New(spread.Config{Entry: "entry-0000", Incarnation: 1, Place: place, Address: "10.1.0.0:7000"}, v, rand.New(rand.NewPCG(1, 1)), start)
	s.SetState(member.Ready)
	var update spread.Update
	update.From.Name = "entry-0001"
	for i := range 350 {
		update.Entries = append(update.Entries, newEntryReport(i))
	}
	for i := range 760 {
		update.Loads = append(update.Loads, newTargetReport(i, 1, start))
	}
	s.Receive(update, start)
	return s, v
}

func newEntryReport(i int) member.EntryReport {
	return member.EntryReport{Entry: id.Entry(fmt.Sprintf("entry-%04d", i)), Incarnation: 1, Sequence: 1, State: member.Ready,
		Place: member.Place{Host: "h", Zone: id.Zone(fmt.Sprint("zone-", i%6)), Region: "region-0"}, Address: fmt.Sprintf("10.1.0.%d:7000", i), At: start}
}

func newTargetReport(i int, sequence id.Sequence, at time.Time) member.TargetReport {
	n := &node{name: fmt.Sprintf("target-%04d", i), address: fmt.Sprintf("10.2.%d.%d:7000", i/250, i%250), incarnation: 1,
		place: member.Place{Host: "h", Zone: id.Zone(fmt.Sprint("zone-", i%6)), Region: "region-0"}, sequence: sequence - 1}
	return n.report(at)
}

// BenchmarkTargetReport measures the report that a target sends to an entry
// every second: the bytes of the request and the reply, and the time of the
// entry including the conversions.
func BenchmarkTargetReport(b *testing.B) {
	s, _ := newFullEntry()
	report := newTargetReport(0, 1, start)
	update := spread.Update{From: spread.Sender{Name: "target-0000", Revision: 1, Incarnation: 1}}
	bytes := 0
	sequence := id.Sequence(1)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		now := start.Add(time.Duration(sequence) * time.Millisecond)
		update.LoadDigests = []spread.LoadDigest{{Key: spread.TargetKey(&report), Sequence: sequence, At: now,
			Running: 20, Queued: 3, ShortRunning: 2, Pace: report.Pace, QueuedPrefill: 3000}}
		request := must(peer.FromUpdate(&update, now))
		reply := s.Receive(*must(peer.ToUpdate(request, now)), now)
		message := must(peer.FromReplyUpdate(&reply, now))
		bytes = proto.Size(request) + proto.Size(message)
	}
	b.ReportMetric(float64(bytes), "B/report")
}

// BenchmarkEntrySwap measures one swap between two entries that both send as
// many digests as one message may hold, including the processing of received
// digests.
func BenchmarkEntrySwap(b *testing.B) {
	here, _ := newFullEntry()
	there, _ := newFullEntry()
	bytes, rounds := 0, 0
	now := start
	b.ReportAllocs()
	for b.Loop() {
		rounds++
		now = now.Add(time.Second)
		here.Receive(newUpdate(rounds, 0, now), now)
		there.Receive(newUpdate(rounds, 40, now), now)
		for _, m := range here.Round(now)[:1] {
			request := must(peer.FromUpdate(&m.Update, now))
			reply := there.Receive(*must(peer.ToUpdate(request, now)), now)
			message := must(peer.FromReplyUpdate(&reply, now))
			here.HandleReply(m.To, *must(peer.ToReplyUpdate(message, now)), now)
			bytes += proto.Size(request) + proto.Size(message)
		}
	}
	b.ReportMetric(float64(bytes)/float64(rounds), "B/swap")
}

// newUpdate returns an update with ten loads and twenty entries that are new
// in each round.
func newUpdate(round, from int, now time.Time) spread.Update {
	update := spread.Update{From: spread.Sender{Name: "entry-0002", Incarnation: 1}}
	for i := range 10 {
		n := (round*10 + i + 10*from) % 760
		report := newTargetReport(n, 1, now)
		update.LoadDigests = append(update.LoadDigests, spread.LoadDigest{Key: spread.TargetKey(&report),
			Sequence: id.Sequence(round + 1), At: now, Running: 20, Queued: 3, ShortRunning: 2, Pace: 31 * time.Millisecond, QueuedPrefill: 3000})
	}
	for i := range 20 {
		n := 1 + (round*20+i+20*from)%349
		entry := newEntryReport(n)
		update.EntryDigests = append(update.EntryDigests, spread.EntryDigest{Key: spread.EntryKey(&entry), Sequence: id.Sequence(round + 1), At: now})
	}
	return update
}

// BenchmarkTick measures one update of the states of all members of the
// reference deployment.
func BenchmarkTick(b *testing.B) {
	_, v := newFullEntry()
	b.ReportAllocs()
	for b.Loop() {
		v.Tick(start.Add(time.Second))
	}
}

// BenchmarkMemberMemory measures the memory per member in an entry's view and
// spreader.
func BenchmarkMemberMemory(b *testing.B) {
	var before, after runtime.MemStats
	var perMember float64
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, v := newFullEntry()
		runtime.GC()
		runtime.ReadMemStats(&after)
		perMember = float64(after.HeapAlloc-before.HeapAlloc) / (350 + 760)
		runtime.KeepAlive(s)
		runtime.KeepAlive(v)
	}
	b.ReportMetric(perMember, "B/member")
}

// BenchmarkShareRequest measures one request for a share of a limit and its
// grant, including the conversions.
func BenchmarkShareRequest(b *testing.B) {
	allocator := limit.NewAllocator()
	grantRequest := limit.GrantRequest{Contract: "verein-staplerdienst", RequestsPerSecond: 0.4, TokensPerSecond: 180.5, Requests: 1, Tokens: 450, Slots: 2, Running: 3, ReturnedTokens: 12.5}
	limits := contract.Limits{RequestsPerSecond: 1000000, TokensPerSecond: 1000000000, Concurrency: 100000}
	bytes := 0
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		request := &peerpb.ShareRequest{Stamp: peer.FromSender(spread.Sender{Name: "entry-0001", Revision: 1, Incarnation: 1}), Asks: []*peerpb.ShareAsk{peer.FromGrantRequest(&grantRequest)}}
		grant := allocator.Grant("entry-0001", peer.ToGrantRequest(request.Asks[0]), limits, limit.EntryCounts{Live: 350, Known: 350}, now)
		reply := &peerpb.ShareReply{Stamp: request.Stamp, Grants: []*peerpb.ShareGrant{peer.FromGrant(&grant)}}
		_ = peer.ToGrant(reply.Grants[0])
		bytes = proto.Size(request) + proto.Size(reply)
	}
	b.ReportMetric(float64(bytes), "B/request")
}
