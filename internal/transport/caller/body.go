package caller

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/contract"
)

// A JSON string can take six bytes for one, and a request has other fields
// than its prompt.
const (
	maxEscapeFactor  = 6
	otherFieldsBytes = 64 << 10
	retryBodies      = time.Second
)

// budget bounds the memory of the bodies that are being read.
type budget struct {
	limit int64
	used  atomic.Int64
}

func (b *budget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.used.Add(-n) }

// promptLimit returns the largest body of a request for a generation.
func (a *api) promptLimit(c *contract.Contract) int64 {
	return min(a.cfg.MaxBodyBytes, maxEscapeFactor*int64(c.Limits.PromptBytes)+otherFieldsBytes)
}

// readBody reads a body of at most limit bytes within the body timeout.
func (a *api) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *answer.Refusal) {
	size := r.ContentLength
	if size > limit {
		a.discard(r.Body)
		return nil, answer.NewRefusal(answer.CauseTooLarge, "the body has %d bytes; want at most %d", size, limit)
	}
	if size < 0 {
		size = limit
	}
	if !a.bodies.take(size) {
		refusal := answer.NewRefusal(answer.CauseOverload, "too many requests are being read")
		refusal.RetryAfter = retryBodies
		return nil, refusal
	}
	defer a.bodies.give(size)

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		a.discard(r.Body)
		return nil, bodyRefusal(err, limit)
	}
	a.endRead(w)
	return body, nil
}

// discard reads on for a while, because a caller that still writes when its
// connection is closed would not see the refusal.
func (a *api) discard(body io.Reader) {
	// The refusal follows whether or not the rest can be read.
	_, _ = io.CopyN(io.Discard, body, a.cfg.MaxBodyBytes)
}

func bodyRefusal(err error, limit int64) *answer.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return answer.NewRefusal(answer.CauseTooLarge, "the body has more than %d bytes", limit)
	}
	return answer.NewRefusal(answer.CauseInvalid, "the body did not arrive whole and in time")
}
