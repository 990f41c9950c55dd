// Package completion names what shows that the answer of a target is complete.
//
// An answer with a length or chunks shows its own end. One without ends with its connection,
// which also ends when the target's process does.
//
// # Usage
//
//	framing := completion.FramingOf(res)
//	if framing == completion.Connection { … look for other evidence … }
package completion

import "net/http"

// Framing is what marks the end of an answer.
type Framing string

// Framings.
const (
	// Length means that the head names the length of the body.
	Length Framing = "length"
	// Chunks means that the last chunk ends the body.
	Chunks Framing = "chunks"
	// Connection means that nothing but the end of the connection ends the body.
	Connection Framing = "connection"
)

// FramingOf returns the framing of an answer whose head has been read.
func FramingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return Chunks
	case res.ContentLength >= 0:
		return Length
	}
	return Connection
}

// Evidence is what showed that an answer is complete.
type Evidence string

// Kinds of evidence.
const (
	// NoEvidence means that nothing has shown it.
	NoEvidence Evidence = "none"
	// ByFraming means that the answer itself marked its end.
	ByFraming Evidence = "framing"
	// ByReport means that the target answered a question after the end.
	ByReport Evidence = "report"
)
