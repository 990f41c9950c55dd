package etcd

import (
	"context"
	"encoding/json"
	"errors"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const opWatch = "Store.Watch"

// errStreamEnded is the cause in the error of a watch whose stream ended.
var errStreamEnded = errors.New("watch stream ended")

// watch calls each for every change of keys with the prefix after a point. It
// subscribes to a shared watch that covers them and opens one if there is none.
// etcd has no eras.
func (c *Client) watch(ctx context.Context, prefix string, after store.Point, each func(store.Change)) error {
	revision := after.Revision
	if err := errors.Join(ctx.Err(), c.ctx.Err()); err != nil {
		return fault.Wrap(opWatch, store.Unavailable, err)
	}
	s := newSubscriber(prefix)
	c.metrics.subscribed.Inc(1)
	defer c.metrics.subscribed.Dec(1)
	w := c.watches.join(s, revision, c.startSharedWatch)
	defer c.watches.leave(w, s)
	for {
		select {
		case <-ctx.Done():
			return fault.Wrap(opWatch, store.Unavailable, ctx.Err())
		case batch := <-s.batches:
			deliver(batch, revision, each)
		case <-s.ended:
			return c.deliverQueued(s, revision, each)
		}
	}
}

// deliverQueued delivers the batches that were queued before the subscriber was
// closed, and returns the reason for closing it.
func (c *Client) deliverQueued(s *subscriber, revision int64, each func(store.Change)) error {
	for {
		select {
		case batch := <-s.batches:
			deliver(batch, revision, each)
		default:
			return c.countError(s.err)
		}
	}
}

func deliver(batch []store.Change, revision int64, each func(store.Change)) {
	for _, change := range batch {
		if change.Item.ModRevision > revision {
			each(change)
		}
	}
}

// startSharedWatch starts the goroutine that reads a shared watch's connection.
func (c *Client) startSharedWatch(w *sharedWatch) {
	ctx, cancel := context.WithCancel(c.ctx)
	w.cancel = cancel
	revision := w.historyStart
	c.tasks.Go(func() {
		defer cancel()
		c.watches.close(w, c.runSharedWatch(ctx, w, revision))
	})
}

// runSharedWatch opens a connection and publishes its changes until it ends. It
// waits for the backoff and the rate limit first, so that callers may watch again
// immediately after an error.
func (c *Client) runSharedWatch(ctx context.Context, w *sharedWatch, revision int64) error {
	if err := c.backoff.wait(ctx); err != nil {
		return fault.Wrap(opWatch, store.Unavailable, err)
	}
	if err := c.readLimiter.wait(ctx, opWatch); err != nil {
		c.backoff.releaseProbe()
		return err
	}
	body, err := json.Marshal(etcd.WatchRequest{Create: etcd.WatchCreate{
		Key: []byte(w.prefix), RangeEnd: etcd.PrefixEnd(w.prefix), StartRevision: revision + 1,
	}})
	if err != nil {
		c.backoff.releaseProbe()
		return fault.Wrap(opWatch, store.Invalid, err)
	}
	first := int(c.preferred.Load())
	for i := range c.opts.Endpoints {
		n := (first + i) % len(c.opts.Endpoints)
		opened := false
		opened, err = c.stream(ctx, n, w, body)
		if opened {
			return err
		}
		if ctx.Err() != nil {
			c.backoff.releaseProbe()
			return err
		}
	}
	c.backoff.recordUnreachable(err)
	return err
}

// stream opens a watch at one endpoint and reads it until it ends. opened reports
// whether the service answered.
func (c *Client) stream(ctx context.Context, endpoint int, w *sharedWatch, body []byte) (opened bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Only the first message must arrive within the timeout. After it, a watch is
	// silent for as long as nothing changes.
	timer := c.opts.Clock.AfterFunc(c.opts.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	httpResp, _, err := c.post(ctx, c.opts.Endpoints[endpoint]+etcd.PathWatch, etcd.PathWatch, body)
	var refusal *refusedError
	if errors.As(err, &refusal) {
		c.backoff.recordSuccess()
		return true, fault.Wrap(opWatch, refusal.kind(), err)
	}
	if err != nil {
		return false, fault.Wrap(opWatch, store.Unavailable, err)
	}
	defer httpResp.Body.Close()
	c.metrics.watching.Inc(1)
	defer c.metrics.watching.Dec(1)
	decoder := json.NewDecoder(httpResp.Body)
	for {
		var m etcd.WatchMessage
		if err := decoder.Decode(&m); err != nil {
			return opened, fault.Wrap(opWatch, store.Unavailable, errors.Join(errStreamEnded, err))
		}
		if !opened {
			opened = timer.Stop()
			c.preferred.Store(int64(endpoint))
			c.backoff.recordSuccess()
		}
		if err := c.handleMessage(w, &m); err != nil {
			return true, err
		}
	}
}

// handleMessage publishes the changes of a message. It returns an error if the
// message ends the watch.
func (c *Client) handleMessage(w *sharedWatch, m *etcd.WatchMessage) error {
	switch {
	case m.Error != nil:
		return fault.New(opWatch, store.Unavailable, "%s (code %d)", m.Error.Message, m.Error.Code)
	case m.Result == nil:
		return nil
	case m.Result.CompactRevision != 0:
		return fault.New(opWatch, store.Compacted, "start revision has been compacted; compact revision is %d", m.Result.CompactRevision)
	case m.Result.Canceled:
		return fault.New(opWatch, store.Unavailable, "watch cancelled by the key-value service")
	}
	changes := make([]store.Change, len(m.Result.Events))
	for i := range m.Result.Events {
		e := &m.Result.Events[i]
		changes[i] = store.Change{Item: toItem(&e.Kv), Deleted: e.Type == etcd.EventDelete}
	}
	if len(changes) > 0 {
		c.watches.publish(w, changes, fault.New(opWatch, store.Unavailable, "watcher fell behind; its queue of changes is full"))
	}
	return nil
}
