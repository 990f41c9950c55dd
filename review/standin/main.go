// Package main holds the stand-ins and the scenarios of the review: a store of the
// platform, replicas, clients, and the starter of real entries.
//
// # Usage
//
//	review-standin CASE RECORD
//
// It runs the scenario in the repository's root, with entries as processes of
// their own, writes to the file RECORD what was sent, answered and run, and exits
// with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run.
// With TROUBLE=0 in the environment, the disruption is left out. ENTRY_LOG is the path of the
// entries' logs without their names; they are dropped otherwise.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenarioTime limits a scenario.
const scenarioTime = 110 * time.Second

// scenario plays a case and returns the breaches of the rule that were seen.
type scenario func(w *world) ([]string, error)

var scenarios = map[string]scenario{
	"copy-answer":  copyAnswer,
	"odd-entry":    oddEntry,
	"preempted":    preempted,
	"taken-up":     takenUp,
	"stop-streams": stopStreams,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	time.AfterFunc(scenarioTime, func() {
		w.record("scenario timed out")
		w.close()
		os.Exit(exitFailed)
	})
	breaches, err := scenarios[args[0]](w)
	if err != nil {
		w.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range breaches {
		w.record("BREACH %s", b)
		fmt.Println("BREACH", b)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	w.record("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
