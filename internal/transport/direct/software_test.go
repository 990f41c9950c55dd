package direct_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
)

// softwareEvents is the number of events of a stream.
const softwareEvents = 20

// softwareEngine answers with the events after the client's last one, which name the
// version of the engine's software. After the event breakAt it closes the connection; 0
// means never.
func softwareEngine(software string, breakAt int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Signed", "yes")
		for n := after(r); n <= softwareEvents; n++ {
			time.Sleep(30 * time.Millisecond)
			fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, software, n)
			if err := http.NewResponseController(rw).Flush(); err != nil {
				return
			}
			if n == breakAt {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// versions returns the versions whose events a client holds.
func versions(body string) map[string]int {
	held := map[string]int{}
	for _, line := range strings.Split(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			software, _, _ := strings.Cut(data, "/")
			held[software]++
		}
	}
	return held
}

// softwareTarget adds a listed target with a version of its software, and the time of its
// start where that is not 0.
func (env *testEnv) softwareTarget(name, address, zone, software string, born int, handler http.HandlerFunc) {
	env.targets = append(env.targets, softwareItem(name, address, zone, software, born))
	env.startUnlisted(name, address, handler)
}

func softwareItem(name, address, zone, software string, born int) store.Item {
	return store.Item{Key: name, Value: fmt.Appendf(nil, "ready %s %s %s %d", address, zone, software, born), ModRevision: 1}
}

// list makes the key-value service write a target's record.
func (env *testEnv) list(item store.Item) {
	env.changes <- store.Change{Item: item}
	synctest.Wait()
}

// TestStreamKeepsSoftwareVersion guards against a stream that goes on at a target of another
// software version, within an answer.
func TestStreamKeepsSoftwareVersion(t *testing.T) {
	tests := []struct {
		name string
		// third is the version of the only target in the third zone.
		third string
		whole bool
	}{
		{"another target of the version serves", "v1", true},
		{"no other target of the version serves", "v2", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 7))
				env.softwareTarget("t2", "10.0.2.1:80", "b", "v2", 0, softwareEngine("v2", 7))
				env.softwareTarget("t3", "10.0.3.1:80", "c", tt.third, 0, softwareEngine(tt.third, 0))
				env.softwareTarget("t4", "10.0.4.1:80", "b", "v2", 0, softwareEngine("v2", 7))
				env.start()
				begin := time.Now()
				for i := range 4 {
					a := env.do("POST", "/r/x", fmt.Sprint("a", i), "prompt")
					held := versions(a.body)
					env.is.Equal(len(held), 1) // one version within one answer
					if held["v1"] > 0 {
						env.is.Equal(a.broken, !tt.whole)
						env.is.Equal(held["v1"] == softwareEvents, tt.whole)
					}
				}
				env.is.True(time.Since(begin) < 8*time.Second) // no request waits for its deadline
			})
		})
	}
}

// holdPart reads a stream's first events, and returns them and the id of the last one.
func (env *testEnv) holdPart(attempt string, headers ...string) (c *client, body string, last string) {
	c = env.client()
	c.send("POST", "/r/x", attempt, "prompt "+attempt, headers...)
	res, err := http.ReadResponse(c.r, nil)
	env.is.NoErr(err)
	buffer := make([]byte, 4096)
	for strings.Count(body, "\n\n") < 5 {
		n, err := res.Body.Read(buffer)
		env.is.NoErr(err)
		body += string(buffer[:n])
	}
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	last, _, _ = strings.Cut(strings.TrimPrefix(events[len(events)-1], "id: "), "\n")
	return c, body, last
}

// TestResumptionKeepsSoftwareVersion guards against a client's stream that goes on at
// another software version after a broken connection or the loss of all entries.
func TestResumptionKeepsSoftwareVersion(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(map[bool]string{false: "same entry", true: "entry restarted"}[restart], func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				for i := range 4 {
					software := fmt.Sprint("v", 1+i%2)
					env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), software, 0, softwareEngine(software, 0))
				}
				env.start()
				const clients = 8
				var bodies, lasts [clients]string
				for i := range clients {
					// The earlier ones still run, so that the load differs.
					var c *client
					c, bodies[i], lasts[i] = env.holdPart(fmt.Sprint("a", i))
					defer c.conn.Close()
					if i%2 == 1 {
						_ = c.conn.Close()
					}
				}
				if restart {
					time.Sleep(1500 * time.Millisecond) // what runs is saved about once a second
					env.restart()
				}
				for i := range clients {
					attempt := fmt.Sprint("a", i)
					a := env.do("POST", "/r/x", attempt+"r", "prompt "+attempt, "Last", lasts[i], "Resumes", attempt)
					env.is.Equal(len(versions(bodies[i]+a.body)), 1) // one version over both attempts
					env.is.Equal(strings.Count(bodies[i]+a.body, "data:"), softwareEvents)
				}
			})
		})
	}
}

// TestResumptionAtRestartedTarget guards against a stream that goes on at a process which
// has started under the id of its predecessor, at another version, before its record is
// written.
func TestResumptionAtRestartedTarget(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		var software atomic.Value
		software.Store("v1")
		handler := func(rw http.ResponseWriter, r *http.Request) {
			softwareEngine(software.Load().(string), 0)(rw, r)
		}
		addresses := []string{"10.0.1.1:80", "10.0.2.1:80"}
		for i, address := range addresses {
			env.softwareTarget(fmt.Sprint("t", i), address, string(rune('a'+i)), "v1", 1, handler)
		}
		env.start()
		done := make(chan answer, 6)
		for i := range 6 {
			c := env.client()
			go func() {
				c.send("POST", "/r/x", fmt.Sprint("a", i), fmt.Sprint("prompt", i))
				done <- c.receive()
			}()
		}
		time.Sleep(200 * time.Millisecond)
		for i, address := range addresses {
			env.crash(address)
			software.Store("v2")
			env.startUnlisted(fmt.Sprint("t", i), address, handler)
		}
		time.AfterFunc(300*time.Millisecond, func() {
			for i, address := range addresses {
				env.changes <- store.Change{Item: softwareItem(fmt.Sprint("t", i), address, string(rune('a'+i)), "v2", 2)}
			}
		})
		for range 6 {
			a := <-done
			env.is.Equal(len(versions(a.body)), 1)
		}
	})
}

// TestResumptionRefused checks that a stream which can't go on is refused at once, with
// the reason and a time.
func TestResumptionRefused(t *testing.T) {
	tests := []struct {
		name, reason string
		// versions are those of the targets, and resumes the attempt that is resumed.
		versions []string
		resumes  string
		atMost   time.Duration
	}{
		{"several versions serve, and nobody knows the stream", "versionUnknown", []string{"v1", "v2"}, "foreign", 300 * time.Millisecond},
		{"the client does not say which attempt, and asks for something else", "versionUnknown", []string{"v1", "v2"}, "", 300 * time.Millisecond},
		{"the version is gone", "versionGone", []string{"v1"}, "a0", 10 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				for i, v := range tt.versions {
					env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), v, 0, softwareEngine(v, 0))
				}
				env.start()
				_, _, last := env.holdPart("a0")
				env.list(softwareItem("t9", "10.0.9.1:80", "c", "v9", 0))
				for i := range tt.versions {
					if tt.reason == "versionGone" {
						env.crash(fmt.Sprintf("10.0.%d.1:80", i))
						env.changes <- store.Change{Item: store.Item{Key: fmt.Sprint("t", i)}, Deleted: true}
					}
				}
				synctest.Wait()
				begin := time.Now()
				a := env.do("POST", "/r/x", "a1", "prompt", "Last", last, "Resumes", tt.resumes)
				env.is.Equal(a.status, http.StatusServiceUnavailable)
				env.is.Equal(strings.TrimSpace(a.body), tt.reason)
				env.is.True(a.header.Get("Retry-After") != "")
				env.is.True(time.Since(begin) <= tt.atMost)
				env.is.Equal(env.log.count("name=recoveryRefused request=a1 reason="+tt.reason), 1)
			})
		})
	}
}

// TestResumptionOfSoleVersion checks that a stream that nobody knows goes on while one
// version alone has served for longer than a stream lasts.
func TestResumptionOfSoleVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(a.status, http.StatusOK)
		env.is.Equal(versions(a.body)["v1"], softwareEvents-5)
	})
}

// TestSuccessorOfUnknownVersion checks that a stream does not go on at a target of which
// only its health check tells, and does so once its record is written.
func TestSuccessorOfUnknownVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 0, softwareEngine("v1", 0))
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v2", 0, softwareEngine("v2", 0))
		env.start()
		c, body, last := env.holdPart("a0")
		env.is.Equal(versions(body)["v1"], 5)
		env.crash("10.0.1.1:80")
		successor := func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == healthPath {
				withIdentity("t3", targetSlots)(rw, r)
				return
			}
			softwareEngine("v1", 0)(rw, r)
		}
		env.startUnlisted("t3", "10.0.1.1:80", successor)
		time.Sleep(500 * time.Millisecond)
		env.is.Equal(env.log.count("state=found"), 1)
		_ = c.conn.Close()
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(strings.TrimSpace(a.body), "versionGone")
		env.list(softwareItem("t3", "10.0.1.1:80", "a", "v1", 0))
		a = env.do("POST", "/r/x", "a2", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(body + a.body)["v1"], softwareEvents)
	})
}

// TestNewStreamsAvoidLoneVersion checks that new streams begin at a version that has another
// target in another zone.
func TestNewStreamsAvoidLoneVersion(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		for i, v := range []string{"v2", "v1", "v1"} {
			env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), v, 0, softwareEngine(v, 0))
		}
		env.start()
		env.is.Equal(versions(env.do("POST", "/r/x", "a0", "prompt").body)["v1"], softwareEvents)
	})
}

// TestResumptionByReport checks that a target's own report decides whether a stream goes on
// there, whatever its record says.
func TestResumptionByReport(t *testing.T) {
	tests := []struct {
		name string
		// born is the start that the second target reports; its record says 1.
		born  string
		whole bool
	}{
		{"the process of the record", "1", true},
		{"another process", "2", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				reporting := func(born string, handler http.HandlerFunc) http.HandlerFunc {
					return func(rw http.ResponseWriter, r *http.Request) {
						if r.URL.Path == reportPath {
							_, _ = rw.Write([]byte(born))
							return
						}
						handler(rw, r)
					}
				}
				software := map[string]string{"1": "v1", "2": "v2"}[tt.born]
				env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, reporting("1", softwareEngine("v1", 7)))
				env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 1, reporting(tt.born, softwareEngine(software, 0)))
				env.start()
				a := env.do("POST", "/r/x", "a1", "prompt")
				env.is.Equal(versions(a.body)["v2"], 0)
				env.is.Equal(a.broken, !tt.whole)
				env.is.Equal(versions(a.body)["v1"] == softwareEvents, tt.whole)
			})
		})
	}
}

// TestRunAtReplacedTargetCounts guards against a refusal that promises "not run" after the
// process that runs under a target's id has run the request.
func TestRunAtReplacedTargetCounts(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		replaced := false
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				_, _ = rw.Write([]byte(map[bool]string{false: "1", true: "2"}[replaced]))
				return
			}
			replaced = true // the process ended after it had said that it serves
			softwareEngine("v2", 0)(rw, r)
		})
		env.start()
		a := env.do("POST", "/r/x", "a1", "prompt", "Last", "5", "Resumes", "foreign")
		env.is.Equal(a.status, http.StatusBadGateway)
	})
}

// TestResumptionsBounded guards against more streams that go on at the few targets of a
// version than these run and queue.
func TestResumptionsBounded(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		// Copies of runs would hold places of their own.
		env.config.Services[service].Engine.SupportsBackup = false
		for i, v := range []string{"v1", "v1", "v2", "v2"} {
			env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), v, 0, softwareEngine(v, 0))
		}
		env.start()
		const streams = 4 * targetSlots
		done := make(chan answer, streams)
		for i := range streams {
			c := env.client()
			go func() {
				c.send("POST", "/r/x", fmt.Sprint("a", i), fmt.Sprint("prompt", i))
				done <- c.receive()
			}()
		}
		time.Sleep(200 * time.Millisecond)
		env.crash("10.0.0.1:80")
		begin := time.Now()
		time.Sleep(100 * time.Millisecond)
		running := 0
		for _, r := range env.requests() {
			if r.target == "t1" {
				running++
			}
		}
		env.is.True(running <= targetSlots+targetSlots/4)
		for range streams {
			env.is.Equal(len(versions((<-done).body)), 1)
		}
		env.is.True(time.Since(begin) < 2*time.Second)
	})
}

// TestResumptionAfterResumption guards against a stream that nobody remembers after the entry
// which went on with it has ended too.
func TestResumptionAfterResumption(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		for i := range 4 {
			software := fmt.Sprint("v", 1+i%2)
			env.softwareTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.1:80", i), string(rune('a'+i)), software, 0, softwareEngine(software, 0))
		}
		env.start()
		_, body, last := env.holdPart("a0")
		time.Sleep(1500 * time.Millisecond) // what runs is saved about once a second
		env.restart()
		env.shutdown[len(env.shutdown)-1]()
		<-env.ended // the earlier entry saves nothing more
		a := env.do("POST", "/r/x", "a1", "prompt a0", "Last", last, "Resumes", "a0")
		env.is.Equal(versions(body + a.body)["v1"], softwareEvents)
		env.do("POST", "/r/x", "b0", "another prompt")
		time.Sleep(1500 * time.Millisecond)
		env.mu.Lock()
		saved := string(env.lastSaved(store.StreamsPrefix).Value)
		env.mu.Unlock()
		env.is.True(strings.Contains(saved, `"a0"`))
		env.is.True(strings.Contains(saved, `"b0"`))
	})
}

// TestGoesOnAtConfirmedProcess guards against a stream that goes on at a process that nothing
// confirms, because no loss of the target has been seen.
func TestGoesOnAtConfirmedProcess(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				fmt.Fprint(rw, 100)
				return
			}
			events(rw, 1, 5, 30*time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 100, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == reportPath {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			events(rw, after(r), 20, 30*time.Millisecond)
		})
		env.start()
		time.Sleep(5 * time.Second)
		got := env.do("POST", "/r/x", "a1", "body")
		env.is.True(got.broken)
		env.is.Equal(got.body, wholeStream(5))
	})
}
