package direct_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestOperationsPage reproduces the failed requests of docs/OPERATIONS.md and
// diagnoses them as the page describes, from the log lines with the request's
// id.
func TestOperationsPage(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		target http.HandlerFunc
		crash  bool
		events []string
		// cause holds what the log lines must say about the cause.
		cause []string
	}{
		{
			name: "a stream that broke off", path: "/r/x", target: breakAfter(7),
			events: []string{"requestAccepted", "versionSaved", "streamOrigin", "targetEndSeen", "sendEnded", "requestFailed"},
			cause:  []string{"source=record", "outcome=lost", "reason=streamBroken", "lastEvent=7", "fingerprint=", "ends=1"},
		},
		{
			name: "a refusal", path: "/u/x", target: hang, crash: true,
			events: []string{"requestAccepted", "sendEnded", "requestRefused"},
			cause:  []string{"outcome=unreached", "status=503", "reason=noTarget"},
		},
		{
			name: "an unsafe call with unknown outcome", path: "/u/x", target: dropConn,
			events: []string{"requestAccepted", "targetEndSeen", "sendEnded", "requestFailed"},
			cause:  []string{"outcome=lost", "target=t1", "status=502", "reason=targetLost", "sends=1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.target("t1", "10.0.1.1:80", "a", tt.target)
				env.start()
				if tt.crash {
					env.crash("10.0.1.1:80")
				}
				env.do("POST", tt.path, "a1", "body")
				names, text := env.log.linesOf("a1")
				env.is.Equal(names, tt.events)
				for _, want := range tt.cause {
					env.is.True(strings.Contains(text, want)) // the log lines tell the cause
				}
			})
		})
	}
}

// metrics scrapes the entry's metrics.
func (env *testEnv) metrics() string {
	conn, err := env.net.Dial(env.t.Context(), metricsAddress)
	env.is.NoErr(err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n") }()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	env.is.NoErr(err)
	text, err := io.ReadAll(res.Body)
	env.is.NoErr(err)
	return string(text)
}

// The metrics must count requests and attempts by outcome.
func TestMetrics(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", dropConn)
		env.target("t2", "10.0.2.1:80", "b", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		env.is.Equal(env.do("POST", "/s/x", "a1", "body").status, http.StatusOK)
		env.is.Equal(env.do("POST", "/nowhere", "a2", "body").status, http.StatusNotFound)
		text := env.metrics()
		for _, want := range []string{
			`foxtailward_requests_total{route="s",kind="safe",outcome="answered"} 1`,
			`foxtailward_requests_total{route="none",kind="none",outcome="noRoute"} 1`,
			`foxtailward_refusals_total{status="404",reason="noRoute"} 1`,
			`foxtailward_sends_not_good_total{target="t1",outcome="lost"} 1`,
			`foxtailward_target_ends_seen_total{outcome="lost",reason="lost"} 1`,
			`foxtailward_requests_cleared_total{outcome="good"} 1`,
			`foxtailward_send_seconds_count{service="m",outcome="good"} 1`,
			`foxtailward_answer_seconds_count{route="s",kind="safe"} 1`,
			`foxtailward_store_call_seconds_count{call="list",outcome="good"} 2`,
			"foxtailward_config_version 1",
			"foxtailward_config_age_seconds 0",
			"foxtailward_log_lines_dropped 0",
		} {
			env.is.True(strings.Contains(text, want+"\n"))
		}
	})
}
