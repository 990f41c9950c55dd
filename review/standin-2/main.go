// Command standin-2 plays the cases of the second independent review: it starts the project's
// entries as processes, beside stand-ins of its own for the platform's store, replicas and clients.
//
// # Usage
//
//	review-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// longest is how long a case may run.
const longest = 115 * time.Second

// cases are the cases by name.
var cases = map[string]func(w *world) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	go w.endAtSignal()
	code, err := cases[os.Args[1]](w)
	w.stop()
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	w.note("exit %d", code)
	os.Exit(code)
}

// endAtSignal ends the case, and all processes that it started, at a signal or once it has run too long.
func (w *world) endAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	w.note("the case was ended early")
	w.stop()
	os.Exit(cannotRun)
}
