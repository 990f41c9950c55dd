package inbound

import (
	"net/http"

	"foxtailward.example/foxtailward/internal/coordination/clientlimit"
)

// head counts the bytes and lines of a request's head as they arrive, including the empty
// lines before it.
type head struct {
	bytes, lines int
	// column is the number of bytes of the current line, without carriage returns.
	column int
	// begun is set once a line was not empty, and complete at the empty line after that.
	begun, complete bool
}

// add counts bytes up to the end of the head. What follows belongs to the body.
func (h *head) add(data []byte) {
	for _, b := range data {
		if h.complete {
			return
		}
		h.bytes++
		switch b {
		case '\r':
		case '\n':
			h.complete = h.begun && h.column == 0
			h.begun = h.begun || h.column > 0
			h.lines++
			h.column = 0
		default:
			h.column++
		}
	}
}

func (h *head) cost() clientlimit.Bytes { return clientlimit.HeadCost(h.bytes, h.lines) }

// requestCost returns the cost of a head that has been read.
func requestCost(r *http.Request) clientlimit.Bytes {
	bytes, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
			lines++
		}
	}
	return clientlimit.HeadCost(bytes, lines)
}
