package main

import (
	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/transport/etcd"
)

// openStore returns a client of the key-value service at the URLs, and a function
// that closes it.
func openStore(urls []string, clock clockwork.Clock) (*store.Store, func(), error) {
	client, err := etcd.New(etcd.Options{Endpoints: urls, Clock: clock})
	if err != nil {
		return nil, nil, fault.New("openStore", usage, "--%s: %v", flagStore, err)
	}
	s := client.Store()
	return &s, client.Close, nil
}
