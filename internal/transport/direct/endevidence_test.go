package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foxtailward.example/foxtailward/internal/state/settings"
)

// unframedEngine returns a handler of an engine that started at 100 and whose answers have neither a
// length nor chunks.
func unframedEngine(body func(r *http.Request) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == reportPath {
			fmt.Fprint(rw, 100)
			return
		}
		unframed(func(r *http.Request) string {
			time.Sleep(200 * time.Millisecond)
			return body(r)
		}, nil)(rw, r)
	}
}

// slowUnframed writes the events after the client's last one, without a length or chunks, 100 ms apart.
func slowUnframed(rw http.ResponseWriter, r *http.Request, last int) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSigned: yes\r\n\r\n", r.Header.Get("Attempt"))
	for n := after(r); n <= last; n++ {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(conn, "id: %d\ndata: x%d\n\n", n, n)
	}
}

// eventsAfter returns the events after the client's last one up to last.
func eventsAfter(r *http.Request, last int) string {
	return strings.TrimPrefix(wholeStream(last), wholeStream(after(r)-1))
}

// addOnceRoute adds a streaming route whose requests may run once.
func (env *testEnv) addOnceRoute() {
	once := env.config.Routes[0]
	once.Name, once.PathPrefix, once.Resumable = "o", "/o/", false
	env.config.Routes = append(env.config.Routes, once)
}

// TestConfirmedEndRepeatsNothing guards against events that reach a client twice because the end of
// its stream was confirmed.
func TestConfirmedEndRepeatsNothing(t *testing.T) {
	tests := []struct {
		name string
		body func(r *http.Request) string
		want string
	}{
		{"the last event has no id", func(r *http.Request) string { return eventsAfter(r, 5) + "data: [DONE]\n\n" }, wholeStream(5) + "data: [DONE]\n\n"},
		{"no event has an id", text("data: a\n\ndata: b\n\n"), "data: a\n\ndata: b\n\n"},
		{"a comment opens each answer", func(r *http.Request) string { return ": hello\n\n" + eventsAfter(r, 5) }, ": hello\n\n" + wholeStream(5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, unframedEngine(tt.body))
				env.start()
				got := env.do("POST", "/r/x", "a1", "body")
				env.is.True(!got.broken)
				env.is.Equal(got.body, tt.want)
			})
		})
	}
}

// TestCommentIsNoEvent guards against a stream that can't be resumed because its last event was a
// comment.
func TestCommentIsNoEvent(t *testing.T) {
	got, held, reached := playJoin(t, "1 2 3", "4 5", "4 5")
	if got.broken || held != "1 2 3 4 5" || reached != 2 {
		t.Errorf("got broken=%v %s from %d targets", got.broken, held, reached)
	}
	withEnv(t, func(env *testEnv) {
		runs := 0
		env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
			if runs++; runs == 1 {
				events(rw, 1, 3, 30*time.Millisecond)
				fmt.Fprint(rw, ": ping\n\n")
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			}
			events(rw, after(r), 5, 30*time.Millisecond)
		})
		env.target("t2", "10.0.2.1:80", "b", func(rw http.ResponseWriter, r *http.Request) { events(rw, after(r), 5, 30*time.Millisecond) })
		env.start()
		for i := 0; env.log.count("outcome=lost") == 0; i++ { // until t1 is chosen
			got := env.do("POST", "/r/x", fmt.Sprint("a", i), "body")
			env.is.True(!got.broken)
			env.is.Equal(strings.ReplaceAll(got.body, ": ping\n\n", ""), wholeStream(5))
		}
	})
}

// TestEndOfAnotherTarget guards against a stream that counts as whole because two targets ended it
// after the same event, one of them with a head alone.
func TestEndOfAnotherTarget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		first := true
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != reportPath {
				if !first {
					respondWith(http.StatusServiceUnavailable, "", "Not-Run", "yes")(rw, r)
					return
				}
				first = false
				env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 100))
			}
			unframedEngine(text(wholeStream(5)))(rw, r)
		})
		empty := true
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path != reportPath && empty:
				empty = false
				fallthrough
			case r.URL.Path == reportPath:
				unframedEngine(text(""))(rw, r)
			default:
				events(rw, after(r), 20, 30*time.Millisecond)
			}
		})
		env.start()
		got := env.do("POST", "/r/x", "a1", "body")
		env.is.True(got.broken || got.body == wholeStream(20))
	})
}

// TestUnframedStreamsEndWithoutBudget guards against sound streams that never end because the retry
// budget does not allow the resumptions that confirm their ends.
func TestUnframedStreamsEndWithoutBudget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.retries = &settings.Retries{Ratio: 0.2, WindowSeconds: 10}
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, unframedEngine(func(r *http.Request) string { return eventsAfter(r, 5) }))
		env.start()
		for i := range 20 {
			body := fmt.Sprint("body", i)
			got := env.do("POST", "/r/x", fmt.Sprint("a", i), body)
			env.is.Equal(got.body, wholeStream(5))
			if got.broken {
				got = env.do("POST", "/r/x", fmt.Sprint("b", i), body, "Last", "5", "Resumes", fmt.Sprint("a", i))
				env.is.Equal(got.status, http.StatusOK)
				env.is.True(!got.broken)
				env.is.Equal(got.body, "")
			}
		}
	})
}

// TestCopyFreedAfterConfirmedEnd guards against a copy that is not freed because the end of its
// stream was confirmed.
func TestCopyFreedAfterConfirmedEnd(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var copied, freed atomic.Int64
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == reportPath:
				fmt.Fprint(rw, 100)
			case r.URL.Path == "/copy":
				copied.Add(1)
				fmt.Fprint(rw, "h1")
			case strings.HasPrefix(r.URL.Path, "/free/"):
				freed.Add(1)
			default:
				slowUnframed(rw, r, 20)
			}
		})
		env.startUnlisted("t2", "10.0.2.1:80", func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, 200) })
		env.start()
		go func() {
			time.Sleep(500 * time.Millisecond)
			env.list(softwareItem("t2", "10.0.2.1:80", "b", "v1", 200))
		}()
		env.is.Equal(env.do("POST", "/r/x", "a1", "body").body, wholeStream(20))
		time.Sleep(2 * time.Second)
		env.is.True(copied.Load() > 0)
		env.is.True(freed.Load() > 0)
	})
}

// TestUnframedCrashCounts guards against a request that crashes its targets in answers without a
// length, and is not suspected because their connections ended cleanly.
func TestUnframedCrashCounts(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(map[bool]string{true: "gone", false: "report fails"}[gone], func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				for i := range 6 {
					address, dead := fmt.Sprintf("10.0.%d.1:80", i+1), false
					env.softwareTarget(fmt.Sprint("t", i), address, string(rune('a'+i)), "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
						switch {
						case r.URL.Path == "/r/x":
							unframed(func(r *http.Request) string {
								time.Sleep(50 * time.Millisecond)
								if dead = true; gone {
									env.crash(address)
								}
								return fmt.Sprintf("id: %d\ndata: x\n\n", after(r))
							}, nil)(rw, r)
						case r.URL.Path == reportPath && !dead:
							fmt.Fprint(rw, 100)
						default:
							rw.WriteHeader(http.StatusServiceUnavailable)
						}
					})
				}
				env.start()
				for i := range 6 {
					_ = env.do("POST", "/r/x", fmt.Sprint("a", i), "body")
				}
				time.Sleep(5 * time.Second)
				env.is.True(env.log.count("name=requestSuspected") > 0)
			})
		})
	}
}

// TestOnceStreamOfTargetThatSaidLeaving guards against a stream that counts as whole though the head
// of its answer says that the target is leaving.
func TestOnceStreamOfTargetThatSaidLeaving(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.addOnceRoute()
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 100)
				return
			}
			conn, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSigned: yes\r\nLeaving: 1\r\n\r\n%s", r.Header.Get("Attempt"), wholeStream(5))
		})
		env.start()
		env.is.True(env.do("POST", "/o/x", "a1", "body").broken)
	})
}

// TestOnceStreamOfOtherTarget guards against a stream that counts as whole because another target
// answers at the address of one whose record names no start.
func TestOnceStreamOfOtherTarget(t *testing.T) {
	for _, replaced := range []bool{true, false} {
		t.Run(fmt.Sprint("replaced=", replaced), func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.addOnceRoute()
				var name atomic.Value
				name.Store("t1")
				env.target("t1", "10.0.1.1:80", "a", func(rw http.ResponseWriter, r *http.Request) {
					if r.URL.Path == healthPath {
						withIdentity(name.Load().(string), targetSlots)(rw, r)
						return
					}
					unframed(func(*http.Request) string {
						if replaced {
							name.Store("t9")
						}
						return wholeStream(5)
					}, nil)(rw, r)
				})
				env.start()
				got := env.do("POST", "/o/x", "a1", "body")
				env.is.Equal(got.body, wholeStream(5))
				env.is.Equal(got.broken, replaced)
			})
		})
	}
}
