package direct_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestOperationsPage plays the failed requests of docs/OPERATIONS.md and finds
// their causes by the page's steps: the lines of the request's id, in order.
func TestOperationsPage(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		target http.HandlerFunc
		crash  bool
		events []string
		// says is what the lines tell of the cause.
		says []string
	}{
		{
			name: "a stream that broke off", path: "/r/x", target: breaks(7),
			events: []string{"requestAccepted", "sendEnded", "requestFailed"},
			says:   []string{"outcome=lost", "reason=streamBroken", "lastEvent=7"},
		},
		{
			name: "a refusal", path: "/u/x", target: hang, crash: true,
			events: []string{"requestAccepted", "sendEnded", "requestRefused"},
			says:   []string{"outcome=unreached", "status=503", "reason=noTarget"},
		},
		{
			name: "an unsafe call with unknown outcome", path: "/u/x", target: cut,
			events: []string{"requestAccepted", "sendEnded", "requestFailed"},
			says:   []string{"outcome=lost", "target=t1", "status=502", "reason=targetLost", "sends=1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, func(w *world) {
				w.target("t1", "10.0.1.1:80", "a", tt.target)
				w.start()
				if tt.crash {
					w.crash("10.0.1.1:80")
				}
				w.ask("POST", tt.path, "a1", "body")
				names, text := w.log.of("a1")
				w.is.Equal(names, tt.events)
				for _, said := range tt.says {
					w.is.True(strings.Contains(text, said)) // the cause can be told from the lines
				}
			})
		})
	}
}

// metrics reads the entry's metrics as a scraper does.
func (w *world) metrics() string {
	conn, err := w.net.Dial(w.t.Context(), scrapes)
	w.is.NoErr(err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n") }()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	w.is.NoErr(err)
	text, err := io.ReadAll(res.Body)
	w.is.NoErr(err)
	return string(text)
}

// The metrics tell what became of requests, and of the sends to targets.
func TestMetrics(t *testing.T) {
	play(t, func(w *world) {
		w.target("t1", "10.0.1.1:80", "a", cut)
		w.target("t2", "10.0.2.1:80", "b", reply(http.StatusOK, "fine", "Signed", "yes"))
		w.start()
		w.is.Equal(w.ask("POST", "/s/x", "a1", "body").status, http.StatusOK)
		w.is.Equal(w.ask("POST", "/nowhere", "a2", "body").status, http.StatusNotFound)
		text := w.metrics()
		for _, want := range []string{
			`foxtailward_requests_total{route="s",kind="safe",outcome="answered"} 1`,
			`foxtailward_requests_total{route="none",kind="none",outcome="noRoute"} 1`,
			`foxtailward_refusals_total{status="404",reason="noRoute"} 1`,
			`foxtailward_sends_not_good_total{target="t1",outcome="lost"} 1`,
			`foxtailward_send_seconds_count{service="m",outcome="good"} 1`,
			`foxtailward_answer_seconds_count{route="s",kind="safe"} 1`,
			`foxtailward_store_call_seconds_count{call="list",outcome="good"} 2`,
			"foxtailward_config_version 1",
			"foxtailward_config_age_seconds 0",
			"foxtailward_log_lines_dropped 0",
		} {
			w.is.True(strings.Contains(text, want+"\n"))
		}
	})
}
