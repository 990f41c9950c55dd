package target

import "context"

type caller struct{}

func newCaller(*Process) *caller                 { return &caller{} }
func (*caller) counts() counts                   { return counts{} }
func (*caller) close()                           {}
func (*caller) sweep()                           {}
func (*caller) drain()                           {}
func (*caller) waiting() []string                { return nil }
func (*caller) health(ctx context.Context) error { return ctx.Err() }
