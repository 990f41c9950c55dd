package direct

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders are the hop-by-hop headers. They are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns a copy of the headers without the hop-by-hop headers.
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

// copyHeaders sets the headers of a target's answer on the client's answer. It
// prevents net/http from adding headers that the target did not send.
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
