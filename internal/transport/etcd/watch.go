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

// errWatchEnded is the cause of a watch whose stream ended.
var errWatchEnded = errors.New("the watch's stream ended")

// watch subscribes to a connection that covers prefix after revision.
func (c *Client) watch(ctx context.Context, prefix string, revision int64, each func(store.Change)) error {
	if err := errors.Join(ctx.Err(), c.ctx.Err()); err != nil {
		return fault.Wrap(opWatch, store.Unavailable, err)
	}
	s := newSubscriber(prefix)
	c.meters.subscribed.Inc(1)
	defer c.meters.subscribed.Dec(1)
	h := c.hubs.join(s, revision, c.startHub)
	defer c.hubs.leave(h, s)
	for {
		select {
		case <-ctx.Done():
			return fault.Wrap(opWatch, store.Unavailable, ctx.Err())
		case batch := <-s.batches:
			deliver(batch, revision, each)
		case <-s.ended:
			return c.drain(s, revision, each)
		}
	}
}

// drain delivers what a subscriber got before its end.
func (c *Client) drain(s *subscriber, revision int64, each func(store.Change)) error {
	for {
		select {
		case batch := <-s.batches:
			deliver(batch, revision, each)
		default:
			return c.meter(s.err)
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

// startHub starts the duty that reads one connection.
func (c *Client) startHub(h *hub) {
	ctx, cancel := context.WithCancel(c.ctx)
	h.cancel = cancel
	floor := h.floor
	c.duties.Go(func() {
		defer cancel()
		c.hubs.close(h, c.readWatch(ctx, h, floor))
	})
}

// readWatch opens a connection and publishes its changes until it ends. It
// waits for the backoff and the budget, so that watchers may come back at
// once.
func (c *Client) readWatch(ctx context.Context, h *hub, revision int64) error {
	if err := c.backoff.wait(ctx); err != nil {
		return fault.Wrap(opWatch, store.Unavailable, err)
	}
	if err := c.reads.take(ctx, opWatch); err != nil {
		c.backoff.givenUp()
		return err
	}
	body, err := json.Marshal(etcd.WatchRequest{Create: etcd.WatchCreate{
		Key: []byte(h.prefix), RangeEnd: etcd.PrefixEnd(h.prefix), StartRevision: revision + 1,
	}})
	if err != nil {
		c.backoff.givenUp()
		return fault.Wrap(opWatch, store.Invalid, err)
	}
	first := int(c.preferred.Load())
	for i := range c.opts.Endpoints {
		n := (first + i) % len(c.opts.Endpoints)
		opened := false
		opened, err = c.stream(ctx, n, h, body)
		if opened {
			return err
		}
		if ctx.Err() != nil {
			c.backoff.givenUp()
			return err
		}
	}
	c.backoff.unreachable(err)
	return err
}

// stream reads one connection to an endpoint. It reports whether the service
// answered at all.
func (c *Client) stream(ctx context.Context, endpoint int, h *hub, body []byte) (opened bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The first message must come within the timeout; then a watch may be
	// silent as long as nothing changes.
	timer := c.opts.Clock.AfterFunc(c.opts.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	answer, _, err := c.post(ctx, c.opts.Endpoints[endpoint]+etcd.PathWatch, etcd.PathWatch, body)
	var refusal *refusedError
	if errors.As(err, &refusal) {
		c.backoff.answered()
		return true, fault.Wrap(opWatch, refusal.kind(), err)
	}
	if err != nil {
		return false, fault.Wrap(opWatch, store.Unavailable, err)
	}
	defer answer.Body.Close()
	c.meters.watching.Inc(1)
	defer c.meters.watching.Dec(1)
	messages := json.NewDecoder(answer.Body)
	for {
		var m etcd.WatchMessage
		if err := messages.Decode(&m); err != nil {
			return opened, fault.Wrap(opWatch, store.Unavailable, errors.Join(errWatchEnded, err))
		}
		if !opened {
			opened = timer.Stop()
			c.preferred.Store(int64(endpoint))
			c.backoff.answered()
		}
		if err := c.takeMessage(h, &m); err != nil {
			return true, err
		}
	}
}

// takeMessage publishes the changes of a message, or returns why the watch
// ends with it.
func (c *Client) takeMessage(h *hub, m *etcd.WatchMessage) error {
	switch {
	case m.Error != nil:
		return fault.New(opWatch, store.Unavailable, "%s (code %d)", m.Error.Message, m.Error.Code)
	case m.Result == nil:
		return nil
	case m.Result.CompactRevision != 0:
		return fault.New(opWatch, store.Compacted, "the changes were compacted at revision %d", m.Result.CompactRevision)
	case m.Result.Canceled:
		return fault.New(opWatch, store.Unavailable, "the service cancelled the watch")
	}
	changes := make([]store.Change, len(m.Result.Events))
	for i := range m.Result.Events {
		e := &m.Result.Events[i]
		changes[i] = store.Change{Item: toItem(&e.Kv), Deleted: e.Type == etcd.EventDelete}
	}
	if len(changes) > 0 {
		c.hubs.publish(h, changes, fault.New(opWatch, store.Unavailable, "the watcher fell behind"))
	}
	return nil
}
