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

func callRequest(b *harness, edit func(*peerpb.CallRequest)) *peerpb.CallRequest {
	req := &peerpb.CallRequest{
		Request: testRequest, Service: "orders", Method: http.MethodPost, Path: "/mast-chains", Body: []byte("one"),
		ClaimedIncarnation: int64(b.process.Incarnation()),
	}
	if edit != nil {
		edit(req)
	}
	return req
}

func (b *harness) call(ctx context.Context, edit func(*peerpb.CallRequest)) string {
	reply, err := b.client.Call(ctx, callRequest(b, edit))
	if err != nil {
		return "lost"
	}
	return reply.Outcome
}

func (b *harness) fence(ctx context.Context, claimed id.Incarnation) *peerpb.CallReply {
	reply, err := b.client.FenceCall(ctx, &peerpb.FenceCallRequest{Request: testRequest, ClaimedIncarnation: int64(claimed)})
	is.New(b.t).NoErr(err)
	return reply
}

func TestCall(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, nil)
	s.answer = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Foxtailward-Seen", r.Header.Get("Foxtailward-Request"))
		w.WriteHeader(http.StatusTeapot)
	}
	b := newHarness(t, serviceSettings(s.URL), target.Deps{})
	reply, err := b.client.Call(t.Context(), callRequest(b, nil))
	is.NoErr(err)
	is.Equal(reply.Outcome, "done")
	is.Equal(reply.Status, int32(http.StatusTeapot))
	is.True(strings.Contains(reply.String(), testRequest)) // the service received the request's id
	is.Equal(reply.Load.Service, "orders")
	is.Equal(b.call(t.Context(), nil), "done") // the repeated call gets the stored reply
	is.Equal(s.runs.Load(), int64(1))
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Repeatable = true }), "done")
	is.Equal(s.runs.Load(), int64(2)) // a repeatable call runs each time
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Service = "parts"; r.Request = "ans-00000000-01" }), "notRun")
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "x" }), "notRun")
	is.Equal(s.runs.Load(), int64(2))
}

// TestCallCrashes ends the entry, the target process or the service at each
// step of a call, and checks that the service runs the call at most once.
func TestCallCrashes(t *testing.T) {
	t.Run("entry before the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(b.fence(t.Context(), b.process.Incarnation()).Outcome, "notRun")
		is.Equal(b.call(t.Context(), nil), "notRun") // the call arrives after the fence
		is.Equal(s.runs.Load(), int64(0))
	})
	t.Run("entry while the service runs the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, make(chan struct{}))
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		ctx, disconnect := context.WithCancel(t.Context())
		first := make(chan string, 1)
		go func() { first <- b.call(ctx, nil) }()
		b.eventually(func() bool { return s.runs.Load() == 1 })
		disconnect()
		is.Equal(<-first, "lost")
		fenced := make(chan *peerpb.CallReply, 1)
		go func() { fenced <- b.fence(t.Context(), b.process.Incarnation()) }()
		second := make(chan string, 1)
		go func() { second <- b.call(t.Context(), nil) }()
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
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		other := make(chan string, 1)
		go func() { other <- b.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "ans-00000000-01" }) }()
		b.eventually(func() bool { return s.runs.Load() == 1 })
		waiting := make(chan string, 1)
		go func() { waiting <- b.call(t.Context(), nil) }()
		b.eventually(func() bool { return b.process.Report().Queued == 1 })
		is.Equal(b.fence(t.Context(), b.process.Incarnation()).Outcome, "notRun")
		is.Equal(<-waiting, "notRun")
		s.hold <- struct{}{}
		is.Equal(<-other, "done")
		is.Equal(s.runs.Load(), int64(1))
		b.eventually(func() bool { return b.process.Report().Running == 0 && b.process.Report().Queued == 0 })
	})
	t.Run("service before the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		s.Close()
		is.Equal(b.call(t.Context(), nil), "notRun") // no connection was made
		is.Equal(b.call(t.Context(), nil), "notRun") // a later attempt gets the same outcome
	})
	t.Run("service in the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		s.answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(b.call(t.Context(), nil), "unknown")
		is.Equal(b.call(t.Context(), nil), "unknown")
		is.Equal(b.fence(t.Context(), b.process.Incarnation()).Outcome, "unknown")
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
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(b.call(t.Context(), nil), "unknown")
		is.Equal(s.runs.Load(), int64(1))
	})
	t.Run("target process after the claim", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		claimed := b.process.Incarnation() - 1
		is.Equal(b.fence(t.Context(), claimed).Outcome, "unknown")
		old := func(r *peerpb.CallRequest) { r.ClaimedIncarnation = int64(claimed) }
		is.Equal(b.call(t.Context(), old), "notRun")
		is.Equal(b.fence(t.Context(), claimed).Outcome, "unknown")
		is.Equal(s.runs.Load(), int64(0))
	})
	t.Run("target process in the call", func(t *testing.T) {
		is := is.New(t)
		hold := make(chan struct{})
		s := newFakeService(t, hold)
		b := newHarness(t, serviceSettings(s.URL), target.Deps{})
		first := make(chan string, 1)
		go func() { first <- b.call(t.Context(), nil) }()
		b.eventually(func() bool { return s.runs.Load() == 1 })
		names := b.process.Abort()
		is.Equal(names, []string{testRequest + " call (running)"})
		is.Equal(<-first, "unknown")
		close(hold)
		is.Equal(s.runs.Load(), int64(1))
	})
}

func TestCallDrain(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, make(chan struct{}))
	b := newHarness(t, serviceSettings(s.URL), target.Deps{})
	first := make(chan string, 1)
	go func() { first <- b.call(t.Context(), nil) }()
	b.eventually(func() bool { return s.runs.Load() == 1 })
	b.stop()
	b.eventually(func() bool { return len(b.process.Pending()) == 1 && b.process.Report().State == "leaving" })
	b.advance(20 * time.Second)
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "ans-00000000-01" }), "notRun")
	s.hold <- struct{}{}
	is.Equal(<-first, "done") // the drain did not abort the call
	is.NoErr(b.waitEnd())
}

func TestCallDeadline(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, make(chan struct{}))
	b := newHarness(t, serviceSettings(s.URL), target.Deps{})
	deadline := func(request string) func(*peerpb.CallRequest) {
		return func(r *peerpb.CallRequest) {
			r.Request, r.DeadlineUnixMs = request, (startUnix+5)*1000
		}
	}
	first, second := make(chan string, 1), make(chan string, 1)
	go func() { first <- b.call(t.Context(), deadline(testRequest)) }()
	b.eventually(func() bool { return s.runs.Load() == 1 })
	go func() { second <- b.call(t.Context(), deadline("ans-00000000-01")) }()
	b.eventually(func() bool { return b.process.Report().Queued == 1 })
	b.advance(6 * time.Second)
	is.Equal(<-second, "notRun") // the call was queued until its deadline
	b.advance(30 * time.Second)
	is.Equal(<-first, "unknown") // the service ran the call past the grace period
	close(s.hold)
	is.Equal(s.runs.Load(), int64(1))
}
