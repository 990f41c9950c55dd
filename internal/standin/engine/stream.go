package engine

import (
	"strings"
	"sync"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// stream is one generation. The engine's lock guards it, but for the fields
// under its own lock, which its HTTP handler reads.
type stream struct {
	id       string
	request  string
	prompt   string
	priority int
	seq      uint64
	// position is the place in the queue's heap; -1 when not queued.
	position int

	text   Generator
	blocks protocol.BlockHasher
	// hashes are the full blocks of the prompt and the prefix.
	hashes []uint64
	// inputTokens counts the prompt and the prefix.
	promptTokens, inputTokens int
	cached                    int
	prefillLeft               int
	// planned is what the current step prefills.
	planned  int
	stalled  bool
	produced int
	decoded  int
	limit    int
	reason   generation.FinishReason
	stop     stopper

	mu      sync.Mutex
	pending []uint32
	ended   bool
	aborted bool
	notify  chan struct{}
}

func newStream(c *protocol.CompletionRequest, model, version, prompt string, length LengthRange) *stream {
	s := &stream{
		id:       c.RequestID,
		request:  c.RequestID,
		prompt:   prompt,
		priority: c.Priority,
		position: -1,
		text:     NewGenerator(model, version, c.Adapter, prompt, length),
		blocks:   protocol.NewBlockHasher(model, version, c.Adapter),
		stop:     newStopper(c.Stop),
		notify:   make(chan struct{}, 1),
	}
	s.limit, s.reason = s.text.end(c.MaxTokens)
	s.promptTokens = protocol.PromptTokens(prompt)
	s.inputTokens = s.promptTokens + len(c.PrefixTokenIDs)
	s.hashes = s.blocks.AddPrompt(nil, prompt)
	for _, id := range c.PrefixTokenIDs {
		if hash, full := s.accept(id); full {
			s.hashes = append(s.hashes, hash)
		}
	}
	return s
}

// accept makes id the answer's next token and returns the block it filled.
func (s *stream) accept(id uint32) (uint64, bool) {
	s.text.Append(id)
	s.produced++
	if s.stop.add(TokenText(id)) {
		s.limit, s.reason = s.produced, generation.Stop
	}
	return s.blocks.Add(id)
}

// admit sets what must be prefilled. The last token is always computed, as its
// output starts the answer.
func (s *stream) admit(cachedBlocks int) {
	s.cached = max(0, min(cachedBlocks*protocol.BlockTokens, s.inputTokens-1))
	s.prefillLeft = s.inputTokens - s.cached
}

// push hands a token to the handler.
func (s *stream) push(id uint32) {
	s.mu.Lock()
	s.pending = append(s.pending, id)
	s.mu.Unlock()
	s.tell()
}

// finish tells the handler that the last token was pushed.
func (s *stream) finish() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.tell()
}

// abort tells the handler to cut the connection.
func (s *stream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.tell()
}

func (s *stream) tell() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// take moves at most n pending tokens to dst. It reports whether the answer
// ends after them and whether the connection is to be cut.
func (s *stream) take(dst []uint32, n int) (tokens []uint32, ended, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.pending))
	tokens = append(dst, s.pending[:n]...)
	s.pending = s.pending[n:]
	return tokens, s.ended && len(s.pending) == 0, s.aborted
}

// stopper looks for the texts that end an answer.
type stopper struct {
	stops []string
	tail  string
	// keep is how much of the text a stop may begin in.
	keep int
}

func newStopper(stops []string) stopper {
	s := stopper{stops: stops}
	for _, stop := range stops {
		s.keep = max(s.keep, len(stop))
	}
	return s
}

// add appends text and reports whether a stop is complete.
func (s *stopper) add(text string) bool {
	if s.keep == 0 {
		return false
	}
	s.tail += text
	for _, stop := range s.stops {
		if stop != "" && strings.Contains(s.tail, stop) {
			return true
		}
	}
	if len(s.tail) > s.keep {
		s.tail = s.tail[len(s.tail)-s.keep:]
	}
	return false
}

// queue holds the streams that wait, the most urgent and then the oldest
// first. It is a container/heap.
type queue []*stream

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push adds a *stream; container/heap calls it.
func (q *queue) Push(x any) {
	s := x.(*stream)
	s.position = len(*q)
	*q = append(*q, s)
}

// Pop removes the last stream; container/heap calls it.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	s.position = -1
	return s
}
