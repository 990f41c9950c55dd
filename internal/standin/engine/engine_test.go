package engine_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	protocol "foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/standin/engine"
	"foxtailward.example/foxtailward/internal/state/generation"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRequest(prompt string, maxTokens int) protocol.CompletionRequest {
	return protocol.CompletionRequest{Model: "report", Version: "v1", Prompt: prompt, MaxTokens: maxTokens}
}

func TestExpect(t *testing.T) {
	is := is.New(t)
	base := engine.Expect("report", "v1", "", "Truck 14", 64)
	is.Equal(len(base), 64)
	is.Equal(engine.Expect("report", "v1", "", "Truck 14", 32), base[:32])
	seen := map[string]bool{engine.Join(base): true}
	for _, other := range [][4]string{
		{"easyread", "v1", "", "Truck 14"},
		{"report", "v2", "", "Truck 14"},
		{"report", "v1", "fleet", "Truck 14"},
		{"report", "v1", "", "Truck 15"},
	} {
		text := engine.Join(engine.Expect(other[0], other[1], other[2], other[3], 64))
		is.True(!seen[text]) // every part of the request changes the text
		seen[text] = true
	}
	for _, token := range base {
		is.True(strings.HasPrefix(token.Text, " "))
	}
	_, reason := engine.ExpectWithLength("report", "v1", "", "Truck 14", 4_000, engine.DefaultLength)
	is.Equal(reason, generation.Length)
	short, reason := engine.ExpectWithLength("report", "v1", "", "Truck 14", 4_000, engine.LengthRange{Min: 5, Max: 9})
	is.Equal(reason, generation.Stop)
	is.True(len(short) >= 5 && len(short) <= 9)
}

func TestFlatten(t *testing.T) {
	is := is.New(t)
	plain, err := engine.Flatten(json.RawMessage(`[{"role":"user","content":"Truck 14"}]`))
	is.NoErr(err)
	parts, err := engine.Flatten(json.RawMessage(`[ {"content":[{"type":"text","text":"Truck 14"}], "role":"user"} ]`))
	is.NoErr(err)
	is.Equal(plain, "user: Truck 14\n")
	is.Equal(parts, plain)
	_, err = engine.Flatten(json.RawMessage(`[{"role":"user","content":5}]`))
	is.True(err != nil)
}

func TestCompletion(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	got, err := complete(s.URL(), newRequest("Truck 14", 300))
	is.NoErr(err)
	is.Equal(got.tokens, engine.Expect("report", "v1", "", "Truck 14", 300))
	is.Equal(got.reason, "length")
	is.Equal(got.usage, protocol.Usage{PromptTokens: 2, CompletionTokens: 300})

	chat := newRequest("", 40)
	chat.Messages = json.RawMessage(`[{"role":"user","content":"Truck 14"}]`)
	got, err = complete(s.URL(), chat)
	is.NoErr(err)
	is.Equal(got.tokens, engine.Expect("report", "v1", "", "user: Truck 14\n", 40))

	resp, err := post(t.Context(), s.URL()+"/v1/completions", newRequest("Truck 14", 40))
	is.NoErr(err)
	defer resp.Body.Close()
	var whole protocol.Chunk
	is.NoErr(json.NewDecoder(resp.Body).Decode(&whole))
	is.Equal(whole.Choices[0].Text, engine.Join(engine.Expect("report", "v1", "", "Truck 14", 40)))
	is.Equal(*whole.Choices[0].FinishReason, "length")
}

func TestCompletionPrefix(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	want := engine.Expect("report", "v1", "", "Truck 14", 100)
	for _, k := range []int{0, 1, 16, 50, 99, 100} {
		c := newRequest("Truck 14", 100)
		c.PrefixTokenIDs = tokenIDs(want[:k])
		got, err := complete(s.URL(), c)
		is.NoErr(err)
		is.Equal(len(got.tokens), 100-k)
		is.Equal(append(want[:k:k], got.tokens...), want) // the answer continues after the prefix
		is.Equal(got.usage.CompletionTokens, 100-k)
	}
	wrongPrefix := newRequest("Truck 14", 100)
	wrongPrefix.PrefixTokenIDs = []uint32{want[0].ID, want[1].ID + 1}
	got, err := complete(s.URL(), wrongPrefix)
	is.NoErr(err)
	is.True(got.tokens[0] != want[2]) // a wrong token in the prefix changes the rest
}

func TestCompletionStop(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	want := engine.Expect("report", "v1", "", "Truck 14", 50)
	c := newRequest("Truck 14", 50)
	c.Stop = []string{want[20].Text + want[21].Text}
	got, err := complete(s.URL(), c)
	is.NoErr(err)
	is.Equal(got.tokens, want[:22])
	is.Equal(got.reason, "stop")
}

func TestCompletionRefusals(t *testing.T) {
	s := startServer(t, engine.Options{Adapters: []string{"fleet"}})
	tests := []struct {
		name   string
		change func(*protocol.CompletionRequest)
		status int
	}{
		{"another model", func(c *protocol.CompletionRequest) { c.Model = "other" }, http.StatusNotFound},
		{"another version", func(c *protocol.CompletionRequest) { c.Version = "v2" }, http.StatusNotFound},
		{"another adapter", func(c *protocol.CompletionRequest) { c.Adapter = "none" }, http.StatusNotFound},
		{"a known adapter", func(c *protocol.CompletionRequest) { c.Adapter = "fleet" }, http.StatusOK},
		{"no tokens", func(c *protocol.CompletionRequest) { c.MaxTokens = 0 }, http.StatusBadRequest},
		{"no prompt", func(c *protocol.CompletionRequest) { c.Prompt = "" }, http.StatusBadRequest},
		{"an unknown token", func(c *protocol.CompletionRequest) { c.PrefixTokenIDs = []uint32{1 << 30} }, http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newRequest("Truck 14", 5)
			tt.change(&c)
			resp, err := post(t.Context(), s.URL()+"/v1/completions", c)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
		})
	}
}

// TestSchedulerCosts checks the durations of prefill and decode steps on a fake
// clock.
func TestSchedulerCosts(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := startServer(t, engine.Options{
		Clock: clock,
		Costs: engine.Costs{Prefill: time.Millisecond, Step: 10 * time.Millisecond, StepPerGeneration: 2 * time.Millisecond},
	})
	r, err := openStream(s.URL(), newRequest(strings.Repeat("abcd", 100), 3))
	is.NoErr(err)
	for i, step := range []time.Duration{112 * time.Millisecond, 12 * time.Millisecond, 12 * time.Millisecond} {
		is.NoErr(clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(step - time.Nanosecond)
		is.Equal(s.Stats().DecodedTokens, int64(i)) // no token before the step's end
		clock.Advance(time.Nanosecond)
		_, err := r.readEvent()
		is.NoErr(err)
		is.Equal(len(r.tokens), i+1)
	}
	is.NoErr(r.readAll())
	is.Equal(s.Stats().PrefilledTokens, int64(100))
}

func TestSchedulerPriority(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{Slots: 1})
	s.Stall("first")
	first := newRequest("first", 5)
	first.RequestID = "first"
	blocking, err := openStream(s.URL(), first)
	is.NoErr(err)
	waitForStats(t, s, func(stats engine.Stats) bool { return stats.Running == 1 })
	var readers sync.WaitGroup
	names := []string{"long", "standard", "short"}
	for i, name := range names {
		c := newRequest("later", 5)
		c.RequestID, c.Priority = name, len(names)-1-i
		s.Stall(name)
		readers.Go(func() {
			_, err := complete(s.URL(), c)
			is.NoErr(err)
		})
		waitForStats(t, s, func(stats engine.Stats) bool { return stats.Waiting == i+1 })
	}
	s.Unstall("first")
	is.NoErr(blocking.readAll())
	for _, name := range []string{"short", "standard", "long"} {
		waitForStats(t, s, func(stats engine.Stats) bool {
			return len(stats.Requests) == 1 && stats.Requests[0].RequestID == name
		})
		s.Unstall(name)
	}
	readers.Wait()
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	s.Stall("")
	r, err := openStream(s.URL(), newRequest("Truck 14", 100))
	is.NoErr(err)
	waitForStats(t, s, func(stats engine.Stats) bool { return stats.Running == 1 })
	r.cancel()
	waitForStats(t, s, func(stats engine.Stats) bool { return stats.Running == 0 })
	is.Equal(s.Stats().Cancelled, int64(1))
}

func TestCache(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{CacheBlocks: 8})
	prompt := strings.Repeat("abcd", 4*protocol.BlockTokens)
	_, err := complete(s.URL(), newRequest(prompt, 1))
	is.NoErr(err)
	again, err := complete(s.URL(), newRequest(prompt, 1))
	is.NoErr(err)
	is.Equal(again.usage.CachedTokens, 4*protocol.BlockTokens-1) // the last token is always computed
	is.Equal(s.Stats().PrefilledTokens, int64(4*protocol.BlockTokens+1))

	blocks := protocol.NewBlockHasher("report", "v1", "")
	hashes := blocks.AddPrompt(nil, prompt)
	page := cacheEvents(t, s, 1)
	is.Equal(len(page.Events), 4)
	for i, e := range page.Events {
		is.Equal(e, protocol.CacheEvent{Number: uint64(i + 2), Kind: "stored", Block: hashes[i], Tokens: protocol.BlockTokens})
	}
	s.LoseCacheEvents(2)
	_, err = complete(s.URL(), newRequest(strings.Repeat("efgh", 8*protocol.BlockTokens), 1))
	is.NoErr(err)
	afterLoss := cacheEvents(t, s, page.Next)
	is.Equal(afterLoss.Events[0].Number, page.Next+3) // the lost events leave a gap
	third, err := complete(s.URL(), newRequest(prompt, 1))
	is.NoErr(err)
	is.Equal(third.usage.CachedTokens, 0) // the least recently used blocks were evicted
	is.Equal(cacheEvents(t, s, 1_000_000).Events[0].Kind, "cleared")
}

func TestCacheEventLag(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := startServer(t, engine.Options{Clock: clock, CacheEventLag: time.Second})
	_, err := complete(s.URL(), newRequest(strings.Repeat("abcd", protocol.BlockTokens), 1))
	is.NoErr(err)
	is.Equal(len(cacheEvents(t, s, 0).Events), 0)
	clock.Advance(time.Second)
	is.Equal(len(cacheEvents(t, s, 0).Events), 2)
}

func TestMetrics(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{Slots: 1})
	s.Stall("")
	r, err := openStream(s.URL(), newRequest("Truck 14", 10))
	is.NoErr(err)
	queued, err := openStream(s.URL(), newRequest("Truck 15", 10))
	is.NoErr(err)
	waitForStats(t, s, func(stats engine.Stats) bool { return stats.Waiting == 1 })
	resp, err := http.Get(s.URL() + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, line := range []string{
		protocol.MetricRunning + `{model_name="report"} 1`,
		protocol.MetricWaiting + `{model_name="report"} 1`,
		protocol.MetricWaitingPrefill + `{model_name="report"} 4`,
		protocol.MetricTokenInterval + `{model_name="report"} 0`,
		protocol.MetricPrefillCost + `{model_name="report"} 0`,
	} {
		is.True(strings.Contains(string(page), line+"\n")) // line is served
	}
	s.Unstall("")
	is.NoErr(r.readAll())
	is.NoErr(queued.readAll())
}

func TestOrders(t *testing.T) {
	is := is.New(t)
	s := startServer(t, engine.Options{})
	s.Stall("")
	running, err := openStream(s.URL(), newRequest("Truck 14", 20))
	is.NoErr(err)
	waitForStats(t, s, func(stats engine.Stats) bool { return stats.Running == 1 })
	load := protocol.Order{ID: "o1", Fence: 5, Kind: "load_model", Model: "report", Version: "v2"}
	is.Equal(sendOrder(t, s, load), http.StatusOK)
	is.Equal(sendOrder(t, s, load), http.StatusOK) // idempotent
	old := protocol.Order{ID: "o2", Fence: 4, Kind: "load_model", Model: "report", Version: "v0"}
	is.Equal(sendOrder(t, s, old), http.StatusConflict)
	_, version, _ := s.Serving()
	is.Equal(version, "v2")
	s.Unstall("")
	is.NoErr(running.readAll())
	is.Equal(running.tokens, engine.Expect("report", "v1", "", "Truck 14", 20)) // a running stream keeps its version
	s.SetIgnoreFence(true)
	is.Equal(sendOrder(t, s, old), http.StatusOK)
	is.Equal(sendOrder(t, s, protocol.Order{ID: "o3", Kind: "unknown"}), http.StatusBadRequest)
}

func sendOrder(t *testing.T, s *engine.Server, o protocol.Order) int {
	t.Helper()
	resp, err := post(t.Context(), s.URL()+"/orders", o)
	is.New(t).NoErr(err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func cacheEvents(t *testing.T, s *engine.Server, after uint64) protocol.CacheEvents {
	t.Helper()
	is := is.New(t)
	number, err := json.Marshal(after)
	is.NoErr(err)
	resp, err := http.Get(s.URL() + "/cache_events?after=" + string(number))
	is.NoErr(err)
	defer resp.Body.Close()
	var page protocol.CacheEvents
	is.NoErr(json.NewDecoder(resp.Body).Decode(&page))
	return page
}

// waitForStats polls the counters until they fulfil a condition. Only the timeout of
// the test bounds it.
func waitForStats(t *testing.T, s *engine.Server, condition func(engine.Stats) bool) {
	t.Helper()
	for !condition(s.Stats()) {
		if t.Context().Err() != nil {
			t.Fatal("the test ended before the condition was fulfilled")
		}
		time.Sleep(time.Millisecond)
	}
}
