package caller

import (
	"context"
	"net/http"
	"strings"

	"foxtailward.example/foxtailward/internal/coordination/answer"
	"foxtailward.example/foxtailward/internal/state/contract"
)

// maxKeyBytes is the maximum length of a bearer key.
const maxKeyBytes = 512

// contractKey is the context key of the caller's contract.
type contractKey struct{}

// authenticate adds the caller's contract to the request's context. The key is
// looked up by its hash, so that the time of the lookup reveals nothing about other
// keys.
func (a *api) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := bearer(r.Header.Get("Authorization"))
		if !ok {
			a.refuse(w, r, answer.NewRefusal(answer.CauseUnauthorized, "the request needs an Authorization header with a bearer key"))
			return
		}
		c, ok := a.handlers.Authenticate(key)
		if !ok {
			a.refuse(w, r, answer.NewRefusal(answer.CauseUnauthorized, "the bearer key belongs to no contract"))
			return
		}
		ctx := context.WithValue(r.Context(), contractKey{}, c)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func bearer(header string) (string, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.TrimSpace(key)
	return key, key != "" && len(key) <= maxKeyBytes
}

// contractOf returns the contract that authenticate added to the context.
func contractOf(r *http.Request) *contract.Contract {
	return r.Context().Value(contractKey{}).(*contract.Contract)
}
