package openai_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/protocol/openai"
)

func TestCompletionRequest(t *testing.T) {
	tests := []struct{ name, body, field string }{
		{"minimal", `{"model":"m","prompt":"p"}`, ""},
		{"all", `{"model":"m","prompt":"p","max_tokens":1,"temperature":0,"top_p":1,"seed":-3,"stop":["a"],"stream":true,"stream_options":{"include_usage":true},"n":1,"user":"u","logit_bias":{},"echo":false,"unknown":1}`, ""},
		{"null", `{"model":"m","prompt":"p","stop":null,"n":null,"max_tokens":null}`, ""},
		{"one stop", `{"model":"m","prompt":"p","stop":"a"}`, ""},
		{"no model", `{"prompt":"p"}`, "model"},
		{"model is a number", `{"model":1,"prompt":"p"}`, "model"},
		{"no prompt", `{"model":"m"}`, "prompt"},
		{"prompt null", `{"model":"m","prompt":null}`, "prompt"},
		{"prompt list", `{"model":"m","prompt":["p"]}`, "prompt"},
		{"max_tokens 0", `{"model":"m","prompt":"p","max_tokens":0}`, "max_tokens"},
		{"max_tokens text", `{"model":"m","prompt":"p","max_tokens":"1"}`, "max_tokens"},
		{"max_tokens fraction", `{"model":"m","prompt":"p","max_tokens":1.5}`, "max_tokens"},
		{"temperature", `{"model":"m","prompt":"p","temperature":2.1}`, "temperature"},
		{"top_p", `{"model":"m","prompt":"p","top_p":-0.1}`, "top_p"},
		{"seed", `{"model":"m","prompt":"p","seed":"x"}`, "seed"},
		{"stop number", `{"model":"m","prompt":"p","stop":1}`, "stop"},
		{"stop empty", `{"model":"m","prompt":"p","stop":["a",""]}`, "stop[1]"},
		{"stream text", `{"model":"m","prompt":"p","stream":"yes"}`, "stream"},
		{"options without stream", `{"model":"m","prompt":"p","stream_options":{"include_usage":true}}`, "stream_options"},
		{"options type", `{"model":"m","prompt":"p","stream":true,"stream_options":{"include_usage":1}}`, "stream_options.include_usage"},
		{"n", `{"model":"m","prompt":"p","n":2}`, "n"},
		{"n 0", `{"model":"m","prompt":"p","n":0}`, "n"},
		{"best_of", `{"model":"m","prompt":"p","best_of":3}`, "best_of"},
		{"echo", `{"model":"m","prompt":"p","echo":true}`, "echo"},
		{"logprobs", `{"model":"m","prompt":"p","logprobs":2}`, "logprobs"},
		{"penalty", `{"model":"m","prompt":"p","presence_penalty":0.5}`, "presence_penalty"},
		{"list", `[]`, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r openai.CompletionRequest
			checkField(t, json.Unmarshal([]byte(tt.body), &r), tt.field)
		})
	}
}

func TestChatRequest(t *testing.T) {
	const user = `"messages":[{"role":"user","content":"hi"}]`
	tests := []struct{ name, body, field string }{
		{"minimal", `{"model":"m",` + user + `}`, ""},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, ""},
		{"text format", `{"model":"m",` + user + `,"response_format":{ "type": "text" },"modalities":["text"]}`, ""},
		{"same limits", `{"model":"m",` + user + `,"max_tokens":4,"max_completion_tokens":4}`, ""},
		{"two limits", `{"model":"m",` + user + `,"max_tokens":4,"max_completion_tokens":5}`, "max_completion_tokens"},
		{"no messages", `{"model":"m"}`, "messages"},
		{"empty messages", `{"model":"m","messages":[]}`, "messages"},
		{"role", `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"tool","content":"b"}]}`, "messages[1].role"},
		{"no content", `{"model":"m","messages":[{"role":"user","content":null}]}`, "messages[0].content"},
		{"image", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages.content"},
		{"json format", `{"model":"m",` + user + `,"response_format":{"type":"json_object"}}`, "response_format"},
		{"tools", `{"model":"m",` + user + `,"tools":[{"type":"function"}]}`, "tools"},
		{"effort", `{"model":"m",` + user + `,"reasoning_effort":"high"}`, "reasoning_effort"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r openai.ChatRequest
			checkField(t, json.Unmarshal([]byte(tt.body), &r), tt.field)
		})
	}
}

// checkField checks that err is a FieldError for field, or nil if field is empty.
func checkField(t *testing.T, err error, field string) {
	t.Helper()
	is := is.New(t)
	if field == "" {
		is.NoErr(err)
		return
	}
	var got *openai.FieldError
	is.True(errors.As(err, &got))
	is.Equal(got.Field, field)
}

func FuzzChatRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stop":"x"}`))
	f.Add([]byte(`{"model":"m","messages":null,"stop":[1],"n":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r openai.ChatRequest
		if json.Unmarshal(data, &r) != nil {
			return
		}
		is := is.New(t)
		is.True(r.Model != "")
		is.True(len(r.Messages) > 0)
		is.True(r.TokenLimit(1) >= 1)
	})
}
