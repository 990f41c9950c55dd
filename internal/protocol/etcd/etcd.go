// Package etcd defines the messages of the etcd v3 JSON gateway that foxtailward
// uses: ranges, transactions, watches and leases. The names are those of the
// gateway. In JSON, keys and values are base64 and 64-bit integers are strings.
//
// # Usage
//
//	POST /v3/kv/range         RangeRequest          → RangeResponse
//	POST /v3/kv/txn           TxnRequest            → TxnResponse
//	POST /v3/watch            WatchRequest          → a stream of WatchMessage
//	POST /v3/lease/grant      LeaseGrantRequest     → LeaseGrantResponse
//	POST /v3/lease/keepalive  LeaseKeepAliveRequest → one LeaseKeepAliveMessage
//	POST /v3/lease/revoke     LeaseRevokeRequest    → LeaseRevokeResponse
//
// The body of a response with any status but 200 is a Status.
package etcd

// Request paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
)

// Code is a gRPC status code, as contained in the gateway's responses.
type Code int

// Status codes with which the service refuses a call.
const (
	InvalidArgument    Code = 3
	NotFound           Code = 5
	PermissionDenied   Code = 7
	ResourceExhausted  Code = 8
	FailedPrecondition Code = 9
	OutOfRange         Code = 11
	Unimplemented      Code = 12
	Unavailable        Code = 14
	Unauthenticated    Code = 16
)

// Refused reports whether the code means that the service checked the call and
// refused it, so that it certainly had no effect. Unavailable is not among these
// codes.
func (c Code) Refused() bool {
	switch c {
	case InvalidArgument, NotFound, PermissionDenied, ResourceExhausted,
		FailedPrecondition, OutOfRange, Unimplemented, Unauthenticated:
		return true
	}
	return false
}

// Status is the body of a response with any HTTP status but 200.
type Status struct {
	Error   string `json:"error"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Header holds the store revision at which a response was created.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to, but not including, RangeEnd. Without
// RangeEnd, it reads only Key.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit is the maximum number of keys to return; 0 means no limit.
	Limit int64 `json:"limit,string,omitempty"`
	// Revision is the revision to read at; 0 means the newest.
	Revision int64 `json:"revision,string,omitempty"`
}

// RangeResponse holds keys in ascending order.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	// More is true if the range holds more keys than Limit allowed.
	More  bool  `json:"more,omitempty"`
	Count int64 `json:"count,string,omitempty"`
}

// Values of Compare.Result and Compare.Target.
const (
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
)

// Compare is the condition that the key's modification revision equals
// ModRevision.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes the keys from Key up to, but not including, RangeEnd.
// Without RangeEnd, it deletes only Key.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest carries out Success if all conditions in Compare hold, otherwise
// Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction. Exactly one field is
// set.
type ResponseOp struct {
	Range       *RangeResponse `json:"response_range,omitempty"`
	Put         *PutResponse   `json:"response_put,omitempty"`
	DeleteRange *PutResponse   `json:"response_delete_range,omitempty"`
}

// PutResponse is the result of a write within a transaction.
type PutResponse struct {
	Header Header `json:"header"`
}

// TxnResponse is the result of a transaction.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

// WatchMessage is one message of a watch stream.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// StreamError is the error that ends a stream.
type StreamError struct {
	Code    Code   `json:"grpc_code"`
	Message string `json:"message"`
}

// WatchResponse holds all changes of one or more revisions; a revision is never
// split over two responses.
type WatchResponse struct {
	Header   Header `json:"header"`
	Created  bool   `json:"created,omitempty"`
	Canceled bool   `json:"canceled,omitempty"`
	// CompactRevision is set if StartRevision has been compacted.
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of an event for a deleted key. Events for puts have no
// type.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// LeaseGrantRequest creates a lease.
type LeaseGrantRequest struct {
	// TTL is in seconds.
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse holds the ID of the new lease.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
}

// LeaseKeepAliveRequest renews a lease.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveMessage is one message of the stream that answers a renewal.
type LeaseKeepAliveMessage struct {
	Result *LeaseKeepAliveResponse `json:"result,omitempty"`
	Error  *StreamError            `json:"error,omitempty"`
}

// LeaseKeepAliveResponse holds the remaining time to live. TTL is 0 or missing if
// the lease has expired.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	// TTL is in seconds.
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseRevokeRequest revokes a lease.
type LeaseRevokeRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseRevokeResponse is the result of a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// PrefixEnd returns the RangeEnd of the range of all keys with a prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// A RangeEnd of a single zero byte means no upper bound.
	return []byte{0}
}
