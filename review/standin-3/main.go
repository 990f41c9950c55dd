// Command standin-3 plays the scripts of the review's cases 11 and later. It starts entries as processes of
// their own, stands in for the platform's store, the replicas and the clients, and judges by what clients and
// replicas have seen.
//
// # Usage
//
//	standin-3 CASE --program target/foxtailward --record record.txt
//
// With TROUBLE=0 in the environment the case is played without its disruption. The exit code is 0 if the rule
// held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by their names. Each reports whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"replaced": playReplaced,
	"reuse":    playReuse,
	"silence":  playSilence,
	"readers":  playReaders,
	"channels": playChannels,
	"unframed": playUnframed,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "standin-3: the first argument names no case")
		return exitNotRun
	}
	flags := flag.NewFlagSet("standin-3", flag.ContinueOnError)
	program := flags.String("program", "target/foxtailward", "path of the foxtailward program")
	record := flags.String("record", "record.txt", "file for what was sent, answered and run")
	if flags.Parse(args[1:]) != nil {
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	}
	defer w.close()
	w.note("case %s, with its disruption: %v", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
