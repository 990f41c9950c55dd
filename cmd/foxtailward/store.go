package main

import (
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// openStore returns the key-value service at the URLs.
func openStore([]string) (*store.Store, error) {
	return nil, fault.New("openStore", unreachable, "this build has no client of the key-value service")
}
