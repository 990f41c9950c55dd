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

// TestMain sets a fixed rapid seed, unless one is given, so that each run checks the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// source generates an engine's text. Each token depends on all tokens before it,
// so that a lost, repeated or foreign token changes all tokens after it.
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

// frame is a message in transit from the engine of an attempt.
type frame struct {
	attempt id.Attempt
	first   id.TokenIndex
	tokens  []generation.Token
	finish  *generation.Finish
}

// engine runs one attempt. A paused engine may resume later; a failed one never
// does.
type engine struct {
	attempt id.Attempt
	source  source
	held    []generation.Token
	sum     generation.Checksum
	paused  bool
	failed  bool
	ended   bool
}

// restartingOwner is the reference model: an owner without recovery, which
// discards the answer at each loss and starts again.
type restartingOwner struct{ held []generation.Token }

func (o *restartingOwner) lose() { o.held = nil }

func (o *restartingOwner) run(s source, length int) { o.held = s.text(length) }

type machine struct {
	merger    *merge.Merger
	text      source
	length    int
	engines   []*engine
	inTransit []frame
	next      id.Attempt
	reference restartingOwner
	// writers lists the attempts that may write according to the model.
	writers []id.Attempt
	// received holds the tokens that the caller received. They are never
	// withdrawn, because a text that a caller has seen is not restarted.
	received []generation.Token
}

func newMachine(t *rapid.T) *machine {
	return &machine{
		merger: merge.New(),
		text:   source{seed: generation.Checksum(rapid.Uint64().Draw(t, "seed"))},
		length: rapid.IntRange(0, 30).Draw(t, "length"),
		next:   1,
	}
}

func (m *machine) start(race bool) {
	begin := m.merger.Begin
	if race {
		begin = m.merger.BeginRace
	}
	if !begin(m.next) {
		return
	}
	if !race {
		m.writers = nil
	}
	m.writers = append(m.writers, m.next)
	held := slices.Clone(m.merger.Log())
	m.engines = append(m.engines, &engine{
		attempt: m.next, source: m.text, held: held, sum: generation.ChecksumOf(held),
	})
	m.next++
}

// step lets an engine send up to n tokens, and the finish after the last one.
func (m *machine) step(e *engine, n int) {
	if e.failed || e.paused || e.ended {
		return
	}
	first := id.TokenIndex(len(e.held))
	for range min(n, m.length-len(e.held)) {
		tok := e.source.next(e.sum)
		e.held, e.sum = append(e.held, tok), e.sum.Add(tok)
	}
	m.inTransit = append(m.inTransit, frame{attempt: e.attempt, first: first, tokens: e.held[first:]})
	if len(e.held) < m.length {
		return
	}
	e.ended = true
	f := end(e.held)
	m.inTransit = append(m.inTransit, frame{attempt: e.attempt, finish: &f})
}

// deliver passes a frame to the Merger and checks the verdict against the
// attempts that may write.
func (m *machine) deliver(t *rapid.T, f frame) {
	mayWrite, before := slices.Contains(m.writers, f.attempt), m.merger.NextIndex()
	var v merge.Verdict
	var fresh []generation.Token
	if f.finish != nil {
		v = m.merger.Finish(f.attempt, *f.finish)
	} else {
		fresh, v = m.merger.AddTokens(f.attempt, f.first, f.tokens)
	}
	if !mayWrite && v != merge.Fenced {
		t.Fatalf("attempt %d may not write, but its frame was %s", f.attempt, v)
	}
	if v != merge.Accepted && m.merger.NextIndex() != before {
		t.Fatalf("a frame with verdict %s changed the answer", v)
	}
	if v == merge.Accepted {
		m.writers = []id.Attempt{f.attempt}
	}
	if m.merger.NextIndex() != before+id.TokenIndex(len(fresh)) {
		t.Fatalf("%d added tokens changed the next index from %d to %d", len(fresh), before, m.merger.NextIndex())
	}
	m.received = append(m.received, fresh...)
	if len(fresh) > 0 {
		m.merger.MarkDelivered()
	}
}

func (m *machine) pickEngine(t *rapid.T) *engine {
	if len(m.engines) == 0 {
		t.Skip("no engine")
	}
	return rapid.SampledFrom(m.engines).Draw(t, "engine")
}

func (m *machine) pickFrame(t *rapid.T) frame {
	if len(m.inTransit) == 0 {
		t.Skip("no frame")
	}
	return rapid.SampledFrom(m.inTransit).Draw(t, "frame")
}

// check verifies the invariants after every step.
func (m *machine) check(t *rapid.T) {
	want := m.text.text(m.length)
	if int(m.merger.NextIndex()) > len(want) || !slices.Equal(m.merger.Log(), want[:m.merger.NextIndex()]) {
		t.Fatalf("the answer is not a prefix of the expected text")
	}
	if !slices.Equal(m.received, m.merger.Log()) {
		t.Fatalf("the caller received other tokens than those of the answer")
	}
	for _, e := range m.engines {
		if m.merger.MayWrite(e.attempt) != slices.Contains(m.writers, e.attempt) {
			t.Fatalf("attempt %d: MayWrite is %v, want the opposite", e.attempt, m.merger.MayWrite(e.attempt))
		}
	}
	if m.merger.Checksum() != generation.ChecksumOf(m.merger.Log()) {
		t.Fatalf("the checksum does not match the answer")
	}
	if m.merger.Finished() != nil && int(m.merger.NextIndex()) != m.length {
		t.Fatalf("the answer finished after %d of %d tokens", m.merger.NextIndex(), m.length)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"begin": func(*rapid.T) {
			m.reference.lose()
			m.start(false)
		},
		"race": func(*rapid.T) { m.start(true) },
		"step": func(t *rapid.T) { m.step(m.pickEngine(t), rapid.IntRange(0, 6).Draw(t, "n")) },
		"die":  func(t *rapid.T) { m.pickEngine(t).failed = true },
		"pause": func(t *rapid.T) {
			e := m.pickEngine(t)
			e.paused = !e.paused
		},
		// A frame stays in transit, so it can also be delivered repeatedly and out
		// of order.
		"deliver": func(t *rapid.T) { m.deliver(t, m.pickFrame(t)) },
		"adopt": func(t *rapid.T) {
			// A target process can resend an attempt's log from any index.
			e := m.pickEngine(t)
			first := rapid.IntRange(0, len(e.held)).Draw(t, "first")
			m.inTransit = append(m.inTransit, frame{attempt: e.attempt, first: id.TokenIndex(first), tokens: e.held[first:]})
		},
		"foreign": func(t *rapid.T) {
			// Another version's text arrives from an attempt that was never begun.
			other := source{seed: m.text.seed + 1}.text(5)
			m.deliver(t, frame{attempt: m.next + 5, first: 0, tokens: other})
		},
		"drop": func(t *rapid.T) {
			a := m.pickEngine(t).attempt
			m.merger.Drop(a)
			if len(m.writers) == 2 {
				m.writers = slices.DeleteFunc(m.writers, func(w id.Attempt) bool { return w == a })
			}
		},
	}
}

// TestMergerMachine applies the same losses to the Merger and to an owner that
// restarts from the beginning. Both must end with the same text.
func TestMergerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
		for m.merger.Finished() == nil {
			m.start(false)
			e := m.engines[len(m.engines)-1]
			m.step(e, m.length)
			for _, f := range m.inTransit[len(m.inTransit)-2:] {
				m.deliver(t, f)
			}
		}
		m.check(t)
		m.reference.run(m.text, m.length)
		if !slices.Equal(m.reference.held, m.merger.Log()) {
			t.Fatalf("the answer differs from that of the reference model")
		}
	})
}

// FuzzMerger passes arbitrary frames to a Merger. The answer must grow only by
// accepted tokens and must match its checksum.
func FuzzMerger(f *testing.F) {
	f.Add([]byte{0, 1, 0, 3, 1, 1, 0, 3, 2, 2, 0, 0, 1, 2, 3, 4})
	f.Add([]byte{0, 1, 0, 0, 3, 1, 0, 0, 4, 0, 0, 0, 1, 1, 0, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := merge.New()
		for ; len(data) >= 4; data = data[4:] {
			before, closed := slices.Clone(m.Log()), m.Finished()
			a, first, n := id.Attempt(data[1]%5), id.TokenIndex(data[2]), int(data[3]%16)
			if data[2] == 255 {
				first = 1<<32 - 1
			}
			fresh, v, restarted := apply(m, data[0]%7, a, first, n)
			if restarted {
				continue
			}
			if !slices.Equal(m.Log(), append(before, fresh...)) {
				t.Fatal("the answer changed other than by the added tokens")
			}
			if len(fresh) > 0 && (v != merge.Accepted || closed != nil || m.CurrentAttempt() != a) {
				t.Fatal("tokens were added that must be rejected")
			}
			if m.Checksum() != generation.ChecksumOf(m.Log()) {
				t.Fatal("the checksum does not match the answer")
			}
			if fin := m.Finished(); fin != nil && (fin.TokenCount != m.NextIndex() || fin.Checksum != m.Checksum()) {
				t.Fatal("the finish does not match the answer")
			}
		}
	})
}

func apply(m *merge.Merger, op byte, a id.Attempt, first id.TokenIndex, n int) ([]generation.Token, merge.Verdict, bool) {
	switch op {
	case 0:
		m.Begin(a)
	case 1:
		all := text(512)
		from := min(int(first), 256)
		fresh, v := m.AddTokens(a, first, all[from:from+n])
		return fresh, v, false
	case 2:
		fresh, v := m.AddTokens(a, first, make([]generation.Token, n))
		return fresh, v, false
	case 3:
		m.BeginRace(a)
	case 4:
		return nil, m.Finish(a, generation.Finish{Reason: generation.Stop, TokenCount: id.TokenIndex(n), Checksum: m.Checksum()}), false
	case 5:
		m.Drop(a)
	case 6:
		m.MarkDelivered()
		if n == 0 {
			m.AllowRestart()
		}
		return nil, "", m.Restart()
	}
	return nil, "", false
}
