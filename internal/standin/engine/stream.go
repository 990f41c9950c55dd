package engine

import (
	"strings"
	"sync"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// stream is one generation. Its fields are guarded by Engine.mu, except those below
// its own mutex, which the HTTP handler reads.
type stream struct {
	id       string
	request  string
	prompt   string
	priority int
	seq      uint64
	// queueIndex is the index in the queue's heap, or -1 if the stream is not queued.
	queueIndex int

	generator Generator
	hasher    protocol.BlockHasher
	// hashes are the hashes of the full blocks of the prompt and the prefix, until
	// they are stored in the cache.
	hashes []uint64
	// inputTokens is the number of tokens of the prompt and the prefix together.
	promptTokens, inputTokens int
	cachedTokens              int
	prefillLeft               int
	// plannedPrefill is the number of tokens that the current step prefills.
	plannedPrefill int
	stalled        bool
	tokenCount     int
	decodedTokens  int
	maxTokens      int
	finishReason   generation.FinishReason
	stopMatcher    stopMatcher

	mu      sync.Mutex
	pending []uint32
	ended   bool
	aborted bool
	notify  chan struct{}
}

func newStream(c *protocol.CompletionRequest, model, version, prompt string, length LengthRange) *stream {
	s := &stream{
		id:          c.RequestID,
		request:     c.RequestID,
		prompt:      prompt,
		priority:    c.Priority,
		queueIndex:  -1,
		generator:   NewGenerator(model, version, c.Adapter, prompt, length),
		hasher:      protocol.NewBlockHasher(model, version, c.Adapter),
		stopMatcher: newStopMatcher(c.Stop),
		notify:      make(chan struct{}, 1),
	}
	s.maxTokens, s.finishReason = s.generator.answerLength(c.MaxTokens)
	s.promptTokens = protocol.PromptTokens(prompt)
	s.inputTokens = s.promptTokens + len(c.PrefixTokenIDs)
	s.hashes = s.hasher.AddPrompt(nil, prompt)
	for _, id := range c.PrefixTokenIDs {
		if hash, full := s.append(id); full {
			s.hashes = append(s.hashes, hash)
		}
	}
	return s
}

// append adds a token to the answer. If the token fills a block, append returns the
// block's hash and true.
func (s *stream) append(id uint32) (uint64, bool) {
	s.generator.Append(id)
	s.tokenCount++
	if s.stopMatcher.add(TokenText(id)) {
		s.maxTokens, s.finishReason = s.tokenCount, generation.Stop
	}
	return s.hasher.Add(id)
}

// admit sets the number of tokens to prefill. The last input token is always
// computed, because its output is the first token of the answer.
func (s *stream) admit(cachedBlocks int) {
	s.cachedTokens = max(0, min(cachedBlocks*protocol.BlockTokens, s.inputTokens-1))
	s.prefillLeft = s.inputTokens - s.cachedTokens
}

// pushToken passes a token to the HTTP handler.
func (s *stream) pushToken(id uint32) {
	s.mu.Lock()
	s.pending = append(s.pending, id)
	s.mu.Unlock()
	s.notifyHandler()
}

// finish tells the HTTP handler that the last token was pushed.
func (s *stream) finish() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.notifyHandler()
}

// abort tells the HTTP handler to abort the connection.
func (s *stream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.notifyHandler()
}

func (s *stream) notifyHandler() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// take removes up to n pending tokens and appends them to dst. It reports whether the
// answer ends after them and whether the connection must be aborted.
func (s *stream) take(dst []uint32, n int) (tokens []uint32, ended, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.pending))
	tokens = append(dst, s.pending[:n]...)
	s.pending = s.pending[n:]
	return tokens, s.ended && len(s.pending) == 0, s.aborted
}

// stopMatcher searches the answer for stop sequences.
type stopMatcher struct {
	stops []string
	tail  string
	// maxStopBytes is the length of the longest stop sequence. The last maxStopBytes
	// bytes of the text are kept in tail, because a stop sequence may begin there.
	maxStopBytes int
}

func newStopMatcher(stops []string) stopMatcher {
	s := stopMatcher{stops: stops}
	for _, stop := range stops {
		s.maxStopBytes = max(s.maxStopBytes, len(stop))
	}
	return s
}

// add appends text and reports whether a stop sequence is complete.
func (s *stopMatcher) add(text string) bool {
	if s.maxStopBytes == 0 {
		return false
	}
	s.tail += text
	for _, stop := range s.stops {
		if stop != "" && strings.Contains(s.tail, stop) {
			return true
		}
	}
	if len(s.tail) > s.maxStopBytes {
		s.tail = s.tail[len(s.tail)-s.maxStopBytes:]
	}
	return false
}

// queue is a container/heap of the waiting streams, ordered by priority and then by
// age.
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
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push adds a *stream; container/heap calls it.
func (q *queue) Push(x any) {
	s := x.(*stream)
	s.queueIndex = len(*q)
	*q = append(*q, s)
}

// Pop removes the last stream; container/heap calls it.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	s.queueIndex = -1
	return s
}
