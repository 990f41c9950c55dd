package store

import (
	"context"
	"sync/atomic"
	"time"

	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Direct returns a kv.Store that calls the service without a network. The
// faults act on it as on the gateway, and its errors are classified as an
// honest client would.
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
	if err := s.read(ctx, "Store.Get", &s.counts.ranges); err != nil {
		return kv.Item{}, err
	}
	return s.get(key), nil
}

func (s *Service) directList(ctx context.Context, prefix string) (kv.Page, error) {
	if err := s.read(ctx, "Store.List", &s.counts.ranges); err != nil {
		return kv.Page{}, err
	}
	return s.list(prefix), nil
}

func (s *Service) directWatch(ctx context.Context, prefix string, revision int64, each func(kv.Change)) error {
	if err := s.read(ctx, "Store.Watch", &s.counts.watches); err != nil {
		return err
	}
	return s.watch(ctx, hasPrefix(prefix), revision, func(b batch) error {
		for _, c := range b.changes {
			each(c)
		}
		return nil
	})
}

func (s *Service) directCommit(ctx context.Context, txn kv.Txn) (result kv.Result, err error) {
	err = s.write(ctx, "Store.Commit", &s.counts.txns, func() error {
		result, err = s.commit(txn)
		return err
	})
	if err != nil {
		return kv.Result{}, err
	}
	return result, nil
}

func (s *Service) directGrant(ctx context.Context, ttl time.Duration) (id kv.LeaseID, err error) {
	err = s.write(ctx, "Store.Grant", &s.counts.grants, func() error {
		id, _, err = s.grant(ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (s *Service) directKeepAlive(ctx context.Context, id kv.LeaseID) (ttl time.Duration, err error) {
	err = s.write(ctx, "Store.KeepAlive", &s.counts.keepAlives, func() error {
		ttl, err = s.keepAlive(id)
		return err
	})
	if err != nil {
		return 0, err
	}
	return ttl, nil
}

func (s *Service) directRevoke(ctx context.Context, id kv.LeaseID) error {
	return s.write(ctx, "Store.Revoke", &s.counts.revokes, func() error { return s.revoke(id) })
}

// read passes a call that has no effect through the faults.
func (s *Service) read(ctx context.Context, op string, count *atomic.Int64) error {
	if ctx.Err() != nil {
		return fault.Wrap(op, kv.Unavailable, ctx.Err())
	}
	if s.down() {
		return fault.New(op, kv.Unavailable, "the service is down")
	}
	count.Add(1)
	return fault.Wrap(op, kv.Unavailable, s.delay(ctx))
}

// write passes a call that has an effect through the faults.
func (s *Service) write(ctx context.Context, op string, count *atomic.Int64, apply func() error) error {
	if ctx.Err() != nil {
		return fault.Wrap(op, kv.Unavailable, ctx.Err())
	}
	if s.down() {
		return fault.New(op, kv.Unavailable, "the service is down")
	}
	count.Add(1)
	if err := s.delay(ctx); err != nil {
		return fault.Wrap(op, kv.Unknown, err)
	}
	// The refusal of a write that was held reaches nobody.
	if s.losesRequest(func() { _ = apply() }) {
		return fault.New(op, kv.Unknown, "no answer came")
	}
	if err := apply(); err != nil {
		return err
	}
	if s.losesAnswer() {
		return fault.New(op, kv.Unknown, "no answer came")
	}
	return nil
}
