package direct_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/id"
)

func news() *direct.News {
	return &direct.News{
		From: "e1", Incarnation: 5, Sequence: 7, Address: "10.0.0.1:7200", Version: 3, ReachesStore: true,
		Loads:      map[id.Target]balance.Load{"t1": {Running: 2, Prefill: 8000, Memory: 18000}},
		Runs:       []handover.Run{{Key: "k", Holder: "t2", Address: "10.0.0.9:80", Handle: "a1"}},
		Losses:     []direct.Loss{{Target: "t3", AgoMS: 40}, {Target: "t4", Replaced: true}},
		Successors: []direct.Successor{{Target: "t9", Of: "t3"}},
		Deaths:     []quarantine.Record{{Fingerprint: 1<<63 + 5, Marks: []quarantine.Mark{{Target: "t3", Incarnation: 9, Zone: "a", AgeMs: 40}}}},
	}
}

func TestNews(t *testing.T) {
	is := is.New(t)
	data, err := news().Encode()
	is.NoErr(err)
	got, err := direct.DecodeNews(data)
	is.NoErr(err)
	is.Equal(got, news())
}

// With very many streams, news goes out without their runs rather than not at
// all.
func TestNewsTooLong(t *testing.T) {
	is := is.New(t)
	n := news()
	for i := range 2000 {
		n.Runs = append(n.Runs, handover.Run{Key: handover.Key(fmt.Sprint("key", i)), Holder: "t", Address: "10.0.0.9:80", Handle: "9c41d07be2a35f68"})
	}
	data, err := n.Encode()
	is.NoErr(err)
	is.True(len(data) <= direct.MaxNewsBytes)
	got, err := direct.DecodeNews(data)
	is.NoErr(err)
	is.Equal(len(got.Runs), 0)
	is.Equal(got.Loads, n.Loads)
}

func TestDecodeNewsMalformed(t *testing.T) {
	for name, data := range map[string]string{
		"bytes":      "\xff",
		"no address": `{"from":"e1"}`,
		"no sender":  `{"address":"10.0.0.1:7200"}`,
		"a type":     `{"from":7,"address":"10.0.0.1:7200"}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := direct.DecodeNews([]byte(data))
			is.True(err != nil)
		})
	}
}
