// Package direct defines the messages between clients, an entry, and the targets
// that the entry reaches directly. Requests have any method, path and body;
// their metadata is typed. A Dialect translates the metadata from and to HTTP
// headers. The package also defines the messages that such entries send to each
// other.
//
// # Usage
//
//	meta := dialect.DecodeRequest(r.Header)
//	dialect.Strip(h)
//	dialect.EncodeForward(h, direct.ForwardMetadata{Timeout: timeout, Target: t.ID})
//	response := dialect.DecodeResponse(res.StatusCode, res.Header)
package direct

import (
	"net/http"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/coordination/targetlimit"
	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/id"
)

// AttemptID identifies one attempt of a client. The client chooses it, and the
// answer to the attempt repeats it.
type AttemptID string

// EventID is the id of an event in a stream. Ids increase within a stream. The
// empty id stands for the position before the first event.
type EventID string

// RequestMetadata is what a client's headers say about its request.
type RequestMetadata struct {
	Attempt AttemptID
	// Timeout is how long the client waits; 0 if the client does not say.
	Timeout time.Duration
	Key     catalog.Key
	// LastEventID is the last event that the client has received, if it resumes a
	// stream.
	LastEventID EventID
	// Resumes is the attempt that brought the first event of the stream that the client
	// resumes; empty if the client does not say.
	Resumes AttemptID
	// PromptTokens and OutputTokens are the size of a generation. OutputTokens is
	// an upper limit.
	PromptTokens int
	OutputTokens int
	// PromptParts are the parts of the prompt, in order. Requests share parts; the last
	// one is specific to this request or its session. Empty if the client does not say.
	PromptParts []PartID
}

// PartID identifies a part of a prompt by its content.
type PartID string

// OwnPart returns the part of the prompt that is specific to this request; empty if the
// client does not say.
func (m *RequestMetadata) OwnPart() PartID {
	if len(m.PromptParts) == 0 {
		return ""
	}
	return m.PromptParts[len(m.PromptParts)-1]
}

// SharedParts returns the parts of the prompt that other requests may have too.
func (m *RequestMetadata) SharedParts() []PartID {
	return m.PromptParts[:max(0, len(m.PromptParts)-1)]
}

// ForwardMetadata is what an entry sends to a target with a request.
type ForwardMetadata struct {
	// Timeout is how long the target may work on the request.
	Timeout time.Duration
	// Target is the target that the request is for. Any other target refuses it.
	Target  id.Target
	Account catalog.AccountName
	// Priority is the priority of the request at an engine; 0 is the most urgent.
	// If it is nil, the engine chooses one.
	Priority *int
	// LastEventID is the last event that the client has received.
	LastEventID EventID
	// BackupAddress is the address of the engine to which the run's memory is
	// continuously copied; empty for none.
	BackupAddress string
	// ResumeFrom is the copy of a lost run's memory that the target holds and from
	// which it resumes the run; zero for none.
	ResumeFrom CopyRef
}

// CopyRef refers to a copy of a run's memory.
type CopyRef struct {
	// Address is the IP:PORT of the engine at which the copy is registered.
	Address string
	// Handle identifies the copy at that engine.
	Handle string
}

// ResponseMetadata is what a target's headers say about its answer.
type ResponseMetadata struct {
	Attempt AttemptID
	// Signed is set if the answer carries the target's signature.
	Signed bool
	// NotRun is set if the target did not execute the request and never will.
	NotRun bool
	// Limit is the limit that the target names.
	Limit Limit
	// Notice is what the target says about further requests.
	Notice Notice
	// Load is what the target says about its load; nil if it says nothing.
	Load *TargetLoad
}

// TargetLoad is what a target says about its load.
type TargetLoad = balance.TargetLoad

// VersionReport says which versions of targets' software have served recently.
type VersionReport = origin.Report

// Notice is what a target says about further requests.
type Notice = withdrawal.Notice

// Limit is the rate of requests that a target takes from all entries together, if it
// names one.
type Limit = targetlimit.Named

// PerSecond is the unit of a Limit.
type PerSecond = targetlimit.PerSecond

// Call is a request of the entry itself to a target.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// TargetReport is what a target reports about its process.
type TargetReport struct {
	Incarnation id.Incarnation
	// Leaving says that the process is about to end.
	Leaving bool
}

// Identity is what a target reports about itself.
type Identity struct {
	Target id.Target
	Slots  int
}

// Dialect translates metadata from and to HTTP headers. All fields are required.
type Dialect struct {
	// DecodeRequest reads a client's metadata.
	DecodeRequest func(h http.Header) RequestMetadata
	// Strip removes the headers from a client's request that only an entry may set
	// or that targets must not see.
	Strip func(h http.Header)
	// EncodeForward writes an entry's metadata for a target.
	EncodeForward func(h http.Header, m ForwardMetadata)
	// DecodeResponse reads a target's metadata.
	DecodeResponse func(status int, h http.Header) ResponseMetadata
	// DecodeIdentity reads the answer to a health check. It returns false if the
	// answer does not identify the target.
	DecodeIdentity func(status int, h http.Header) (Identity, bool)
	// DecodeName reads only the target's name from such an answer, because some targets don't
	// report their slots.
	DecodeName func(status int, h http.Header) (id.Target, bool)
	// ReportCall returns the call that requests a report from a target about itself, and
	// DecodeReport reads the answer. It returns false if that does not tell when the target's
	// process started.
	ReportCall   func() Call
	DecodeReport func(body []byte) (TargetReport, bool)
	// FreeCopyCall returns the call that frees a copy. It is sent to the engine
	// that made the copy.
	FreeCopyCall func(handle string) Call
	// EncodeRefusal writes the attempt's id to the headers of an error answer that
	// the entry itself gives.
	EncodeRefusal func(h http.Header, attempt AttemptID)
	// CopyCall returns the call that makes a running engine copy a run's memory to
	// the engine at the address while the run continues. A second call for the
	// same run copies only what is new.
	CopyCall func(run AttemptID, to string) (Call, error)
	// DecodeCopyHandle reads the handle of the copy from the answer to a CopyCall.
	DecodeCopyHandle func(status int, body []byte) (string, error)
	// ReadyPath is the path of the readiness check.
	ReadyPath string
}
