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

// fakeService counts its runs, and waits in each for a value of hold.
type fakeService struct {
	*httptest.Server
	runs atomic.Int64
	hold chan struct{}
	// answer is what a run does; nil answers with the request's body.
	answer http.HandlerFunc
}

func newFakeService(t testing.TB, hold chan struct{}) *fakeService {
	s := &fakeService{hold: hold}
	over := make(chan struct{})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		if s.hold != nil {
			select {
			case <-s.hold:
			case <-over:
			}
		}
		if s.answer != nil {
			s.answer(w, r)
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(func() {
		close(over)
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

func callRequest(b *bench, edit func(*peerpb.CallRequest)) *peerpb.CallRequest {
	req := &peerpb.CallRequest{
		Request: testRequest, Service: "orders", Method: http.MethodPost, Path: "/mast-chains", Body: []byte("one"),
		ClaimedIncarnation: int64(b.process.Incarnation()),
	}
	if edit != nil {
		edit(req)
	}
	return req
}

func (b *bench) call(ctx context.Context, edit func(*peerpb.CallRequest)) string {
	reply, err := b.client.Call(ctx, callRequest(b, edit))
	if err != nil {
		return "lost"
	}
	return reply.Outcome
}

func (b *bench) fence(ctx context.Context, claimed id.Incarnation) *peerpb.CallReply {
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
	b := newBench(t, serviceSettings(s.URL), target.Deps{})
	reply, err := b.client.Call(t.Context(), callRequest(b, nil))
	is.NoErr(err)
	is.Equal(reply.Outcome, "done")
	is.Equal(reply.Status, int32(http.StatusTeapot))
	is.True(strings.Contains(reply.String(), testRequest)) // the service was told the request's id
	is.Equal(reply.Load.Service, "orders")
	is.Equal(b.call(t.Context(), nil), "done") // the same call again gets the kept reply
	is.Equal(s.runs.Load(), int64(1))
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Repeatable = true }), "done")
	is.Equal(s.runs.Load(), int64(2)) // a repeatable call runs each time
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Service = "parts"; r.Request = "ans-00000000-01" }), "notRun")
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "x" }), "notRun")
	is.Equal(s.runs.Load(), int64(2))
}

// TestCallCrashes goes through the points at which the entry, the target
// process or the service can end, and counts the runs at the service.
func TestCallCrashes(t *testing.T) {
	t.Run("entry before the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(b.fence(t.Context(), b.process.Incarnation()).Outcome, "notRun")
		is.Equal(b.call(t.Context(), nil), "notRun") // the call comes late
		is.Equal(s.runs.Load(), int64(0))
	})
	t.Run("entry while the service runs the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, make(chan struct{}))
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
		ctx, die := context.WithCancel(t.Context())
		first := make(chan string, 1)
		go func() { first <- b.call(ctx, nil) }()
		b.eventually(func() bool { return s.runs.Load() == 1 })
		die()
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
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
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
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
		s.Close()
		is.Equal(b.call(t.Context(), nil), "notRun") // no connection was made
		is.Equal(b.call(t.Context(), nil), "notRun") // and it is refused for good
	})
	t.Run("service in the call", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		s.answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(b.call(t.Context(), nil), "unknown")
		is.Equal(b.call(t.Context(), nil), "unknown")
		is.Equal(b.fence(t.Context(), b.process.Incarnation()).Outcome, "unknown")
		is.Equal(s.runs.Load(), int64(1)) // it was not tried again, not even on another connection
	})
	t.Run("service in its reply", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		s.answer = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		}
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
		is.Equal(b.call(t.Context(), nil), "unknown")
		is.Equal(s.runs.Load(), int64(1))
	})
	t.Run("target process after the claim", func(t *testing.T) {
		is := is.New(t)
		s := newFakeService(t, nil)
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
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
		b := newBench(t, serviceSettings(s.URL), target.Deps{})
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
	b := newBench(t, serviceSettings(s.URL), target.Deps{})
	first := make(chan string, 1)
	go func() { first <- b.call(t.Context(), nil) }()
	b.eventually(func() bool { return s.runs.Load() == 1 })
	b.stop()
	b.eventually(func() bool { return len(b.process.Pending()) == 1 && b.process.Report().State == "leaving" })
	b.advance(20 * time.Second)
	is.Equal(b.call(t.Context(), func(r *peerpb.CallRequest) { r.Request = "ans-00000000-01" }), "notRun")
	s.hold <- struct{}{}
	is.Equal(<-first, "done") // it was not cut
	is.NoErr(b.ended())
}

func TestCallLate(t *testing.T) {
	is := is.New(t)
	s := newFakeService(t, make(chan struct{}))
	b := newBench(t, serviceSettings(s.URL), target.Deps{})
	deadline := func(request string) func(*peerpb.CallRequest) {
		return func(r *peerpb.CallRequest) {
			r.Request, r.DeadlineUnixMs = request, (benchStart+5)*1000
		}
	}
	first, second := make(chan string, 1), make(chan string, 1)
	go func() { first <- b.call(t.Context(), deadline(testRequest)) }()
	b.eventually(func() bool { return s.runs.Load() == 1 })
	go func() { second <- b.call(t.Context(), deadline("ans-00000000-01")) }()
	b.eventually(func() bool { return b.process.Report().Queued == 1 })
	b.advance(6 * time.Second)
	is.Equal(<-second, "notRun") // it waited for a slot until its deadline
	b.advance(30 * time.Second)
	is.Equal(<-first, "unknown") // the service has had it for too long
	close(s.hold)
	is.Equal(s.runs.Load(), int64(1))
}
