package progress_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/progress"
)

// paced returns a reader of slices that arrive at intervals of gap. Then it ends, or
// nothing more arrives until ctx ends.
func paced(ctx context.Context, slices int, gap time.Duration, end bool) io.Reader {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(context.Cause(ctx)) })
	go func() {
		for range slices {
			time.Sleep(gap)
			if _, err := w.Write(make([]byte, progress.SliceBytes)); err != nil {
				return
			}
		}
		if end {
			_ = w.Close()
		}
	}()
	return r
}

func TestReadAll(t *testing.T) {
	tests := []struct {
		name   string
		slices int
		gap    time.Duration
		end    bool
		limit  int
		want   progress.Kind
	}{
		{"slow", 50, 900 * time.Millisecond, true, 1 << 30, ""},
		{"too slow", 50, 1100 * time.Millisecond, true, 1 << 30, progress.Broken},
		{"stops", 3, time.Millisecond, false, 1 << 30, progress.Broken},
		{"large", 50, time.Millisecond, true, 20 * progress.SliceBytes, progress.TooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, guard := progress.NewGuard(t.Context(), time.Second)
				body := paced(ctx, test.slices, test.gap, test.end)
				data, err := guard.ReadAll(body, test.limit, nil)
				guard.Stop()
				kind, _ := fault.KindOf[progress.Kind](err)
				is.Equal(kind, test.want)
				if err == nil {
					is.Equal(len(data), test.slices*progress.SliceBytes)
				}
				time.Sleep(2 * test.gap) // until the writer has noticed the end
			})
		})
	}
}

func TestReadAllProceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, guard := progress.NewGuard(t.Context(), time.Second)
		defer guard.Stop()
		calls := 0
		data, err := guard.ReadAll(paced(ctx, 4, time.Millisecond, true), 1<<30, func() error {
			calls++
			time.Sleep(time.Minute) // does not count
			return nil
		})
		is.NoErr(err)
		is.Equal(len(data), 4*progress.SliceBytes)
		is.Equal(calls, 4)

		refused := errors.New("no longer needed")
		body := paced(ctx, 4, time.Millisecond, true)
		_, err = guard.ReadAll(body, 1<<30, func() error { return refused })
		is.Equal(err, refused)
		guard.Stop()
		time.Sleep(time.Second) // until the writer has noticed the end
	})
}

func TestGuardFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, guard := progress.NewGuard(t.Context(), time.Second)
		defer guard.Stop()
		start := time.Now()
		<-ctx.Done()
		is.Equal(time.Since(start), time.Second)
	})
}

func TestWrite(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 100_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		is.NoErr(progress.Write(w, body))
	}))
	defer server.Close()
	res, err := http.Get(server.URL)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(len(data), len(body))
}
