package caller_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/openai"
	"foxtailward.example/foxtailward/internal/protocol/problem"
	"foxtailward.example/foxtailward/internal/state/id"
)

func TestMain(m *testing.M) {
	// The goroutine that updates go-metrics' meters never ends.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

const (
	promptBody = `{"model":"report","prompt":"truck 7","max_tokens":8,"stream":false}`
	streamBody = `{"model":"report","prompt":"truck 7","max_tokens":8,"stream":true}`
)

// sendRequest sends one request and returns the response with its body read.
func sendRequest(t *testing.T, method, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(data)
}

func decodeProblem(t *testing.T, body string) problem.Problem {
	t.Helper()
	var p problem.Problem
	is.New(t).NoErr(json.Unmarshal([]byte(body), &p))
	return p
}

func TestCompletion(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "b", "c")
	server := startServer(t, testConfig(), f)
	response, body := sendRequest(t, "POST", server.URL+"/v1/completions", promptBody)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(id.Request(response.Header.Get("Foxtailward-Request")).Valid())
	var got openai.CompletionResponse
	is.NoErr(json.Unmarshal([]byte(body), &got))
	is.Equal(got.Choices[0].Text, "abc")
	is.Equal(got.Usage.TotalTokens, 8)
	is.Equal(f.requests[0].Spec.Seed, int64(42)) // from NewSeed, because the request has no seed
	<-f.closed
}

func TestStream(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "<b>", "\u2028")
	server := startServer(t, testConfig(), f)
	response, body := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody)
	is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
	is.Equal(eventIDs(body), []string{"lin-1:1", "lin-1:2", "lin-1:3", "lin-1:3"})
	is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
	<-f.closed
}

func eventIDs(body string) []string {
	var ids []string
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(v))
		}
	}
	return ids
}

func TestResume(t *testing.T) {
	f := newFakeHandlers("a", "b", "c")
	server := startServer(t, testConfig(), f)
	first, _ := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody)
	url := server.URL + "/v1/answers/" + first.Header.Get("Foxtailward-Request")
	tests := []struct {
		name, accept, last string
		status             int
		ids                []string
	}{
		{"rest", "text/event-stream", "lin-1:2", 200, []string{"lin-1:3", "lin-1:3"}},
		{"end alone", "text/event-stream", "lin-1:3", 200, []string{"lin-1:3"}},
		{"all", "text/event-stream", "", 200, []string{"lin-1:1", "lin-1:2", "lin-1:3", "lin-1:3"}},
		{"complete", "application/json", "", 200, nil},
		{"other lineage", "text/event-stream", "lin-0:2", 409, nil},
		{"other lineage, nothing seen", "text/event-stream", "lin-0:0", 200, []string{"lin-1:1", "lin-1:2", "lin-1:3", "lin-1:3"}},
		{"no index", "text/event-stream", "lin-1", 400, nil},
		{"sign", "text/event-stream", "lin-1:+2", 400, nil},
		{"too large", "text/event-stream", "lin-1:4294967296", 400, nil},
		{"no lineage", "text/event-stream", ":2", 400, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			response, body := sendRequest(t, "GET", url, "", "Accept", tt.accept, "Last-Event-ID", tt.last)
			is.Equal(response.StatusCode, tt.status)
			is.Equal(eventIDs(body), tt.ids)
		})
	}
}

func TestResumeByKey(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "b", "c")
	server := startServer(t, testConfig(), f)
	url := server.URL + "/v1/completions"
	_, body := sendRequest(t, "POST", url, streamBody, "Idempotency-Key", "k", "Last-Event-ID", "lin-1:2")
	is.Equal(eventIDs(body), []string{"lin-1:3", "lin-1:3"})
	<-f.closed
	<-f.closed // both the reader of Open and the one of Resume are closed
	response, _ := sendRequest(t, "POST", url, streamBody, "Idempotency-Key", "k", "Last-Event-ID", "lin-0:2")
	is.Equal(response.StatusCode, http.StatusConflict)
	response, _ = sendRequest(t, "POST", url, streamBody, "Last-Event-ID", "lin-1:2")
	is.Equal(response.StatusCode, http.StatusBadRequest)
}

func TestRestart(t *testing.T) {
	const allow = "allow"
	tests := []struct {
		name      string
		restartAt int
		header    string
		ids       []string
		event     string
	}{
		{"nothing seen", 0, "", []string{"lin-2:1", "lin-2:2", "lin-2:2"}, ""},
		{"not allowed", 1, "", []string{"lin-1:1"}, "event: error\n"},
		{"allowed", 1, allow, []string{"lin-1:1", "lin-2:1", "lin-2:2", "lin-2:2"}, "event: restart\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeHandlers("a", "b")
			f.restartAt = tt.restartAt
			server := startServer(t, testConfig(), f)
			_, body := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody, "Foxtailward-Restart", tt.header)
			is.Equal(eventIDs(body), tt.ids)
			is.True(strings.Contains(body, tt.event))
			is.Equal(strings.Contains(body, "[DONE]"), tt.event != "event: error\n")
			_, complete := sendRequest(t, "POST", server.URL+"/v1/completions", promptBody)
			is.True(strings.Contains(complete, `"text":"ab"`))
		})
	}
}

// TestRestartAfterResume checks that an answer whose first part was received over an
// earlier connection is not restarted without permission.
func TestRestartAfterResume(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "b", "c")
	f.restartAt = 2
	server := startServer(t, testConfig(), f)
	_, body := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody,
		"Idempotency-Key", "k", "Last-Event-ID", "lin-1:2")
	is.True(strings.Contains(body, "event: error\n"))
	is.True(!strings.Contains(body, "[DONE]"))
}

func TestOtherContractsAnswerIsNotFound(t *testing.T) {
	is := is.New(t)
	server := startServer(t, testConfig(), newFakeHandlers("a"))
	unknownID := string(id.NewRequest("entry-1"))
	unknown, unknownBody := sendRequest(t, "GET", server.URL+"/v1/answers/"+unknownID, "")
	invalid, invalidBody := sendRequest(t, "GET", server.URL+"/v1/answers/nonsense", "")
	is.Equal(unknown.StatusCode, http.StatusNotFound)
	is.Equal(invalid.StatusCode, unknown.StatusCode)
	is.Equal(unknownBody, invalidBody)
	is.Equal(decodeProblem(t, unknownBody).Outcome, answer.Unknown) // an answer that was removed did run
}

func TestRefusals(t *testing.T) {
	f := newFakeHandlers("a")
	server := startServer(t, testConfig(), f)
	huge := `{"model":"report","prompt":"` + strings.Repeat("x", 100<<10) + `"}`
	long := `{"model":"report","prompt":"` + strings.Repeat("x", 1001) + `"}`
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		field                    string
	}{
		{"wrong key", "POST", "/v1/completions", promptBody, []string{"Authorization", "Bearer wrong"}, 401, ""},
		{"basic auth", "POST", "/v1/completions", promptBody, []string{"Authorization", "Basic eA=="}, 401, ""},
		{"malformed", "POST", "/v1/completions", `{"model":`, nil, 400, ""},
		{"wrong type", "POST", "/v1/completions", `{"model":"report","prompt":"x","max_tokens":"8"}`, nil, 400, "max_tokens"},
		{"too many tokens", "POST", "/v1/completions", `{"model":"report","prompt":"x","max_tokens":9000}`, nil, 400, ""},
		{"body too large", "POST", "/v1/completions", huge, nil, 413, ""},
		{"prompt too large", "POST", "/v1/completions", long, nil, 413, ""},
		{"model not allowed", "POST", "/v1/completions", `{"model":"other","prompt":"x"}`, nil, 403, ""},
		{"unknown path", "GET", "/v1/other", "", nil, 404, ""},
		{"method", "DELETE", "/v1/completions", "", nil, 405, ""},
		{"empty key", "POST", "/v1/completions", promptBody, []string{"Idempotency-Key", ""}, 400, ""},
		{"long key", "POST", "/v1/completions", promptBody, []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, ""},
		{"blank in key", "POST", "/v1/completions", promptBody, []string{"Idempotency-Key", "a b"}, 400, ""},
		{"timeout", "POST", "/v1/completions", promptBody, []string{"Foxtailward-Timeout", "-1s"}, 400, ""},
		{"restart", "POST", "/v1/completions", promptBody, []string{"Foxtailward-Restart", "yes"}, 400, ""},
		{"service", "GET", "/v1/services/other/x", "", nil, 404, ""},
		{"path traversal", "GET", "/v1/services/parts/a/%2e%2e/b", "", nil, 400, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			response, body := sendRequest(t, tt.method, server.URL+tt.path, tt.body, tt.header...)
			is.Equal(response.StatusCode, tt.status)
			is.Equal(response.Header.Get("Content-Type"), problem.ContentType)
			p := decodeProblem(t, body)
			is.Equal(p.Outcome, answer.NotRun)
			is.Equal(p.Field, tt.field)
			is.True(!strings.Contains(body, testKey))
		})
	}
}

func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a")
	f.failAfter = 0
	f.failure = &answer.Refusal{Outcome: answer.Failed, Cause: answer.CauseOverload, Detail: "full", RetryAfter: 1500 * time.Millisecond}
	server := startServer(t, testConfig(), f)
	response, body := sendRequest(t, "POST", server.URL+"/v1/completions", promptBody)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "2")
	p := decodeProblem(t, body)
	is.Equal(p.Outcome, answer.Failed)
	is.Equal(string(p.Request), response.Header.Get("Foxtailward-Request"))
}

func TestIdempotencyKeyConflict(t *testing.T) {
	is := is.New(t)
	server := startServer(t, testConfig(), newFakeHandlers("a"))
	url := server.URL + "/v1/completions"
	first, _ := sendRequest(t, "POST", url, promptBody, "Idempotency-Key", "k1")
	again, _ := sendRequest(t, "POST", url, promptBody, "Idempotency-Key", "k1")
	other, _ := sendRequest(t, "POST", url, `{"model":"report","prompt":"truck 8"}`, "Idempotency-Key", "k1")
	is.Equal(first.Header.Get("Foxtailward-Request"), again.Header.Get("Foxtailward-Request"))
	is.Equal(other.StatusCode, http.StatusConflict)
}

func TestCorruptAnswerFails(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(*answer.Part)
	}{
		{"missing token", func(p *answer.Part) {
			if p.First == 1 {
				p.First = 2
			}
		}},
		{"repeated token", func(p *answer.Part) {
			if p.First == 2 {
				p.First = 1
			}
		}},
		{"wrong length", func(p *answer.Part) {
			if p.Finish != nil {
				p.Finish.TokenCount++
			}
		}},
		{"wrong checksum", func(p *answer.Part) {
			if p.Finish != nil {
				p.Finish.Checksum++
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeHandlers("a", "b", "c")
			f.corrupt = tt.corrupt
			server := startServer(t, testConfig(), f)
			response, _ := sendRequest(t, "POST", server.URL+"/v1/completions", promptBody)
			is.Equal(response.StatusCode, http.StatusInternalServerError)
			_, stream := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody)
			is.True(strings.Contains(stream, "event: error\n"))
			is.True(!strings.Contains(stream, "[DONE]"))
		})
	}
}

func TestErrorMidStream(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a", "b", "c")
	f.failAfter = 2
	f.failure = &answer.Refusal{Outcome: answer.Failed, Cause: answer.CauseLost, Detail: "no target can go on"}
	server := startServer(t, testConfig(), f)
	response, body := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody)
	is.Equal(response.StatusCode, http.StatusOK)
	_, data, ok := strings.Cut(body, "event: error\ndata: ")
	is.True(ok)
	is.True(!strings.Contains(body, "[DONE]"))
	p := decodeProblem(t, data)
	is.Equal(p.Outcome, answer.Failed)
	is.Equal(p.Cause, answer.CauseLost)
	is.Equal(string(p.Request), response.Header.Get("Foxtailward-Request"))
}

func TestOutcomeNotRunOnlyBeforeFirstToken(t *testing.T) {
	tests := []struct {
		failAfter int
		want      answer.Outcome
	}{{0, answer.NotRun}, {1, answer.Failed}}
	for _, tt := range tests {
		t.Run(string(tt.want), func(t *testing.T) {
			is := is.New(t)
			f := newFakeHandlers("a", "b")
			f.failAfter = tt.failAfter
			f.failure = answer.NewRefusal(answer.CauseNoTarget, "no target")
			server := startServer(t, testConfig(), f)
			_, complete := sendRequest(t, "POST", server.URL+"/v1/completions", promptBody)
			is.Equal(decodeProblem(t, complete).Outcome, tt.want)
			_, stream := sendRequest(t, "POST", server.URL+"/v1/completions", streamBody)
			_, data, _ := strings.Cut(stream, "event: error\ndata: ")
			is.Equal(decodeProblem(t, data).Outcome, tt.want)
		})
	}
}

func TestRequestIDSentBeforeFirstToken(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a")
	f.blocks = true
	server := startServer(t, testConfig(), f)
	r, err := http.NewRequestWithContext(t.Context(), "POST", server.URL+"/v1/completions", strings.NewReader(streamBody))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	transport := &http.Transport{}
	response, err := transport.RoundTrip(r)
	is.NoErr(err)
	is.True(id.Request(response.Header.Get("Foxtailward-Request")).Valid())
	// The caller disconnects, and its reader must be closed.
	response.Body.Close()
	<-f.closed
	transport.CloseIdleConnections()
}

func TestDisconnectBeforeCompleteAnswer(t *testing.T) {
	is := is.New(t)
	f := newFakeHandlers("a")
	f.blocks = true
	server := startServer(t, testConfig(), f)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 67\r\n\r\n"+promptBody)
	is.NoErr(err)
	is.Equal(len(promptBody), 67)
	conn.Close()
	<-f.closed
}

func TestSlowReaderIsDisconnected(t *testing.T) {
	is := is.New(t)
	texts := make([]string, 4000)
	for i := range texts {
		texts[i] = strings.Repeat("x", 4<<10)
	}
	f := newFakeHandlers(texts...)
	cfg := testConfig()
	cfg.WriteTimeout = 50 * time.Millisecond
	server := startServer(t, cfg, f)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 66\r\n\r\n"+streamBody)
	is.NoErr(err)
	is.Equal(len(streamBody), 66)
	// The caller reads nothing. 16 MB of text do not fit into the socket's
	// buffers, so the reader is closed only because the write timed out.
	<-f.closed
}

func TestSlowBodyTimesOut(t *testing.T) {
	tests := []struct{ name, key, status string }{
		{"valid key", testKey, "HTTP/1.1 400"},
		{"wrong key", "wrong", "HTTP/1.1 401"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := testConfig()
			cfg.BodyTimeout = 50 * time.Millisecond
			server := startServer(t, cfg, newFakeHandlers("a"))
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+tt.key+
				"\r\nContent-Length: 100\r\n\r\n{")
			is.NoErr(err)
			// The server must close the connection, or this blocks forever.
			reply, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(reply), tt.status))
		})
	}
}

func TestBodyMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.MaxBodyMemory = 10
	server := startServer(t, cfg, newFakeHandlers("a"))
	response, body := sendRequest(t, "POST", server.URL+"/v1/completions", promptBody)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(decodeProblem(t, body).Cause, answer.CauseOverload)
}

func TestHeaderTooLarge(t *testing.T) {
	is := is.New(t)
	server := startServer(t, testConfig(), newFakeHandlers("a"))
	response, _ := sendRequest(t, "GET", server.URL+"/v1/models", "", "X-Large", strings.Repeat("x", 64<<10))
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

func TestService(t *testing.T) {
	tests := []struct {
		service, method, header string
		repeatable              bool
	}{
		{"parts", "POST", "", true},
		{"parts", "POST", "false", false},
		{"parts", "GET", "true", true},
		{"orders", "POST", "", false},
		{"orders", "POST", "true", false},
		{"orders", "GET", "true", false},
		{"floor", "GET", "", true},
		{"floor", "HEAD", "false", false},
		{"floor", "PUT", "true", false},
	}
	for _, tt := range tests {
		t.Run(tt.service+" "+tt.method+" "+tt.header, func(t *testing.T) {
			is := is.New(t)
			f := newFakeHandlers()
			server := startServer(t, testConfig(), f)
			header := []string{"Connection", "X-Hop", "X-Hop", "1", "X-Kept", "1", "Idempotency-Key", "k"}
			if tt.header != "" {
				header = append(header, "Foxtailward-Repeatable", tt.header)
			}
			response, _ := sendRequest(t, tt.method, server.URL+"/v1/services/"+tt.service+"/a%20b?q=1", "x", header...)
			is.Equal(response.StatusCode, http.StatusAccepted)
			is.Equal(response.Header.Get("X-Part"), "7")
			is.Equal(response.Header.Get("X-Hop"), "")
			call := f.calls[0]
			is.Equal(call.Repeatable, tt.repeatable)
			is.Equal(call.Path, "/a%20b?q=1")
			is.Equal(call.Key, "k")
			is.Equal(call.Header.Get("X-Kept"), "1")
			for _, name := range []string{"Authorization", "X-Hop", "Connection", "Foxtailward-Repeatable"} {
				is.Equal(call.Header.Get(name), "")
			}
		})
	}
}
