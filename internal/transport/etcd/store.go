package etcd

import (
	"context"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/etcd"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func (c *Client) get(ctx context.Context, key string) (store.Item, error) {
	var resp etcd.RangeResponse
	req := etcd.RangeRequest{Key: []byte(key)}
	if err := c.read(ctx, "Store.Get", etcd.PathRange, &req, &resp); err != nil {
		return store.Item{}, err
	}
	return findItem(resp.Kvs, key), nil
}

func (c *Client) list(ctx context.Context, prefix string) (store.Page, error) {
	var resp etcd.RangeResponse
	req := etcd.RangeRequest{Key: []byte(prefix), RangeEnd: etcd.PrefixEnd(prefix)}
	if err := c.read(ctx, "Store.List", etcd.PathRange, &req, &resp); err != nil {
		return store.Page{}, err
	}
	page := store.Page{Revision: resp.Header.Revision, Items: make([]store.Item, len(resp.Kvs))}
	for i := range resp.Kvs {
		page.Items[i] = toItem(&resp.Kvs[i])
	}
	return page, nil
}

func (c *Client) commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	var resp etcd.TxnResponse
	if err := c.write(ctx, "Store.Commit", etcd.PathTxn, toTxnRequest(&txn), &resp); err != nil {
		return store.Result{}, err
	}
	result := store.Result{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}
	if resp.Succeeded {
		return result, nil
	}
	var kvs []etcd.KeyValue
	for _, r := range resp.Responses {
		if r.Range != nil {
			kvs = append(kvs, r.Range.Kvs...)
		}
	}
	for _, cmp := range txn.Compares {
		result.Current = append(result.Current, findItem(kvs, cmp.Key))
	}
	return result, nil
}

func toTxnRequest(txn *store.Txn) *etcd.TxnRequest {
	req := &etcd.TxnRequest{}
	for _, c := range txn.Compares {
		req.Compare = append(req.Compare, etcd.Compare{
			Result: etcd.CompareEqual, Target: etcd.CompareMod, Key: []byte(c.Key), ModRevision: c.ModRevision,
		})
		req.Failure = append(req.Failure, etcd.RequestOp{Range: &etcd.RangeRequest{Key: []byte(c.Key)}})
	}
	for _, p := range txn.Puts {
		req.Success = append(req.Success, etcd.RequestOp{Put: &etcd.PutRequest{
			Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease),
		}})
	}
	for _, key := range txn.Deletes {
		req.Success = append(req.Success, etcd.RequestOp{DeleteRange: &etcd.DeleteRangeRequest{Key: []byte(key)}})
	}
	return req
}

// grant rounds ttl up to whole seconds, the service's unit.
func (c *Client) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var resp etcd.LeaseGrantResponse
	req := etcd.LeaseGrantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	if err := c.write(ctx, "Store.Grant", etcd.PathGrant, &req, &resp); err != nil {
		return 0, err
	}
	return store.LeaseID(resp.ID), nil
}

func (c *Client) keepAlive(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	const op = "Store.KeepAlive"
	var resp etcd.LeaseKeepAliveMessage
	req := etcd.LeaseKeepAliveRequest{ID: int64(lease)}
	if err := c.write(ctx, op, etcd.PathKeepAlive, &req, &resp); err != nil {
		return 0, err
	}
	if resp.Result == nil || resp.Result.TTL <= 0 {
		return 0, c.countError(fault.New(op, store.Invalid, "lease %d has expired", lease))
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

func (c *Client) revoke(ctx context.Context, lease store.LeaseID) error {
	req := etcd.LeaseRevokeRequest{ID: int64(lease)}
	return c.write(ctx, "Store.Revoke", etcd.PathRevoke, &req, &etcd.LeaseRevokeResponse{})
}

// findItem returns the item of key. If kvs does not contain the key, the item has
// ModRevision 0.
func findItem(kvs []etcd.KeyValue, key string) store.Item {
	for i := range kvs {
		if string(kvs[i].Key) == key {
			return toItem(&kvs[i])
		}
	}
	return store.Item{Key: key}
}

func toItem(kv *etcd.KeyValue) store.Item {
	return store.Item{
		Key:         string(kv.Key),
		Value:       kv.Value,
		ModRevision: kv.ModRevision,
		Lease:       store.LeaseID(kv.Lease),
	}
}
