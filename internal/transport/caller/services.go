package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/go-chi/chi/v5"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
)

const servicesPath = "/v1/services/"

// callService serves any method on /v1/services/{service}/….
func (a *api) callService(w http.ResponseWriter, r *http.Request) {
	a.metrics.requests.Mark(1)
	call, refusal := a.newCall(w, r)
	if refusal != nil {
		a.refuse(w, r, refusal)
		return
	}
	reply, err := a.handlers.Call(r.Context(), call)
	if err != nil {
		a.sendRefusal(w, refusalOf(err), "")
		return
	}
	a.writeReply(w, reply)
}

func (a *api) newCall(w http.ResponseWriter, r *http.Request) (answer.Call, *answer.Refusal) {
	c := contractOf(r)
	name := id.Service(chi.URLParam(r, "service"))
	service, ok := c.Services.Find(name)
	if !ok {
		return answer.Call{}, answer.NewRefusal(answer.CauseNotFound, "the contract has no such service")
	}
	path, refusal := servicePath(r.URL)
	if refusal != nil {
		return answer.Call{}, refusal
	}
	o, refusal := a.options(r.Header)
	if refusal != nil {
		return answer.Call{}, refusal
	}
	body, refusal := a.readBody(w, r, a.cfg.MaxBodyBytes)
	if refusal != nil {
		return answer.Call{}, refusal
	}
	return answer.Call{
		Contract:   c,
		Key:        o.key,
		Service:    name,
		Repeatable: repeatable(&service, r.Method) && !o.atMostOnce,
		Method:     r.Method,
		Path:       path,
		Header:     forwardedHeader(r.Header),
		Body:       body,
		Deadline:   o.deadline,
	}, nil
}

// repeatable reports whether the contract allows a call to be repeated.
func repeatable(s *contract.Service, method string) bool {
	reads := method == http.MethodGet || method == http.MethodHead
	return s.Repeatable || (reads && s.RepeatableReads)
}

// servicePath returns the part of the URL after the service's name, with the
// caller's escaping. Paths with segments such as ".." that could leave the service's
// path are refused.
func servicePath(u *url.URL) (string, *answer.Refusal) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPath)
	_, path, _ := strings.Cut(rest, "/")
	for segment := range strings.SplitSeq(path, "/") {
		decoded, err := url.PathUnescape(segment)
		if err != nil || decoded == "." || decoded == ".." || strings.ContainsAny(decoded, `/\`) {
			return "", answer.NewRefusal(answer.CauseInvalid, "the path holds a segment that is not allowed")
		}
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path, nil
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardedHeader returns h without hop-by-hop headers, foxtailward's own headers and
// the caller's key.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	for name := range out {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			out.Del(name)
		}
	}
	return out
}

func (a *api) writeReply(w http.ResponseWriter, reply *answer.Reply) {
	h := w.Header()
	for name, values := range forwardedHeader(reply.Header) {
		h[name] = values
	}
	h.Set(headerRequest, string(reply.Request))
	a.writeBody(w, reply.Status, reply.Body)
}
