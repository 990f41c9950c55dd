package savekey_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/savekey"
	"foxtailward.example/foxtailward/internal/state/id"
)

var start = time.Unix(1000, 0)

func TestParse(t *testing.T) {
	tests := []struct {
		text string
		want savekey.Key
	}{
		{"edge-1/1700000000000-5-2", savekey.Key{Entry: "edge-1", Start: 1700000000000, Incarnation: 5, Number: 2}},
		{"a/b/1-2-0", savekey.Key{Entry: "a/b", Start: 1, Incarnation: 2}},
		{"edge-1", savekey.Key{Entry: "edge-1"}}, // of an earlier build
		{"a/b", savekey.Key{Entry: "a/b"}},
		{"a/1-2-3x", savekey.Key{Entry: "a/1-2-3x"}},
		{"a/1-2", savekey.Key{Entry: "a/1-2"}},
		{"a/99999999999999999999-2-3", savekey.Key{Entry: "a/99999999999999999999-2-3"}},
		{"", savekey.Key{}},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			is.Equal(savekey.Parse(tt.text), tt.want)
			is.Equal(tt.want.String(), tt.text)
		})
	}
}

// TestStateOfEarlierBuild checks that what a build without such keys saved is read, and removed by the first write.
func TestStateOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	keys := savekey.New("e", 7)
	listed := []savekey.Key{savekey.Parse("e"), savekey.Parse("other")}
	keys.Observe("p/", listed)
	is.Equal(savekey.Newest(listed)["e"], savekey.Key{Entry: "e"})
	w := keys.Begin(start, "p/", "q/")
	is.Equal(w.Key("p/"), "p/e/7-7-0")
	is.Equal(w.Removes(), []string{"p/e"})
	keys.Done(start, w)
	is.Equal(len(keys.Begin(start, "p/", "q/").Removes()), 0)
}

// TestLostWrite checks that the key of a lost write is not used again, and removed once more when no late write is to be expected.
func TestLostWrite(t *testing.T) {
	is := is.New(t)
	keys := savekey.New("e", 7)
	lost := keys.Begin(start, "p/")
	keys.Lost(start, lost)
	next := keys.Begin(start, "p/", "q/")
	is.True(next.Key("p/") != lost.Key("p/"))
	is.Equal(next.Removes(), []string{lost.Key("p/")})
	keys.Done(start, next)
	is.Equal(len(keys.Begin(start.Add(10*time.Second), "p/").Removes()), 0)
	last := keys.Begin(start.Add(30*time.Second), "p/")
	is.Equal(last.Removes(), []string{lost.Key("p/")})
	keys.Done(start.Add(30*time.Second), last)
	is.Equal(len(keys.Begin(start.Add(time.Hour), "p/").Removes()), 0)
}

// service is a key-value service that may do a write after its answer was lost.
type service struct {
	items map[string]int
	late  []func()
}

func (s *service) listed() []savekey.Key {
	var keys []savekey.Key
	for text := range s.items {
		keys = append(keys, savekey.Parse(text))
	}
	return keys
}

// read returns what a reader takes for the state of the entry; 0 if there is none.
func (s *service) read() int {
	listed := s.listed()
	if len(listed) == 0 {
		return 0
	}
	return s.items[savekey.Newest(listed)["e"].String()]
}

// TestProcessesOfOneStart checks that two processes have different keys, also if the time of day says that they have started together.
func TestProcessesOfOneStart(t *testing.T) {
	is := is.New(t)
	first, second := savekey.New("e", 7), savekey.New("e", 7)
	w := first.Begin(start, "p/")
	first.Done(start, w)
	listed := []savekey.Key{savekey.Parse("e/7-7-0")}
	first.Observe("p/", listed)
	second.Observe("p/", listed)
	is.Equal(first.Begin(start, "p/").Key("p/"), "p/e/7-7-0")
	is.Equal(second.Begin(start, "p/").Key("p/"), "p/e/8-7-0")
}

// TestLateWritesReplaceNothing guards against a write that is done late and counts for what was saved after it, whatever the number of
// lost writes and restarts, with a service that returns from older copies or a time of day that jumps.
func TestLateWritesReplaceNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{items: map[string]int{}}
		now := start
		keys := savekey.New("e", id.Incarnation(now.UnixMilli()))
		steps := []string{"save", "save", "lost", "lost", "late", "restart", "later"}
		if rapid.Bool().Draw(t, "returns") {
			steps = append(steps, "copy", "return")
		} else {
			steps = append(steps, "jump")
		}
		state, acknowledged, saved := 0, 0, false
		copied := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "save", "lost":
				state++
				written, w := state, keys.Begin(now, "")
				do := func() {
					s.items[w.Key("")] = written
					for _, key := range w.Removes() {
						delete(s.items, key)
					}
				}
				if rapid.Bool().Draw(t, "answered") {
					do()
					keys.Done(now, w)
					acknowledged, saved = written, true
					break
				}
				keys.Lost(now, w)
				s.late = append(s.late, do)
			case "late":
				if len(s.late) > 0 {
					i := rapid.IntRange(0, len(s.late)-1).Draw(t, "which")
					s.late[i]()
					s.late = slices.Delete(s.late, i, i+1)
				}
			case "restart":
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "down")) * time.Millisecond)
				keys = savekey.New("e", id.Incarnation(now.UnixMilli()))
				keys.Observe("", s.listed())
				saved = false
			case "copy":
				copied = maps.Clone(s.items)
			case "return":
				// What was acknowledged since is gone. The entry saves its state again.
				s.items, acknowledged = maps.Clone(copied), 0
			case "jump":
				if saved { // see Keys
					now = now.Add(-5 * time.Second)
				}
			case "later":
				now = now.Add(20 * time.Second)
			}
			if read := s.read(); read < acknowledged {
				t.Fatalf("read %d, want %d or later", read, acknowledged)
			}
		}
	})
}
