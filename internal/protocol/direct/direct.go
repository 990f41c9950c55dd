// Package direct holds the messages between clients, an entry and the targets
// that it reaches directly: any method, path and body, with typed notes beside
// them. How the notes are spelled in HTTP headers is a Dialect's matter.
//
// # Usage
//
//	ask, err := dialect.Ask(r.Header)
//	dialect.Strip(h)
//	dialect.Tell(h, direct.Order{Left: left, Target: t.ID})
//	note := dialect.Note(res.Header)
package direct

import (
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// AttemptID identifies one attempt of a client. The client makes it; an answer
// to the attempt repeats it.
type AttemptID string

// EventID is the id of an event in a stream. It rises within a stream; empty
// means before the first event.
type EventID string

// RequestMetadata is what a client says beside its request.
type RequestMetadata struct {
	Attempt AttemptID
	// Timeout is how long the client waits; 0 where it does not say.
	Timeout time.Duration
	Key     catalog.Key
	// LastEventID is the last event that the client has, when it goes on with a
	// stream.
	LastEventID EventID
	// PromptTokens and OutputTokens are the size of a generation; the second is
	// a bound.
	PromptTokens int
	OutputTokens int
	// PromptID names the part of the prompt that is the request's own; empty where
	// the client does not say.
	PromptID string
}

// ForwardMetadata is what an entry tells a target beside a request.
type ForwardMetadata struct {
	// Timeout is how long the target may work.
	Timeout time.Duration
	// Target is the target that is meant; any other one refuses.
	Target  id.Target
	Account catalog.AccountName
	// Priority is the rank of the request at an engine; 0 is the most urgent. Nil
	// leaves it to the engine.
	Priority *int
	// LastEventID is the last event that the client has.
	LastEventID EventID
	// BackupAddress is the address of the engine that gets a copy of the run's
	// memory while it grows; empty for none.
	BackupAddress string
	// ResumeFrom is the copy of a lost run's memory that the target holds, from
	// which the run goes on; the zero value for none.
	ResumeFrom CopyRef
}

// CopyRef names a copy of a run's memory.
type CopyRef struct {
	// Address is the engine at which the copy is registered, as IP:PORT.
	Address string
	// Handle names the copy there.
	Handle string
}

// ResponseMetadata is what a target says beside its answer.
type ResponseMetadata struct {
	Attempt AttemptID
	// Signed says that the answer carries the target's signature.
	Signed bool
	// NotRun says that the target did not run the request and never will.
	NotRun bool
}

// Call is a call to a target itself.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Identity is what a target says of itself.
type Identity struct {
	Target id.Target
	Slots  int
}

// Dialect reads and writes the notes in HTTP headers. All fields are set.
type Dialect struct {
	// DecodeRequest reads a client's notes.
	DecodeRequest func(h http.Header) RequestMetadata
	// Strip removes from a client's headers what only an entry may set and
	// what targets must not see.
	Strip func(h http.Header)
	// EncodeForward writes an entry's notes.
	EncodeForward func(h http.Header, o ForwardMetadata)
	// DecodeResponse reads a target's notes.
	DecodeResponse func(status int, h http.Header) ResponseMetadata
	// DecodeIdentity reads which target answered a health check, and reports whether it
	// told enough.
	DecodeIdentity func(status int, h http.Header) (Identity, bool)
	// FreeCopyCall returns the call that frees a copy, at the engine that made it.
	FreeCopyCall func(handle string) Call
	// EncodeRefusal adds to the headers of an answer of the entry's own which attempt
	// it answers.
	EncodeRefusal func(h http.Header, attempt AttemptID)
	// CopyCall returns the call that makes a running engine copy a run's memory
	// to the engine at the address while the run goes on. A second call for the
	// same run copies what is new.
	CopyCall func(run AttemptID, to string) (Call, error)
	// DecodeCopyHandle reads the handle of the copy from the answer.
	DecodeCopyHandle func(status int, body []byte) (string, error)
	// ReadyPath is where the platform asks whether an entry takes work.
	ReadyPath string
}
