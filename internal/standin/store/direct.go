package store

import (
	"context"
	"sync/atomic"
	"time"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Direct returns a kv.Store that calls the service without a network. Faults
// affect it in the same way as the HTTP gateway. Its errors are classified as those
// of a real client, which can't know whether a write without response took effect.
func (s *Service) Direct() kv.Store {
	return kv.Store{
		Get:       s.directGet,
		List:      s.directList,
		Commit:    s.directCommit,
		Watch:     s.directWatch,
		Grant:     s.directGrant,
		KeepAlive: s.directKeepAlive,
		Revoke:    s.directRevoke,
	}
}

func (s *Service) directGet(ctx context.Context, key string) (kv.Item, error) {
	if err := s.beforeRead(ctx, "Store.Get", &s.counts.ranges); err != nil {
		return kv.Item{}, err
	}
	return s.get(key), nil
}

func (s *Service) directList(ctx context.Context, prefix string) (kv.Page, error) {
	if err := s.beforeRead(ctx, "Store.List", &s.counts.ranges); err != nil {
		return kv.Page{}, err
	}
	return s.list(prefix), nil
}

func (s *Service) directWatch(ctx context.Context, prefix string, after kv.Point, onChange func(kv.Change)) error {
	if err := s.beforeRead(ctx, "Store.Watch", &s.counts.watches); err != nil {
		return err
	}
	return s.watch(ctx, hasPrefix(prefix), after.Revision, func(b batch) error {
		for _, c := range b.changes {
			onChange(c)
		}
		return nil
	})
}

func (s *Service) directCommit(ctx context.Context, txn kv.Txn) (result kv.Result, err error) {
	err = s.applyWrite(ctx, "Store.Commit", &s.counts.txns, func() error {
		result, err = s.commit(txn)
		return err
	})
	if err != nil {
		return kv.Result{}, err
	}
	return result, nil
}

func (s *Service) directGrant(ctx context.Context, ttl time.Duration) (id kv.LeaseID, err error) {
	err = s.applyWrite(ctx, "Store.Grant", &s.counts.grants, func() error {
		id, _, err = s.grant(ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (s *Service) directKeepAlive(ctx context.Context, id kv.LeaseID) (ttl time.Duration, err error) {
	err = s.applyWrite(ctx, "Store.KeepAlive", &s.counts.keepAlives, func() error {
		ttl, err = s.keepAlive(id)
		return err
	})
	if err != nil {
		return 0, err
	}
	return ttl, nil
}

func (s *Service) directRevoke(ctx context.Context, id kv.LeaseID) error {
	return s.applyWrite(ctx, "Store.Revoke", &s.counts.revokes, func() error { return s.revoke(id) })
}

// beforeRead counts a call without side effects and applies the faults to it.
func (s *Service) beforeRead(ctx context.Context, op string, count *atomic.Int64) error {
	if ctx.Err() != nil {
		return fault.Wrap(op, kv.Unavailable, ctx.Err())
	}
	if s.down() {
		return fault.New(op, kv.Unavailable, "the key-value service is down")
	}
	count.Add(1)
	return fault.Wrap(op, kv.Unavailable, s.delay(ctx))
}

// applyWrite counts a call with side effects, and executes it subject to the faults.
func (s *Service) applyWrite(ctx context.Context, op string, count *atomic.Int64, apply func() error) error {
	if ctx.Err() != nil {
		return fault.Wrap(op, kv.Unavailable, ctx.Err())
	}
	if s.down() {
		return fault.New(op, kv.Unavailable, "the key-value service is down")
	}
	count.Add(1)
	if err := s.delay(ctx); err != nil {
		return fault.Wrap(op, kv.Unknown, err)
	}
	// The caller of a held write is gone when the write is applied, so its error is
	// ignored.
	if s.dropsRequest(func() { _ = apply() }) {
		return fault.New(op, kv.Unknown, "no response received")
	}
	if err := apply(); err != nil {
		return err
	}
	if s.dropsResponse() {
		return fault.New(op, kv.Unknown, "no response received")
	}
	return nil
}
