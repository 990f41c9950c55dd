package peer

import (
	"net/http"
	"slices"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Outcomes of a call at a target process.
const (
	// OutcomeDone means that the service answered.
	OutcomeDone = "done"
	// OutcomeNotRun means that the service certainly did not receive the call.
	OutcomeNotRun = "notRun"
	// OutcomeUnknown means that the service may have run the call.
	OutcomeUnknown = "unknown"
)

// FromCall returns the message for a call.
func FromCall(r id.Request, call *answer.Call) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		Request:        string(r),
		Contract:       string(call.Contract.Name),
		Service:        string(call.Service),
		Method:         call.Method,
		Path:           call.Path,
		Headers:        FromHeader(call.Header),
		Body:           call.Body,
		Repeatable:     call.Repeatable,
		DeadlineUnixMs: FromTime(call.Deadline),
		Class:          string(call.Contract.Class),
		Key:            call.Key,
	}
}

// ToCall returns the call in m, without the contract.
func ToCall(m *peerpb.CallRequest) answer.Call {
	return answer.Call{
		Key:        m.GetKey(),
		Service:    id.Service(m.GetService()),
		Repeatable: m.GetRepeatable(),
		Method:     m.GetMethod(),
		Path:       m.GetPath(),
		Header:     ToHeader(m.GetHeaders()),
		Body:       m.GetBody(),
		Deadline:   ToTime(m.GetDeadlineUnixMs()),
	}
}

// FromHeader returns the messages for h, sorted by header name.
func FromHeader(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	slices.SortFunc(out, func(a, b *peerpb.Header) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// ToHeader returns the headers in m.
func ToHeader(m []*peerpb.Header) http.Header {
	h := http.Header{}
	for _, f := range m {
		for _, v := range f.GetValues() {
			h.Add(f.GetName(), v)
		}
	}
	return h
}

// FromCallReply returns the message for a service's reply.
func FromCallReply(r *answer.Reply) *peerpb.CallReply {
	return &peerpb.CallReply{
		Outcome: OutcomeDone,
		Status:  int32(r.Status),
		Headers: FromHeader(r.Header),
		Body:    r.Body,
	}
}

// ToCallReply returns the service's reply in m.
func ToCallReply(r id.Request, m *peerpb.CallReply) *answer.Reply {
	return &answer.Reply{Request: r, Status: int(m.GetStatus()), Header: ToHeader(m.GetHeaders()), Body: m.GetBody()}
}
