package releases

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/protocol/eventstream"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

const (
	// streamTimeout is how long a client waits for a stream, and maxAttempts how often it
	// tries.
	streamTimeout = 25 * time.Second
	maxAttempts   = 4
	retryPause    = 50 * time.Millisecond
	// settleTime is how long after its start an entry's attempts do not count.
	settleTime = 3 * time.Second
)

// stream is what a client holds of a stream.
type stream struct {
	name string
	// last is the last event, began the attempt that brought the first one, and software
	// its version.
	last     int
	began    direct.AttemptID
	software id.SoftwareVersion
	mixed    bool
}

// ask asks for a stream until the client has it whole.
func (r *run) ask(ctx context.Context, name string) {
	s := &stream{name: name}
	for attempt := range maxAttempts {
		resumes, before := s.last > 0, s.last
		serving := r.serving(s.software)
		entry := r.pickEntry()
		wait, reason := r.attempt(ctx, s, entry, direct.AttemptID(fmt.Sprintf("%s-%d", name, attempt)))
		counts := !resumes || min(serving, r.serving(s.software)) > 1
		r.countAttempt(entry, counts, resumes, s.last > before, reason)
		if s.last == streamEvents || !pause(ctx, min(wait, streamTimeout/3)) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Streams++
	if s.last == streamEvents {
		r.report.Complete++
	}
	if s.mixed {
		r.report.Mixed++
	}
}

// attempt sends the request once, and returns when to come back, and the reason of a
// refusal.
func (r *run) attempt(ctx context.Context, s *stream, entry *entry, attempt direct.AttemptID) (wait time.Duration, reason string) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostPort(entry.ip, clientPort)+streamPath+s.name, strings.NewReader(s.name))
	if err != nil {
		return retryPause, "invalid"
	}
	meta := direct.RequestMetadata{Attempt: attempt, Timeout: streamTimeout, PromptTokens: 100, OutputTokens: streamEvents, PromptParts: []direct.PartID{direct.PartID(s.name)}}
	if s.last > 0 {
		meta.LastEventID, meta.Resumes = direct.EventID(strconv.Itoa(s.last)), s.began
	}
	platform.EncodeRequestMetadata(req.Header, &meta)
	req.Host = routeHost
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return r.clients.Dial(ctx, address)
	}}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return retryPause, "noConnection"
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return max(retryPause, time.Duration(seconds*float64(time.Second))), strings.TrimSpace(string(body))
	}
	events := eventstream.NewReader(res.Body)
	for {
		next, err := events.Next()
		if err != nil {
			return retryPause, ""
		}
		s.receive(attempt, string(next.Raw))
	}
}

func (s *stream) receive(attempt direct.AttemptID, event string) {
	software := softwareOf(event)
	if s.last == 0 {
		s.began, s.software = attempt, software
	}
	s.last++
	s.mixed = s.mixed || software != s.software
}

// countAttempt counts an attempt that was sent to an entry that had served for a while.
func (r *run) countAttempt(e *entry, counts, resumes, gotEvent bool, reason string) {
	inTouch := e.inTouch()
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason != "" {
		r.report.Reasons[reason]++
	}
	got := 0
	if gotEvent {
		got = 1
	}
	switch {
	case !counts || !inTouch:
	case resumes:
		r.report.Resumed++
		r.report.WentOn += got
	default:
		r.report.Sent++
		r.report.Begun += got
	}
}
