package target_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/target"
)

// fakeService counts the calls that it runs. If hold is set, each call waits
// for a value from it.
type fakeService struct {
	*httptest.Server
	runs atomic.Int64
	hold chan struct{}
	// answer handles a call; nil echoes the request's body.
	answer http.HandlerFunc
}

func newFakeService(t testing.TB, hold chan struct{}) *fakeService {
	s := &fakeService{hold: hold}
	closed := make(chan struct{})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		if s.hold != nil {
			select {
			case <-s.hold:
			case <-closed:
			}
		}
		if s.answer != nil {
			s.answer(w, r)
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(func() {
		close(closed)
		s.Close()
	})
	return s
}

func serviceSettings(url string) settings.Target {
	s := engineSettings("")
	s.Engine = nil
	s.Service = &settings.Service{Name: "orders", URL: url, Slots: 1, QueueSize: 1}
	s.SetDefaults()
	return s
}

func callRequest(h *harness, edit func(*peerpb.CallRequest)) *peerpb.CallRequest {
	req := &peerpb.CallRequest{
		Request: testRequest, Service: "orders", Method: http.MethodPost, Path: "/mast-chains", Body: []byte("one"),
		ClaimedIncarnation: int64(h.process.Incarnation()),
	}
	if edit != nil {
		edit(req)
	}
	return req
}

func (h *harness) call(ctx context.Context, edit func(*peerpb.CallRequest)) string {
	reply, err := h.client.Call(ctx, callRequest(h, edit))
	if err != nil {
		return "lost"
	}
	return reply.Outcome
}

func (h *harness) fence(ctx context.Context, claimed id.Incarnation) *peerpb.CallReply {
	reply, err := h.client.FenceCall(ctx, &peerpb.FenceCallRequest{Request: testRequest, ClaimedIncarnation: int64(claimed)})
	is.New(h.t).NoErr(err)
	return reply
}

func TestCall(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, nil)
	s.answer = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Foxtailward-Seen", r.Header.Get("Foxtailward-Request"))
		w.WriteHeader(http.StatusTeapot)
	}
	h := newHarness(t, serviceSettings(s.URL), target.Deps{})
	reply, err := h.client.Call(t.Context(), callRequest(h, nil))
	is.NoErr(err)
	is.Equal(reply.Outcome, "done")
	is.Equal(reply.Status, int32(http.StatusTeapot))
	is.True(strings.Contains(reply.String(), testRequest)) // the service received the request's id
	is.Equal(reply.Load.Service, "orders")
	is.Equal(h.call(t.Context(), nil), "done") // the repeated call gets the stored reply
	is.Equal(s.runs.Load(), int64(1))
	is.Equal(h.call(t.Context(), func(r *peerpb.CallRequest) { r.Repeatable = true }), "done")
	is.Equal(s.runs.Load(), int64(2)) // a repeatable call runs each time
	is.Equal(h.call(t.Context(), func(r *peerpb.CallRequest) { r.Service = "parts"; r.Request = "ans-00000000-01" }), "notRun")
	is.Equal(h.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "x" }), "notRun")
	is.Equal(s.runs.Load(), int64(2))
}

// TestCallCrashes ends the entry, the target process or the service at each
// step of a call, and checks that the service runs the call at most once.
func TestCallCrashes(t *testing.T) {
	t.Run("entry before the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(h.fence(t.Context(), h.process.Incarnation()).Outcome, "notRun")
		is.Equal(h.call(t.Context(), nil), "notRun") // the call arrives after the fence
		is.Equal(s.runs.Load(), int64(0))
	})
	t.Run("entry while the service runs the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, make(chan struct{}))
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		ctx, disconnect := context.WithCancel(t.Context())
		first := make(chan string, 1)
		go func() { first <- h.call(ctx, nil) }()
		h.eventually(func() bool { return s.runs.Load() == 1 })
		disconnect()
		is.Equal(<-first, "lost")
		fenced := make(chan *peerpb.CallReply, 1)
		go func() { fenced <- h.fence(t.Context(), h.process.Incarnation()) }()
		second := make(chan string, 1)
		go func() { second <- h.call(t.Context(), nil) }()
		s.hold <- struct{}{}
		reply := <-fenced
		is.Equal(reply.Outcome, "done") // the fence waited for the outcome
		is.Equal(string(reply.Body), "one")
		is.Equal(<-second, "done")
		is.Equal(s.runs.Load(), int64(1))
	})
	t.Run("entry while the call waits for a slot", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, make(chan struct{}))
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		other := make(chan string, 1)
		go func() { other <- h.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "ans-00000000-01" }) }()
		h.eventually(func() bool { return s.runs.Load() == 1 })
		waiting := make(chan string, 1)
		go func() { waiting <- h.call(t.Context(), nil) }()
		h.eventually(func() bool { return h.process.Report().Queued == 1 })
		is.Equal(h.fence(t.Context(), h.process.Incarnation()).Outcome, "notRun")
		is.Equal(<-waiting, "notRun")
		s.hold <- struct{}{}
		is.Equal(<-other, "done")
		is.Equal(s.runs.Load(), int64(1))
		h.eventually(func() bool { return h.process.Report().Running == 0 && h.process.Report().Queued == 0 })
	})
	t.Run("service before the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		s.Close()
		is.Equal(h.call(t.Context(), nil), "notRun") // no connection was made
		is.Equal(h.call(t.Context(), nil), "notRun") // a later attempt gets the same outcome
	})
	t.Run("service in the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		s.answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(h.call(t.Context(), nil), "unknown")
		is.Equal(h.call(t.Context(), nil), "unknown")
		is.Equal(h.fence(t.Context(), h.process.Incarnation()).Outcome, "unknown")
		is.Equal(s.runs.Load(), int64(1)) // the call was not retried, not even on another connection
	})
	t.Run("service in its reply", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		s.answer = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(h.call(t.Context(), nil), "unknown")
		is.Equal(s.runs.Load(), int64(1))
	})
	t.Run("target process after the claim", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		claimed := h.process.Incarnation() - 1
		is.Equal(h.fence(t.Context(), claimed).Outcome, "unknown")
		old := func(r *peerpb.CallRequest) { r.ClaimedIncarnation = int64(claimed) }
		is.Equal(h.call(t.Context(), old), "notRun")
		is.Equal(h.fence(t.Context(), claimed).Outcome, "unknown")
		is.Equal(s.runs.Load(), int64(0))
	})
	t.Run("target process in the call", func(t *testing.T) {
		is := is.New(t)
		hold := make(chan struct{})
		s := newFakeService(t, hold)
		h := newHarness(t, serviceSettings(s.URL), target.Deps{})
		first := make(chan string, 1)
		go func() { first <- h.call(t.Context(), nil) }()
		h.eventually(func() bool { return s.runs.Load() == 1 })
		names := h.process.Abort()
		is.Equal(names, []string{testRequest + " call (running)"})
		is.Equal(<-first, "unknown")
		close(hold)
		is.Equal(s.runs.Load(), int64(1))
	})
}

func TestCallDrain(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, make(chan struct{}))
	h := newHarness(t, serviceSettings(s.URL), target.Deps{})
	first := make(chan string, 1)
	go func() { first <- h.call(t.Context(), nil) }()
	h.eventually(func() bool { return s.runs.Load() == 1 })
	h.stop()
	h.eventually(func() bool { return len(h.process.Pending()) == 1 && h.process.Report().State == "leaving" })
	h.advance(20 * time.Second)
	is.Equal(h.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "ans-00000000-01" }), "notRun")
	s.hold <- struct{}{}
	is.Equal(<-first, "done") // the drain did not abort the call
	is.NoErr(h.waitEnd())
}

func TestCallDeadline(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, make(chan struct{}))
	h := newHarness(t, serviceSettings(s.URL), target.Deps{})
	deadline := func(request string) func(*peerpb.CallRequest) {
		return func(r *peerpb.CallRequest) {
			r.Request, r.DeadlineUnixMs = request, (startUnix+5)*1000
		}
	}
	first, second := make(chan string, 1), make(chan string, 1)
	go func() { first <- h.call(t.Context(), deadline(testRequest)) }()
	h.eventually(func() bool { return s.runs.Load() == 1 })
	go func() { second <- h.call(t.Context(), deadline("ans-00000000-01")) }()
	h.eventually(func() bool { return h.process.Report().Queued == 1 })
	h.advance(6 * time.Second)
	is.Equal(<-second, "notRun") // the call was queued until its deadline
	h.advance(30 * time.Second)
	is.Equal(<-first, "unknown") // the service ran the call past the grace period
	close(s.hold)
	is.Equal(s.runs.Load(), int64(1))
}
