package releases

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/standin/network"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/platform"
)

const (
	enginePort = 8582
	// streamEvents is the number of events of a stream, firstEventTime the time to the
	// first one and eventGap the time between two.
	streamEvents   = 40
	firstEventTime = 200 * time.Millisecond
	eventGap       = 50 * time.Millisecond
	engineSlots    = 24
	// noticeTime is how long before its end a drained engine says so.
	noticeTime = time.Second
	// downTime is the time from the end of an engine to the start of the next one.
	downTime = 150 * time.Millisecond
	// recordTTL is how long the record of a crashed engine stays.
	recordTTL = time.Second
	// knownTime is the time after which entries know a record.
	knownTime = time.Second
)

// engine is a place at which one engine after the other runs.
type engine struct {
	run  *run
	host *network.Host
	zone id.Zone

	mu       sync.Mutex
	target   catalog.Target
	server   *http.Server
	listedAt time.Time
	// busy is set while the engine is being replaced.
	busy bool
}

func engineIP(i int) string { return fmt.Sprintf("10.100.%d.%d", i/250, 1+i%250) }

func (r *run) newEngine(i int) *engine {
	ip := engineIP(i)
	e := &engine{run: r, host: r.network.AddHost(ip, network.Link{Latency: linkLatency}), zone: r.zone(i)}
	e.target = catalog.Target{Service: serviceName, Address: hostPort(ip, enginePort), Zone: e.zone, Slots: engineSlots, Software: "v1"}
	return e
}

// start starts an engine with a name; its record is written after a delay.
func (e *engine) start(ctx context.Context, name id.Target, software id.SoftwareVersion, recordDelay time.Duration) error {
	l, err := e.host.Listen(e.target.Address)
	if err != nil {
		return fault.Wrap("engine.start", Failed, err)
	}
	e.mu.Lock()
	e.target.ID, e.target.Software, e.target.State, e.target.Sequence = name, software, catalog.Ready, 1
	e.target.Incarnation = id.Incarnation(time.Now().UnixMilli())
	target := e.target
	e.server = &http.Server{Handler: e.handler(target)}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	pause(ctx, recordDelay)
	return e.writeRecord(ctx)
}

func (e *engine) writeRecord(ctx context.Context) error {
	e.mu.Lock()
	target := e.target
	e.mu.Unlock()
	put, err := platform.EncodeTarget(&target)
	if err == nil {
		_, err = e.run.store.Commit(ctx, store.Txn{Puts: []store.Put{put}})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listedAt = time.Now()
	return fault.Wrap("engine.writeRecord", Failed, err)
}

// stop ends the engine's process; connections are closed.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listedAt = time.Time{}
	if e.server != nil {
		_ = e.server.Close()
	}
}

func (e *engine) removeRecord(ctx context.Context, name id.Target) error {
	_, err := e.run.store.Commit(ctx, store.Txn{Deletes: []string{platform.TargetPrefix + string(name)}})
	return fault.Wrap("engine.removeRecord", Failed, err)
}

// replace runs change unless the engine is being replaced already.
func (e *engine) replace(change func(t catalog.Target) error) {
	e.mu.Lock()
	busy, target := e.busy, e.target
	e.busy = true
	e.mu.Unlock()
	if busy {
		return
	}
	if err := change(target); err != nil {
		e.run.fail(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
}

// release drains the engine and starts one of another version under a new name.
func (e *engine) release(ctx context.Context, software id.SoftwareVersion) {
	e.replace(func(t catalog.Target) error {
		e.mu.Lock()
		e.target.State, e.target.Sequence = catalog.Draining, t.Sequence+1
		e.mu.Unlock()
		if err := e.writeRecord(ctx); err != nil {
			return err
		}
		pause(ctx, noticeTime)
		e.stop()
		if err := e.removeRecord(ctx, t.ID); err != nil {
			return err
		}
		return e.start(ctx, e.run.newName(), software, 0)
	})
}

// releaseInPlace starts an engine of another version under the same name.
func (e *engine) releaseInPlace(ctx context.Context, software id.SoftwareVersion) {
	e.replace(func(t catalog.Target) error {
		e.stop()
		pause(ctx, downTime)
		return e.start(ctx, t.ID, software, e.run.opts.RecordDelay)
	})
}

// crash ends the engine; it is back at the same version, under a new name.
func (e *engine) crash(ctx context.Context) {
	e.replace(func(t catalog.Target) error {
		e.stop()
		pause(ctx, downTime)
		if err := e.start(ctx, e.run.newName(), t.Software, 0); err != nil {
			return err
		}
		pause(ctx, recordTTL)
		return e.removeRecord(ctx, t.ID)
	})
}

// serves reports whether the engine serves a version, and entries know it.
func (e *engine) serves(software id.SoftwareVersion) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target.Software == software && e.target.State == catalog.Ready && !e.listedAt.IsZero() && time.Since(e.listedAt) > knownTime
}

// handler serves the requests of one process.
func (e *engine) handler(t catalog.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.ReportPath {
			// An error means that the entry is gone.
			_, _ = w.Write(platform.EncodeReport(&t))
			return
		}
		forwarded := platform.DecodeForwardedRequest(r.Header)
		if forwarded.Target != t.ID {
			platform.EncodeResponseMetadata(w.Header(), forwarded.Attempt, "", true)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		platform.EncodeResponseMetadata(w.Header(), forwarded.Attempt, "signed", false)
		last, _ := strconv.Atoi(string(forwarded.LastEventID))
		pause(r.Context(), firstEventTime)
		for n := last + 1; n <= streamEvents && r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, t.Software); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			pause(r.Context(), eventGap)
		}
	})
}

// softwareOf returns the version that an event names.
func softwareOf(event string) id.SoftwareVersion {
	_, software, _ := strings.Cut(strings.TrimSpace(event), "data: ")
	return id.SoftwareVersion(software)
}
