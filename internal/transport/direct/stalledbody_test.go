package direct_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestRefusalBeforeBody guards against refusals that wait for the rest of a body for as long as its client keeps it back.
func TestRefusalBeforeBody(t *testing.T) {
	paths := map[string]int{"/none": http.StatusNotFound, "/u/x": http.StatusUnauthorized}
	for path, status := range paths {
		for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
			t.Run(path+" "+framing, func(t *testing.T) {
				withEnv(t, func(env *testEnv) {
					env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes"))
					env.start()
					c := env.client()
					go func() {
						_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\n%s\r\n\r\n", path, framing)
					}()
					answers := make(chan answer, 1)
					go func() { answers <- c.receive() }()
					select {
					case a := <-answers:
						env.is.Equal(a.status, status)
						env.is.True(a.closes)
					case <-time.After(time.Second):
						env.is.Fail() // no answer
					}
				})
			})
		}
	}
}

// TestRefusalBesideBody checks that the connection of a refused request whose body has arrived is kept.
func TestRefusalBesideBody(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.target("t1", "10.0.1.1:80", "a", respondWith(http.StatusOK, "fine", "Signed", "yes"))
		env.start()
		c := env.client()
		for i := range 3 {
			c.send("POST", "/none", fmt.Sprint("a", i), "body")
			a := c.receive()
			env.is.Equal(a.status, http.StatusNotFound)
			env.is.True(!a.closes)
			time.Sleep(time.Second)
		}
		c.send("POST", "/s/x", "b", "body")
		env.is.Equal(c.receive().status, http.StatusOK)
	})
}
