package main

import (
	"bytes"
	"io"
	"net/http"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/transport/entry"
)

// Run carries out a command line with a key-value service and an HTTP client
// of the test's.
func Run(clock clockwork.Clock, s *store.Store, client *http.Client, stdin io.Reader, args ...string) (stdout, stderr string, code int) {
	o := newOperator()
	o.clock = clock
	o.openStore = func([]string) (*store.Store, error) { return s, nil }
	o.newClient = func(addresses []string) *entry.Client {
		return &entry.Client{Addresses: addresses, HTTP: client}
	}
	var out, errs bytes.Buffer
	root := newRootWith(o)
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(&out)
	root.SetErr(&errs)
	code = run(root, &errs)
	return out.String(), errs.String(), code
}
