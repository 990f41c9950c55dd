package direct

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns a copy of the headers without those that concern only the
// connection that they came on.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// copyHeaders sets the headers of a target's answer on the client's. Headers
// that net/http would add are left out where the target did not send them.
func copyHeaders(to, from http.Header) {
	for name, values := range forwarded(from) {
		to[name] = values
	}
	for _, added := range []string{"Content-Type", "Date"} {
		if _, set := to[added]; !set {
			to[added] = nil
		}
	}
}
