package service_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/standin/server"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/service"
)

// rawService is a service of raw answers with a client of it.
type rawService struct {
	*server.Raw
	client *service.Client
}

func newRawService(t *testing.T, reset bool) *rawService {
	raw, err := server.NewRaw(reset)
	is.New(t).NoErr(err)
	client := service.NewClient("http://" + raw.Address())
	t.Cleanup(func() {
		client.Close()
		raw.Close()
	})
	return &rawService{raw, client}
}

// do sends a request that the service answers with wire.
func (s *rawService) do(t *testing.T, method, wire string) (*answer.Reply, error) {
	s.AnswerNext(wire)
	return s.client.Do(t.Context(), service.Request{ID: "ans-00000000-aa", Method: method, Path: "/"})
}

const (
	replyHead = "HTTP/1.1 200 OK\r\nContent-Type: text/csv\r\n"
	replyBody = "mast,chain\n1,2\n3,4\n"
)

// TestDoTruncatedAtEachByte guards against the end of a connection counted as the end of a reply.
func TestDoTruncatedAtEachByte(t *testing.T) {
	wires := map[string]string{
		"length":     fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", replyHead, len(replyBody), replyBody),
		"chunks":     fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", replyHead, len(replyBody), replyBody),
		"connection": replyHead + "Connection: close\r\n\r\n" + replyBody,
		"HTTP/1.0":   "HTTP/1.0 200 OK\r\n\r\n" + replyBody,
	}
	for name, wire := range wires {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				checkTruncations(t, wire, reset, name == "length" || name == "chunks")
			})
		}
	}
}

// checkTruncations checks that a reply is complete only if it is whole. delimited says that
// the whole reply shows its end.
func checkTruncations(t *testing.T, wire string, reset, delimited bool) {
	is := is.New(t)
	s := newRawService(t, reset)
	for cut := range len(wire) + 1 {
		reply, err := s.do(t, http.MethodPost, wire[:cut])
		switch {
		case err == nil && (!delimited || string(reply.Body) != replyBody):
			t.Fatalf("complete with %d of %d bytes: %q", cut, len(wire), reply.Body)
		case err != nil:
			is.True(fault.Is(err, service.ResponseLost)) // the service may have run the request
			is.True(reset || !delimited || cut < len(wire))
		}
	}
}

// TestDoWithoutBody checks that replies that have no body need no length.
func TestDoWithoutBody(t *testing.T) {
	tests := []struct{ name, method, wire string }{
		{"HEAD", http.MethodHead, replyHead + "Connection: close\r\n\r\n"},
		{"204", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n"},
		{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n"},
		{"length 0", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawService(t, false)
			reply, err := s.do(t, tt.method, tt.wire)
			is.NoErr(err)
			is.Equal(len(reply.Body), 0)
		})
	}
}
