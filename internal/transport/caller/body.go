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

// Limits for reading request bodies.
const (
	// maxEscapeFactor is the number of bytes that JSON can need for one byte of a
	// string, as in "\u0000".
	maxEscapeFactor = 6
	// otherFieldsBytes is the space for the fields besides the prompt.
	otherFieldsBytes = 64 << 10
	// bodyMemoryRetryAfter is how long a caller should wait when too many bodies are
	// being read.
	bodyMemoryRetryAfter = time.Second
)

// budget limits the memory used by the bodies that are being read.
type budget struct {
	limit int64
	used  atomic.Int64
}

func (b *budget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *budget) release(n int64) { b.used.Add(-n) }

// generationBodyLimit returns the maximum body size of a generation request.
func (a *api) generationBodyLimit(c *contract.Contract) int64 {
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
	if !a.bodyMemory.reserve(size) {
		refusal := answer.NewRefusal(answer.CauseOverload, "too many requests are being read")
		refusal.RetryAfter = bodyMemoryRetryAfter
		return nil, refusal
	}
	defer a.bodyMemory.release(size)

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		a.discard(r.Body)
		return nil, bodyRefusal(err, limit)
	}
	a.clearReadDeadline(w)
	return body, nil
}

// discard reads the rest of a body, up to a limit. If the connection were closed
// while the caller still writes, the caller would not see the refusal.
func (a *api) discard(body io.Reader) {
	// The refusal is sent even if the rest cannot be read.
	_, _ = io.CopyN(io.Discard, body, a.cfg.MaxBodyBytes)
}

func bodyRefusal(err error, limit int64) *answer.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return answer.NewRefusal(answer.CauseTooLarge, "the body has more than %d bytes", limit)
	}
	return answer.NewRefusal(answer.CauseInvalid, "the body did not arrive whole and in time")
}
