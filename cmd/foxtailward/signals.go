package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// daemonSignals are the signals that a daemon has received.
type daemonSignals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// catchSignals catches the signals of a daemon. They stay caught until the process is gone,
// so that none of them ends it by its default action.
func catchSignals() *daemonSignals {
	s := &daemonSignals{stops: make(chan os.Signal, 2), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// onHangup calls reload after each SIGHUP. Those that arrive while it runs count as one.
func (s *daemonSignals) onHangup(reload func()) {
	for range s.hangups {
		reload()
	}
}

// runUntilStop runs a process. The first SIGTERM or interrupt makes it drain; a
// second one calls abort.
func (s *daemonSignals) runUntilStop(ctx context.Context, run func(context.Context) error, abort func()) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	go s.handleStops(serving, drain, abort)
	return run(ctx)
}

// handleStops calls drain at the first signal and abort at the second, until ctx
// ends.
func (s *daemonSignals) handleStops(ctx context.Context, drain, abort func()) {
	for _, handle := range []func(){drain, abort} {
		select {
		case <-s.stops:
			handle()
		case <-ctx.Done():
			return
		}
	}
}
