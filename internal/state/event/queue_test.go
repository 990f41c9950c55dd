package event_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/event"
)

// blockingWriter blocks in Write until release is closed.
type blockingWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// TestQueueBlockedWriter checks that a blocked writer does not block Emit, and that
// lines about failures are still queued when the queue accepts no more lines about
// successes.
func TestQueueBlockedWriter(t *testing.T) {
	is := is.New(t)
	w := &blockingWriter{release: make(chan struct{})}
	q := event.NewQueue(w, clockwork.NewFakeClock())
	ctx, cancel := context.WithCancel(context.Background())
	go q.Run(ctx)
	log := q.Log()
	for range 10_000 {
		log.Emit(event.RequestFinished)
	}
	for range 100 {
		log.Emit(event.RequestFailed)
	}
	is.True(q.Dropped() > 6000)
	is.True(q.Dropped() <= 10_000)
	close(w.release)
	cancel()
	<-q.Done()
	is.Equal(strings.Count(w.out.String(), "name=requestFailed"), 100)
	is.True(strings.Contains(w.out.String(), "name=linesDropped"))
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := event.NewQueue(&out, clockwork.NewFakeClock())
	ctx, cancel := context.WithCancel(context.Background())
	log := q.Log()
	for i := range 100 {
		log.Emit(event.RequestFinished, "n", i)
	}
	cancel()
	q.Run(ctx)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 100)
	is.True(strings.HasSuffix(lines[99], "n=99"))
	is.Equal(q.Dropped(), int64(0))
}

func BenchmarkQueueEmit(b *testing.B) {
	q := event.NewQueue(io.Discard, clockwork.NewRealClock())
	go q.Run(b.Context())
	log := q.Log()
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(event.RequestFinished, "request", "9c41d07be2a35f68", "status", 200)
	}
}
