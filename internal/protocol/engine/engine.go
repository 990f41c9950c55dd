// Package engine defines the messages of a model engine's HTTP interface: the
// OpenAI-compatible API with token ids, a prefix from which to continue,
// priorities, cache events and orders. The fields have the engine's own
// names, in snake case.
//
// # Usage
//
//	POST /v1/completions       CompletionRequest → a stream of Chunk, as SSE
//	POST /v1/chat/completions  CompletionRequest → a stream of Chunk, as SSE
//	GET  /health               200 while the engine takes work
//	GET  /metrics              Prometheus text, with the names below
//	GET  /cache_events?after=N CacheEvents
//	POST /orders               Order → OrderResult; 409 for an old fencing number
//
// A stream ends with "data: [DONE]". A stream that ends without it is
// truncated.
package engine

import "encoding/json"

// Done is the data of the last event of a complete stream.
const Done = "[DONE]"

// Names of the metrics that a target process reads.
const (
	MetricRunning        = "vllm:num_requests_running"
	MetricWaiting        = "vllm:num_requests_waiting"
	MetricWaitingPrefill = "vllm:num_prefill_tokens_waiting"
	MetricTokenInterval  = "vllm:inter_token_latency_seconds"
	MetricPrefillCost    = "vllm:prefill_seconds_per_token"
)

// CompletionRequest is the body of a request for a generation.
type CompletionRequest struct {
	RequestID string          `json:"request_id,omitempty"`
	Model     string          `json:"model"`
	Version   string          `json:"version,omitempty"`
	Adapter   string          `json:"adapter,omitempty"`
	Prompt    string          `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	// MaxTokens limits the length of the whole answer, including the prefix.
	MaxTokens   int      `json:"max_tokens"`
	Temperature float64  `json:"temperature"`
	TopP        float64  `json:"top_p"`
	Seed        int64    `json:"seed"`
	Stop        []string `json:"stop,omitempty"`
	Stream      bool     `json:"stream"`
	// Priority is the rank in the engine's queue; lower numbers run first.
	Priority int `json:"priority"`
	// PrefixTokenIDs are the tokens of the answer that were already generated.
	// The stream continues after them and does not repeat them.
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

// Choice holds the tokens of one chunk. Text is set for completions and Delta
// for chats. TokenTexts has one text per token id.
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

// Usage holds the token counts of one request to the engine.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens counts the tokens that this request generated, without
	// the prefix.
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens counts the prompt and prefix tokens that were found in the
	// cache.
	CachedTokens int `json:"cached_tokens"`
}

// ErrorResponse is the body of a response whose status is not 200.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// CacheEvent is one change of the engine's prefix cache.
type CacheEvent struct {
	// Number increases by one per event; a gap means that events were lost.
	Number uint64 `json:"number"`
	// Kind is "stored", "removed" or "cleared".
	Kind string `json:"kind"`
	// Block is the hash of a block of tokens and of all blocks before it.
	Block uint64 `json:"block"`
	// Tokens is the number of tokens in the block.
	Tokens int `json:"tokens"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of "after" for the next request.
	Next uint64 `json:"next"`
}

// Order requests that the engine changes what it serves. Orders with the same ID are
// idempotent.
type Order struct {
	ID string `json:"id"`
	// Fence is the leader's fencing number. Some engines ignore it.
	Fence int64 `json:"fence"`
	// Kind is "load_model", "load_adapter" or "set_role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderResult is the response to an order.
type OrderResult struct {
	Applied bool `json:"applied"`
	// Fence is the highest fencing number that the engine has seen.
	Fence int64 `json:"fence"`
}
