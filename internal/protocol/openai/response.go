package openai

// Object types in responses.
const (
	ObjectCompletion = "text_completion"
	ObjectChat       = "chat.completion"
	ObjectChatChunk  = "chat.completion.chunk"
	ObjectModel      = "model"
	ObjectList       = "list"
)

// Owner is the owner of all models in the list of models.
const Owner = "foxtailward"

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails counts the prompt tokens that came from the engine's cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// CompletionResponse is a complete completion or one event of its stream.
type CompletionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	// Usage is set in a complete completion, and in a stream's last event if the
	// caller requested it.
	Usage *Usage `json:"usage,omitempty"`
}

// CompletionChoice is the text of a completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	Logprobs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

// ChatResponse is a complete chat answer.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

// ChatChoice is the message of a chat answer.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	Logprobs     *string     `json:"logprobs"`
	FinishReason *string     `json:"finish_reason"`
}

// ChatMessage is the message that a model wrote.
type ChatMessage struct {
	Role    Role    `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// ChatChunk is one event of a chat's stream.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the part of a message that one event adds.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	Logprobs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is text to append to a message. Role is set only in the first event.
type Delta struct {
	Role    Role   `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Model is one model that a caller may use.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is a list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
