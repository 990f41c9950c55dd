package direct_test

import (
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
