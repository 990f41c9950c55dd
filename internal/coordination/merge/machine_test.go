package merge_test

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/merge"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// source is an engine's text: each token follows from all tokens before it, so
// that a lost, repeated or foreign token changes all that follow.
type source struct{ seed generation.Checksum }

func (s source) next(sum generation.Checksum) generation.Token {
	mixed := uint64(sum) ^ uint64(s.seed)*0x9e3779b97f4a7c15
	return generation.Token{ID: uint32(mixed), Text: string(rune('a' + mixed>>32%26))}
}

func (s source) text(n int) []generation.Token {
	var sum generation.Checksum
	out := make([]generation.Token, 0, n)
	for range n {
		out = append(out, s.next(sum))
		sum = sum.Add(out[len(out)-1])
	}
	return out
}

// frame is one message on its way from an attempt's engine.
type frame struct {
	attempt id.Attempt
	first   id.TokenIndex
	tokens  []generation.Token
	finish  *generation.Finish
}

// engine runs one attempt. A paused one goes on later; a dead one never does.
type engine struct {
	attempt id.Attempt
	source  source
	held    []generation.Token
	sum     generation.Checksum
	paused  bool
	dead    bool
	ended   bool
}

// naive is the answer of an owner without recovery: each loss throws the
// answer away and starts again.
type naive struct{ held []generation.Token }

func (n *naive) lose() { n.held = nil }

func (n *naive) run(s source, length int) { n.held = s.text(length) }

type machine struct {
	j       *merge.Merger
	text    source
	length  int
	engines []*engine
	wire    []frame
	next    id.Attempt
	naive   naive
	// writers are the attempts that may write, by the rules alone.
	writers []id.Attempt
	// saw is what the caller was given; it only grows while it has seen it.
	saw []generation.Token
}

func newMachine(t *rapid.T) *machine {
	return &machine{
		j:      merge.New(),
		text:   source{seed: generation.Checksum(rapid.Uint64().Draw(t, "seed"))},
		length: rapid.IntRange(0, 30).Draw(t, "length"),
		next:   1,
	}
}

func (m *machine) start(race bool) {
	ok := m.j.Begin
	if race {
		ok = m.j.BeginRace
	}
	if !ok(m.next) {
		return
	}
	if !race {
		m.writers = nil
	}
	m.writers = append(m.writers, m.next)
	held := slices.Clone(m.j.Log())
	m.engines = append(m.engines, &engine{
		attempt: m.next, source: m.text, held: held, sum: generation.ChecksumOf(held),
	})
	m.next++
}

// step lets an engine send up to n tokens, and its end after the last.
func (m *machine) step(e *engine, n int) {
	if e.dead || e.paused || e.ended {
		return
	}
	first := id.TokenIndex(len(e.held))
	for range min(n, m.length-len(e.held)) {
		tok := e.source.next(e.sum)
		e.held, e.sum = append(e.held, tok), e.sum.Add(tok)
	}
	m.wire = append(m.wire, frame{attempt: e.attempt, first: first, tokens: e.held[first:]})
	if len(e.held) < m.length {
		return
	}
	e.ended = true
	f := end(e.held)
	m.wire = append(m.wire, frame{attempt: e.attempt, finish: &f})
}

// deliver hands frame i to the Joiner and checks the verdict against who may
// write.
func (m *machine) deliver(t *rapid.T, f frame) {
	may, before := slices.Contains(m.writers, f.attempt), m.j.NextIndex()
	var v merge.Verdict
	var fresh []generation.Token
	if f.finish != nil {
		v = m.j.Finish(f.attempt, *f.finish)
	} else {
		fresh, v = m.j.AddTokens(f.attempt, f.first, f.tokens)
	}
	if !may && v != merge.Fenced {
		t.Fatalf("attempt %d may not write, but its frame was %s", f.attempt, v)
	}
	if v != merge.Accepted && m.j.NextIndex() != before {
		t.Fatalf("a frame that was %s changed the answer", v)
	}
	if v == merge.Accepted {
		m.writers = []id.Attempt{f.attempt}
	}
	if m.j.NextIndex() != before+id.TokenIndex(len(fresh)) {
		t.Fatalf("%d fresh tokens took next from %d to %d", len(fresh), before, m.j.NextIndex())
	}
	m.saw = append(m.saw, fresh...)
	if len(fresh) > 0 {
		m.j.MarkSeen()
	}
}

func (m *machine) pick(t *rapid.T) *engine {
	if len(m.engines) == 0 {
		t.Skip("no engine")
	}
	return rapid.SampledFrom(m.engines).Draw(t, "engine")
}

func (m *machine) take(t *rapid.T) frame {
	if len(m.wire) == 0 {
		t.Skip("no frame")
	}
	return rapid.SampledFrom(m.wire).Draw(t, "frame")
}

// check holds at each step.
func (m *machine) check(t *rapid.T) {
	want := m.text.text(m.length)
	if int(m.j.NextIndex()) > len(want) || !slices.Equal(m.j.Log(), want[:m.j.NextIndex()]) {
		t.Fatalf("the answer is not a prefix of the right text")
	}
	if !slices.Equal(m.saw, m.j.Log()) {
		t.Fatalf("the caller saw something else than the answer")
	}
	for _, e := range m.engines {
		if m.j.MayWrite(e.attempt) != slices.Contains(m.writers, e.attempt) {
			t.Fatalf("attempt %d: may write is %v", e.attempt, m.j.MayWrite(e.attempt))
		}
	}
	if m.j.Checksum() != generation.ChecksumOf(m.j.Log()) {
		t.Fatalf("the checksum is not that of the answer")
	}
	if m.j.Finished() != nil && int(m.j.NextIndex()) != m.length {
		t.Fatalf("the answer ended after %d tokens of %d", m.j.NextIndex(), m.length)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"begin": func(*rapid.T) {
			m.naive.lose()
			m.start(false)
		},
		"race": func(*rapid.T) { m.start(true) },
		"step": func(t *rapid.T) { m.step(m.pick(t), rapid.IntRange(0, 6).Draw(t, "n")) },
		"die":  func(t *rapid.T) { m.pick(t).dead = true },
		"pause": func(t *rapid.T) {
			e := m.pick(t)
			e.paused = !e.paused
		},
		// A frame stays on the wire, so it also comes twice and out of order.
		"deliver": func(t *rapid.T) { m.deliver(t, m.take(t)) },
		"adopt": func(t *rapid.T) {
			// A target process sends an attempt's log again from any index.
			e := m.pick(t)
			first := rapid.IntRange(0, len(e.held)).Draw(t, "first")
			m.wire = append(m.wire, frame{attempt: e.attempt, first: id.TokenIndex(first), tokens: e.held[first:]})
		},
		"foreign": func(t *rapid.T) {
			// Another version's text arrives as an attempt that was given up.
			other := source{seed: m.text.seed + 1}.text(5)
			m.deliver(t, frame{attempt: m.next + 5, first: 0, tokens: other})
		},
		"drop": func(t *rapid.T) {
			a := m.pick(t).attempt
			m.j.Drop(a)
			if len(m.writers) == 2 {
				m.writers = slices.DeleteFunc(m.writers, func(w id.Attempt) bool { return w == a })
			}
		},
	}
}

// TestJoinerMachine drives the Joiner and an owner that restarts from the
// start through the same losses; both must end with the same text.
func TestJoinerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		for m.j.Finished() == nil {
			m.start(false)
			e := m.engines[len(m.engines)-1]
			m.step(e, m.length)
			for _, f := range m.wire[len(m.wire)-2:] {
				m.deliver(t, f)
			}
		}
		m.check(t)
		m.naive.run(m.text, m.length)
		if !slices.Equal(m.naive.held, m.j.Log()) {
			t.Fatalf("the naive owner has another text")
		}
	})
}

// FuzzJoiner feeds arbitrary frames. Whatever comes, the answer only grows by
// its verdicts and agrees with its checksum.
func FuzzJoiner(f *testing.F) {
	f.Add([]byte{0, 1, 0, 3, 1, 1, 0, 3, 2, 2, 0, 0, 1, 2, 3, 4})
	f.Add([]byte{0, 1, 0, 0, 3, 1, 0, 0, 4, 0, 0, 0, 1, 1, 0, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		j := merge.New()
		for ; len(data) >= 4; data = data[4:] {
			before, closed := slices.Clone(j.Log()), j.Finished()
			a, first, n := id.Attempt(data[1]%5), id.TokenIndex(data[2]), int(data[3]%16)
			if data[2] == 255 {
				first = 1<<32 - 1
			}
			fresh, v, restarted := feed(j, data[0]%7, a, first, n)
			if restarted {
				continue
			}
			if !slices.Equal(j.Log(), append(before, fresh...)) {
				t.Fatal("the answer changed other than by fresh tokens")
			}
			if len(fresh) > 0 && (v != merge.Accepted || closed != nil || j.CurrentAttempt() != a) {
				t.Fatal("tokens came in that may not")
			}
			if j.Checksum() != generation.ChecksumOf(j.Log()) {
				t.Fatal("the checksum is not that of the answer")
			}
			if fin := j.Finished(); fin != nil && (fin.TokenCount != j.NextIndex() || fin.Checksum != j.Checksum()) {
				t.Fatal("the end does not agree with the answer")
			}
		}
	})
}

func feed(j *merge.Merger, op byte, a id.Attempt, first id.TokenIndex, n int) ([]generation.Token, merge.Verdict, bool) {
	switch op {
	case 0:
		j.Begin(a)
	case 1:
		all := text(512)
		from := min(int(first), 256)
		fresh, v := j.AddTokens(a, first, all[from:from+n])
		return fresh, v, false
	case 2:
		fresh, v := j.AddTokens(a, first, make([]generation.Token, n))
		return fresh, v, false
	case 3:
		j.BeginRace(a)
	case 4:
		return nil, j.Finish(a, generation.Finish{Reason: generation.Stop, TokenCount: id.TokenIndex(n), Checksum: j.Checksum()}), false
	case 5:
		j.Drop(a)
	case 6:
		j.MarkSeen()
		if n == 0 {
			j.AllowRestart()
		}
		return nil, "", j.Restart()
	}
	return nil, "", false
}
