package direct_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

func newUpdate() *direct.PeerUpdate {
	return &direct.PeerUpdate{
		From: "e1", Incarnation: 5, Sequence: 7, Address: "10.0.0.1:7200", Version: 3, StoreReachable: true,
		Loads:      map[id.Target]balance.Load{"t1": {Running: 2, PrefillTokens: 8000, MemoryTokens: 18000}},
		Runs:       []handover.Run{{Key: "k", Began: "a0", Holder: "t2", Address: "10.0.0.9:80", Handle: "a1"}},
		Losses:     []direct.Loss{{Target: "t3", AgeMS: 40}, {Target: "t4", Replaced: true}},
		Successors: []direct.Successor{{Target: "t9", Predecessor: "t3"}},
		Failures:   []quarantine.Record{{Fingerprint: 1<<63 + 5, Observations: []quarantine.Observation{{Target: "t3", Incarnation: 9, Zone: "a", AgeMs: 40}}}},
	}
}

func TestPeerUpdate(t *testing.T) {
	is := is.New(t)
	data, omitted, err := newUpdate().Encode()
	is.NoErr(err)
	is.Equal(omitted, direct.Omitted{})
	got, err := direct.DecodePeerUpdate(data)
	is.NoErr(err)
	is.Equal(got, newUpdate())
}

// With very many streams, an update must be sent without their runs, but with the
// failures of targets, rather than not at all.
func TestPeerUpdateTooLong(t *testing.T) {
	is := is.New(t)
	u := newUpdate()
	random := rand.New(rand.NewPCG(1, 1))
	for range 8000 {
		// Random keys compress badly, so that the message becomes too long.
		key := handover.Key(fmt.Sprintf("%016x", random.Uint64()))
		u.Runs = append(u.Runs, handover.Run{Key: key, Holder: "t", Address: "10.0.0.9:80", Handle: fmt.Sprintf("%016x", random.Uint64())})
	}
	data, omitted, err := u.Encode()
	is.NoErr(err)
	is.Equal(omitted, direct.Omitted{Runs: len(u.Runs)})
	is.True(len(data) <= direct.MaxPeerUpdateBytes)
	got, err := direct.DecodePeerUpdate(data)
	is.NoErr(err)
	is.Equal(len(got.Runs), 0)
	is.Equal(got.Loads, u.Loads)
	is.Equal(got.Failures, u.Failures)
}

// With very many failures, the first ones must be sent.
func TestPeerUpdateTooManyFailures(t *testing.T) {
	is := is.New(t)
	u := newUpdate()
	random := rand.New(rand.NewPCG(1, 1))
	for range 8000 {
		u.Failures = append(u.Failures, quarantine.Record{Fingerprint: id.Fingerprint(random.Uint64()), Observations: []quarantine.Observation{{Target: "t", AgeMs: random.Int64N(1000)}}})
	}
	data, omitted, err := u.Encode()
	is.NoErr(err)
	got, err := direct.DecodePeerUpdate(data)
	is.NoErr(err)
	is.True(len(got.Failures) > 0)
	is.Equal(got.Failures, u.Failures[:len(got.Failures)])
	is.Equal(omitted, direct.Omitted{Runs: 1, Failures: len(u.Failures) - len(got.Failures)})
}

// compressed returns the text compressed like a message.
func compressed(t *testing.T, text string) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	is.New(t).NoErr(err)
	_, err = w.Write([]byte(text))
	is.New(t).NoErr(err)
	is.New(t).NoErr(w.Close())
	return b.Bytes()
}

// A decompression bomb must not be read to its end.
func TestDecodePeerUpdateBomb(t *testing.T) {
	is := is.New(t)
	bomb := compressed(t, `{"from":"e1","address":"10.0.0.1:7200","known":["`+strings.Repeat("x", 8<<20)+`"]}`)
	is.True(len(bomb) < direct.MaxPeerUpdateBytes)
	_, err := direct.DecodePeerUpdate(bomb)
	is.True(err != nil)
}

func BenchmarkPeerUpdate(b *testing.B) {
	u := newUpdate()
	for i := range 80 {
		u.Loads[id.Target(fmt.Sprintf("i-%08x", i))] = balance.Load{Running: 2, PrefillTokens: 8000, MemoryTokens: 18000}
	}
	b.ReportAllocs()
	for b.Loop() {
		data, _, err := u.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
		if _, err := direct.DecodePeerUpdate(data); err != nil {
			b.Fatal(err)
		}
	}
}

func TestDecodePeerUpdateMalformed(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":                    "\xff",
		"no address":                  `{"from":"e1"}`,
		"no sender":                   `{"address":"10.0.0.1:7200"}`,
		"wrong type":                  `{"from":7,"address":"10.0.0.1:7200"}`,
		"late stop":                   `{"from":"e","address":"10.0.0.1:7200","stopsInMs":9223372036854775807}`,
		"old loss":                    `{"from":"e","address":"10.0.0.1:7200","losses":[{"target":"t","agoMs":-9223372036854775808}]}`,
		"old run":                     `{"from":"e","address":"10.0.0.1:7200","runs":[{"key":"k","agoMs":9223372036854}]}`,
		"large load":                  `{"from":"e","address":"10.0.0.1:7200","loads":{"t":{"prefill":9223372036854775807}}}`,
		"a negative change of a load": `{"from":"e","address":"10.0.0.1:7200","loadChanges":{"t":{"running":-1}}}`,
		"many retries":                `{"from":"e","address":"10.0.0.1:7200","retries":{"s":{"first":9223372036854775807}}}`,
		"high limit":                  `{"from":"e","address":"10.0.0.1:7200","limits":[{"target":"t","perSecond":1e300}]}`,
		"a change without a key":      `{"from":"e","address":"10.0.0.1:7200","targetChanges":[{"revision":5}]}`,
		"deep nesting":                `{"from":"e","address":"10.0.0.1:7200","x":` + strings.Repeat("[", 300_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := direct.DecodePeerUpdate([]byte(data))
			is.True(err != nil)
			_, err = direct.DecodePeerUpdate(compressed(t, data))
			is.True(err != nil)
		})
	}
}

// A loss of one incarnation must not be taken for that of the next one.
func TestLossOf(t *testing.T) {
	is := is.New(t)
	l := direct.Loss{Target: "t1", Incarnation: 1}
	is.True(l.Of(&catalog.Target{ID: "t1", Incarnation: 1}))
	is.True(!l.Of(&catalog.Target{ID: "t1", Incarnation: 2}))
	is.True(!l.Of(&catalog.Target{ID: "t2", Incarnation: 1}))
}
