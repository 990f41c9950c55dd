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

// service serves any method on /v1/services/{service}/….
func (a *api) service(w http.ResponseWriter, r *http.Request) {
	a.gauges.requests.Mark(1)
	call, refusal := a.call(w, r)
	if refusal != nil {
		a.refuse(w, r, refusal)
		return
	}
	reply, err := a.desk.Call(r.Context(), call)
	if err != nil {
		a.send(w, refusalOf(err), "")
		return
	}
	a.writeReply(w, reply)
}

func (a *api) call(w http.ResponseWriter, r *http.Request) (answer.Call, *answer.Refusal) {
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
		Repeatable: repeatable(&service, r.Method) && !o.onceOnly,
		Method:     r.Method,
		Path:       path,
		Header:     passedOn(r.Header),
		Body:       body,
		Deadline:   o.deadline,
	}, nil
}

// repeatable reports whether the contract lets a call run again.
func repeatable(s *contract.Service, method string) bool {
	reads := method == http.MethodGet || method == http.MethodHead
	return s.Repeatable || (reads && s.RepeatableReads)
}

// servicePath returns the part of the URL after the service's name as the
// caller wrote it. A path that climbs out of the service is refused.
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

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// passedOn returns the headers of h without those of one connection, of
// foxtailward and of the caller's key.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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
	for name, values := range passedOn(reply.Header) {
		h[name] = values
	}
	h.Set(headerRequest, string(reply.Request))
	a.allowWrite(w)
	w.WriteHeader(reply.Status)
	// A caller that is gone cannot be told.
	_, _ = w.Write(reply.Body)
}
