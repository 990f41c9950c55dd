package caller_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"foxtailward.example/foxtailward/internal/coordination/answer"
)

// newClient returns OpenAI's published client library, connected to a server for f.
func newClient(t *testing.T, f *fakeHandlers) openai.Client {
	server := startServer(t, testConfig(), f)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return openai.NewClient(
		option.WithBaseURL(server.URL+"/v1"),
		option.WithAPIKey(testKey),
		option.WithHTTPClient(&http.Client{Transport: transport}),
		option.WithMaxRetries(0))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "report",
		MaxCompletionTokens: openai.Int(8),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("be brief"),
			openai.UserMessage([]openai.ChatCompletionContentPartUnionParam{openai.TextContentPart("truck 7")}),
		},
	}
}

func TestClientCompletion(t *testing.T) {
	is := is.New(t)
	c := newClient(t, newFakeHandlers("a", "b"))
	got, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     "report",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("truck 7")},
		MaxTokens: openai.Int(8),
	})
	is.NoErr(err)
	is.Equal(got.Choices[0].Text, "ab")
	is.Equal(string(got.Choices[0].FinishReason), "stop")
}

func TestClientChat(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "b")
	c := newClient(t, f)
	got, err := c.Chat.Completions.New(t.Context(), chatParams())
	is.NoErr(err)
	is.Equal(got.Choices[0].Message.Content, "ab")
	is.Equal(got.Usage.CompletionTokens, int64(2))
	is.Equal(string(f.requests[0].Spec.Messages),
		`[{"role":"system","content":"be brief"},{"role":"user","content":"truck 7"}]`)
}

func TestClientStream(t *testing.T) {
	is := is.New(t)
	c := newClient(t, newFakeHandlers("a", "b\n", "c"))
	params := chatParams()
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	defer stream.Close()
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(all.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(all.Choices[0].Message.Content, "ab\nc")
	is.Equal(string(all.Choices[0].Message.Role), "assistant")
	is.Equal(all.Usage.TotalTokens, int64(8))
}

func TestClientFailure(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "b")
	f.failAfter = 1
	f.failure = &answer.Refusal{Outcome: answer.Failed, Cause: answer.CauseLost, Detail: "no target can go on"}
	c := newClient(t, f)

	_, err := c.Chat.Completions.New(t.Context(), chatParams())
	var failed *openai.Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.StatusCode, http.StatusBadGateway)
	is.Equal(failed.Message, "no target can go on")

	stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams())
	defer stream.Close()
	for stream.Next() {
	}
	is.True(stream.Err() != nil)
}

func TestClientModels(t *testing.T) {
	is := is.New(t)
	c := newClient(t, newFakeHandlers())
	page, err := c.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(page.Data[0].ID, "report")
	_, err = c.Models.Get(t.Context(), "other")
	is.True(err != nil)
}
