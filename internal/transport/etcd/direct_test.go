package etcd_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/store"
	standin "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/etcd"
)

// TestSameAsDirect makes the same random calls through the gateway and, on a second
// stand-in service, without HTTP. Every result and error kind must be equal.
func TestSameAsDirect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		server, err := standin.Listen("127.0.0.1:0", standin.Options{})
		is.NoErr(err)
		defer server.Close()
		c, err := etcd.New(etcd.Options{Endpoints: []string{server.URL()}})
		is.NoErr(err)
		defer c.Close()
		other := standin.New(standin.Options{})
		defer other.Close()
		p := pair{gateway: c.Store(), direct: other.Direct(), is: is}
		t.Repeat(map[string]func(*rapid.T){
			"commit": p.commit,
			"read":   p.read,
			"lease":  p.lease,
			"lost": func(t *rapid.T) {
				server.DropResponses(1)
				other.DropResponses(1)
				p.commit(t)
				server.DropResponses(0)
				other.DropResponses(0)
				// The read resets the client's count of consecutive lost answers.
				// Without it, the client would enter its backoff.
				p.read(t)
			},
		})
	})
}

// pair makes the same calls on two stores.
type pair struct {
	gateway, direct store.Store
	is              *is.I
	leases          []store.LeaseID
}

func (p *pair) requireSame(a, b any, errA, errB error) {
	kindA, failedA := fault.KindOf[store.Kind](errA)
	kindB, failedB := fault.KindOf[store.Kind](errB)
	p.is.Equal(failedA, failedB)
	p.is.Equal(kindA, kindB)
	p.is.Equal(fmt.Sprintf("%+v", a), fmt.Sprintf("%+v", b))
}

var keys = rapid.SampledFrom([]string{"a", "a/1", "a/2", "b", "b/1"})

func (p *pair) commit(t *rapid.T) {
	var txn store.Txn
	for range rapid.IntRange(0, 2).Draw(t, "compares") {
		txn.Compares = append(txn.Compares, store.Compare{
			Key:         keys.Draw(t, "compared"),
			ModRevision: rapid.Int64Range(0, 6).Draw(t, "revision"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "puts") {
		put := store.Put{Key: keys.Draw(t, "put"), Value: rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "value")}
		if len(p.leases) > 0 && rapid.Bool().Draw(t, "leased") {
			put.Lease = rapid.SampledFrom(p.leases).Draw(t, "lease")
		}
		txn.Puts = append(txn.Puts, put)
	}
	for range rapid.IntRange(0, 1).Draw(t, "deletes") {
		txn.Deletes = append(txn.Deletes, keys.Draw(t, "deleted"))
	}
	a, errA := p.gateway.Commit(context.Background(), txn)
	b, errB := p.direct.Commit(context.Background(), txn)
	p.requireSame(a, b, errA, errB)
}

func (p *pair) read(t *rapid.T) {
	key := keys.Draw(t, "key")
	itemA, errA := p.gateway.Get(context.Background(), key)
	itemB, errB := p.direct.Get(context.Background(), key)
	p.requireSame(itemA, itemB, errA, errB)
	pageA, errA := p.gateway.List(context.Background(), key)
	pageB, errB := p.direct.List(context.Background(), key)
	p.requireSame(pageA, pageB, errA, errB)
}

func (p *pair) lease(t *rapid.T) {
	if len(p.leases) > 0 && rapid.Bool().Draw(t, "revoke") {
		lease := rapid.SampledFrom(p.leases).Draw(t, "lease")
		p.requireSame(0, 0, p.gateway.Revoke(context.Background(), lease), p.direct.Revoke(context.Background(), lease))
		return
	}
	a, errA := p.gateway.Grant(context.Background(), time.Hour)
	b, errB := p.direct.Grant(context.Background(), time.Hour)
	p.requireSame(a, b, errA, errB)
	p.leases = append(p.leases, a)
}
