// Package etcd holds the messages of the etcd v3 JSON gateway that foxtailward
// uses: ranges, transactions, watches and leases. Names are the gateway's own.
// Keys and values travel in base64 and 64-bit numbers as text.
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
// An answer that is not 200 holds a Status.
package etcd

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
)

// Code is a gRPC status code, as the gateway passes it on.
type Code int

// Codes of refusals.
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

// Refused reports whether the code says that the call was checked and refused,
// so that it surely had no effect.
func (c Code) Refused() bool {
	switch c {
	case InvalidArgument, NotFound, PermissionDenied, ResourceExhausted,
		FailedPrecondition, OutOfRange, Unimplemented, Unauthenticated:
		return true
	}
	return false
}

// Status is the body of an answer that is not 200.
type Status struct {
	Error   string `json:"error"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Header says which revision an answer was made at.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one key.
type KeyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to RangeEnd; without RangeEnd, Key
// alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit is the largest number of keys to return; 0 means all.
	Limit int64 `json:"limit,string,omitempty"`
	// Revision reads at an older revision; 0 means the newest.
	Revision int64 `json:"revision,string,omitempty"`
}

// RangeResponse holds keys in their order.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	// More says that Limit left keys out.
	More  bool  `json:"more,omitempty"`
	Count int64 `json:"count,string,omitempty"`
}

// Words of a Compare.
const (
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
)

// Compare holds when the key's modification revision is equal.
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

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction; one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest carries out Success when all of Compare hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp answers one operation; one field is set.
type ResponseOp struct {
	Range       *RangeResponse `json:"response_range,omitempty"`
	Put         *PutResponse   `json:"response_put,omitempty"`
	DeleteRange *PutResponse   `json:"response_delete_range,omitempty"`
}

// PutResponse answers a write within a transaction.
type PutResponse struct {
	Header Header `json:"header"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate says what to watch, from StartRevision on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

// WatchMessage is one message of a watch's stream.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// StreamError ends a stream.
type StreamError struct {
	Code    Code   `json:"grpc_code"`
	Message string `json:"message"`
}

// WatchResponse holds the changes of one or more whole revisions.
type WatchResponse struct {
	Header   Header `json:"header"`
	Created  bool   `json:"created,omitempty"`
	Canceled bool   `json:"canceled,omitempty"`
	// CompactRevision is set when StartRevision is no longer held.
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of an event that deletes its key. Puts have no type.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// LeaseGrantRequest makes a lease.
type LeaseGrantRequest struct {
	// TTL is in seconds.
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse names the lease.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
}

// LeaseKeepAliveRequest renews a lease.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveMessage answers a renewal.
type LeaseKeepAliveMessage struct {
	Result *LeaseKeepAliveResponse `json:"result,omitempty"`
	Error  *StreamError            `json:"error,omitempty"`
}

// LeaseKeepAliveResponse holds the remaining time; 0 or none when the lease
// has lapsed.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	// TTL is in seconds.
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseRevokeRequest ends a lease.
type LeaseRevokeRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseRevokeResponse answers a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// PrefixEnd returns the end of the range that holds all keys with a prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// A range to the zero byte has no end.
	return []byte{0}
}
