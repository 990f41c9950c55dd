package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Headers of the callers' API.
const (
	headerRequest     = "Foxtailward-Request"
	headerTimeout     = "Foxtailward-Timeout"
	headerRestart     = "Foxtailward-Restart"
	headerRepeatable  = "Foxtailward-Repeatable"
	headerKey         = "Idempotency-Key"
	headerLastEventID = "Last-Event-ID"
	ownHeaderPrefix   = "Foxtailward-"
)

const (
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxLineageBytes is the maximum length of a lineage in an event id.
	maxLineageBytes = 64
)

// options holds what a caller requests in headers.
type options struct {
	key            string
	deadline       time.Time
	restartAllowed bool
	// atMostOnce is set if the call must not be repeated.
	atMostOnce bool
	// from is the position after the text that the caller already has.
	from position
}

func (a *api) options(h http.Header) (options, *answer.Refusal) {
	var o options
	var refusal *answer.Refusal
	if o.key, refusal = idempotencyKey(h); refusal != nil {
		return o, refusal
	}
	if o.deadline, refusal = a.deadline(h.Get(headerTimeout)); refusal != nil {
		return o, refusal
	}
	if o.from, refusal = parsePosition(h.Get(headerLastEventID)); refusal != nil {
		return o, refusal
	}
	switch v := h.Get(headerRestart); v {
	case "":
	case "allow":
		o.restartAllowed = true
	default:
		return o, answer.NewRefusal(answer.CauseInvalid, "%s is %q; want allow", headerRestart, v)
	}
	switch v := h.Get(headerRepeatable); v {
	case "", "true":
	case "false":
		o.atMostOnce = true
	default:
		return o, answer.NewRefusal(answer.CauseInvalid, "%s is %q; want true or false", headerRepeatable, v)
	}
	return o, nil
}

// idempotencyKey returns the idempotency key, or "" if there is none. The key must
// be visible ASCII.
func idempotencyKey(h http.Header) (string, *answer.Refusal) {
	values := h.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", answer.NewRefusal(answer.CauseInvalid, "%s is wrong; want one of 1 to %d characters", headerKey, maxIdempotencyKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", answer.NewRefusal(answer.CauseInvalid, "%s holds a character that is not visible ASCII", headerKey)
		}
	}
	return key, nil
}

func (a *api) deadline(value string) (time.Time, *answer.Refusal) {
	if value == "" {
		return time.Time{}, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > a.cfg.MaxTimeout {
		return time.Time{}, answer.NewRefusal(answer.CauseInvalid, "%s is %q; want a time such as 30s, at most %s", headerTimeout, value, a.cfg.MaxTimeout)
	}
	return a.deps.Clock.Now().Add(d), nil
}

// position is the position after the text that a caller already has.
type position struct {
	lineage id.Lineage
	next    id.TokenIndex
}

// parsePosition parses an event id. An empty id is the start of any lineage.
func parsePosition(value string) (position, *answer.Refusal) {
	if value == "" {
		return position{}, nil
	}
	malformed := answer.NewRefusal(answer.CauseInvalid, "%s is malformed; want the id of an event of this answer", headerLastEventID)
	lineage, index, ok := strings.Cut(value, ":")
	if !ok || !validLineage(lineage) {
		return position{}, malformed
	}
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil || strconv.FormatUint(n, 10) != index {
		return position{}, malformed
	}
	return position{lineage: id.Lineage(lineage), next: id.TokenIndex(n)}, nil
}

func validLineage(s string) bool {
	if s == "" || len(s) > maxLineageBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
