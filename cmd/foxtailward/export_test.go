package main

import (
	"bytes"
	"io"
	"net/http"
)

// Run runs a command line with the given HTTP client for calls to entries.
func Run(client *http.Client, stdin io.Reader, args ...string) (stdout, stderr string, code int) {
	o := newCLI()
	o.httpClient = client
	var out, errs bytes.Buffer
	root := newRootWith(o)
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(&out)
	root.SetErr(&errs)
	code = run(root, &errs)
	return out.String(), errs.String(), code
}
