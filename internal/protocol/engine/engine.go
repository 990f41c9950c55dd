// Package engine holds the messages of a model engine's HTTP interface: the
// OpenAI-compatible API with token ids, a prefix to go on from, priorities,
// cache events and orders. Names in these messages are the engine's own, in
// snake case.
//
// # Usage
//
//	POST /v1/completions       Completion → a stream of Chunk, as SSE
//	POST /v1/chat/completions  Completion → a stream of Chunk, as SSE
//	GET  /health               200 while the engine takes work
//	GET  /metrics              Prometheus text, with the names below
//	GET  /cache_events?after=N CacheEvents
//	POST /orders               Order → OrderResult; 409 for an old fence
//
// A stream ends with "data: [DONE]". A stream that ends without it was cut.
package engine

import "encoding/json"

// Done is the data of the last event of a stream.
const Done = "[DONE]"

// Names of the metrics that a target process reads.
const (
	MetricRunning        = "vllm:num_requests_running"
	MetricWaiting        = "vllm:num_requests_waiting"
	MetricWaitingPrefill = "vllm:num_prefill_tokens_waiting"
	MetricTokenInterval  = "vllm:inter_token_latency_seconds"
	MetricPrefillCost    = "vllm:prefill_seconds_per_token"
)

// CompletionRequest asks for a generation.
type CompletionRequest struct {
	RequestID string          `json:"request_id,omitempty"`
	Model     string          `json:"model"`
	Version   string          `json:"version,omitempty"`
	Adapter   string          `json:"adapter,omitempty"`
	Prompt    string          `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	// MaxTokens counts the whole answer, the prefix included.
	MaxTokens   int      `json:"max_tokens"`
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"top_p"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	Stream      bool     `json:"stream"`
	// Priority orders the engine's queue; a lower number goes first.
	Priority int `json:"priority"`
	// PrefixTokenIDs are the answer's tokens so far. The stream goes on after
	// them and does not repeat them.
	PrefixTokenIDs []uint32 `json:"prefix_token_ids,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is set in the last chunk.
	Usage *Usage `json:"usage,omitempty"`
}

// Choice carries the tokens of one chunk. Text is set for completions and
// Delta for chats; TokenTexts has one text for each id.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	TokenIDs     []uint32 `json:"token_ids,omitempty"`
	TokenTexts   []string `json:"token_texts,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a part of a chat message.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of one engine request.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens counts what this request generated, without the prefix.
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens counts prompt and prefix tokens that came from the cache.
	CachedTokens int `json:"cached_tokens"`
}

// ErrorResponse is the body of an answer that is not 200.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// CacheEvent is one change of the engine's prefix cache.
type CacheEvent struct {
	// Number rises by one; a gap means that events were lost.
	Number uint64 `json:"number"`
	// Kind is "stored", "removed" or "cleared".
	Kind string `json:"kind"`
	// Block is the hash of a block of tokens and all blocks before it.
	Block uint64 `json:"block"`
	// Tokens is the number of tokens in the block.
	Tokens int `json:"tokens"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the number to ask after.
	Next uint64 `json:"next"`
}

// Order tells the engine to change what it serves. Orders of one ID are
// idempotent.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number of the leader; some engines ignore it.
	Fence int64 `json:"fence"`
	// Kind is "load_model", "load_adapter" or "set_role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderResult answers an order.
type OrderResult struct {
	Applied bool `json:"applied"`
	// Fence is the highest fencing number the engine has seen.
	Fence int64 `json:"fence"`
}
