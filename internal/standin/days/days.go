// Package days draws days on which requests crash the targets that run them, beside other
// disturbances, for installations that are played elsewhere.
//
// The requests are mostly those of plain services, which have few targets. What an
// installation offers to be disturbed is passed in; the same seed draws the same day.
//
// # Usage
//
//	day := days.Draw(days.Installation{Routes: …, Services: …, Usual: 41}, seed)
package days

import (
	"math/rand/v2"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

// Route is a kind of request of an installation.
type Route struct {
	Name  string
	Plain bool
}

// Installation is what days are drawn for.
type Installation struct {
	Routes   []Route
	Services []id.Service
	// Usual is the number of usual disturbances of the installation, which it describes
	// itself.
	Usual int
}

// Kind is the kind of a disturbance.
type Kind string

// Kinds of disturbances.
const (
	// Crasher makes a share of a route's requests crash the targets that run them.
	Crasher Kind = "crasher"
	// TargetsLost ends a share of a service's targets, TargetsGone for good, and
	// TargetsSilent without a sign.
	TargetsLost   Kind = "targetsLost"
	TargetsGone   Kind = "targetsGone"
	TargetsSilent Kind = "targetsSilent"
	TargetsSlow   Kind = "targetsSlow"
	// TargetsFail lets a share of the targets answer with errors, and TargetsReset close
	// connections.
	TargetsFail  Kind = "targetsFail"
	TargetsReset Kind = "targetsReset"
	ClientsLeave Kind = "clientsLeave"
	Burst        Kind = "burst"
	EntriesEnd   Kind = "entriesEnd"
	EntriesSlow  Kind = "entriesSlow"
	EntriesCut   Kind = "entriesCut"
	// Usual is one of the installation's usual disturbances.
	Usual Kind = "usual"
)

// besides are the kinds that are drawn beside the crashing requests.
var besides = []Kind{
	TargetsLost, TargetsLost, TargetsGone, TargetsSilent, TargetsSlow, TargetsFail, TargetsReset, ClientsLeave, ClientsLeave,
	Burst, EntriesEnd, EntriesSlow, EntriesCut, Usual, Usual, Usual,
}

// Disturbance is one disturbance of a day.
type Disturbance struct {
	Kind Kind
	// At is the time since the start of the day.
	At  time.Duration
	For time.Duration
	// Share is the share of what can be disturbed, from 0 to 1.
	Share float64
	// Service is the service whose targets are disturbed.
	Service id.Service
	// Route is the route of a Crasher.
	Route string
	// Usual is the index of a usual disturbance.
	Usual int
}

// Day is a drawn day.
type Day struct {
	Seed         uint64
	Disturbances []Disturbance
	// ConfigChanges are the times at which the operator changes the configuration.
	ConfigChanges []time.Duration
}

const (
	crasherTime  = 22 * time.Second
	maxCrashers  = 3
	maxBesides   = 5
	plainPercent = 85
)

// Draw draws the day of a seed.
func Draw(i Installation, seed uint64) Day {
	r := rand.New(rand.NewPCG(seed, 30))
	d := Day{Seed: seed, ConfigChanges: []time.Duration{6 * time.Second, 10 * time.Second, 14 * time.Second}}
	for range 1 + r.IntN(maxCrashers) {
		d.Disturbances = append(d.Disturbances, drawCrasher(r, i.Routes))
	}
	for range 1 + r.IntN(maxBesides) {
		d.Disturbances = append(d.Disturbances, drawBeside(r, i))
	}
	return d
}

// drawCrasher draws requests that crash targets, mostly of a plain service.
func drawCrasher(r *rand.Rand, routes []Route) Disturbance {
	var choices []Route
	plain := r.IntN(100) < plainPercent
	for _, route := range routes {
		if route.Plain == plain {
			choices = append(choices, route)
		}
	}
	if len(choices) == 0 {
		choices = routes
	}
	shares := []float64{0.01, 0.03, 0.08, 0.2, 0.4}
	return Disturbance{
		Kind: Crasher, At: between(r, 4*time.Second, 8*time.Second), For: crasherTime,
		Share: shares[r.IntN(len(shares))], Route: choices[r.IntN(len(choices))].Name,
	}
}

// drawBeside draws another disturbance.
func drawBeside(r *rand.Rand, i Installation) Disturbance {
	d := Disturbance{
		Kind: besides[r.IntN(len(besides))], At: between(r, 4*time.Second, 20*time.Second), For: between(r, 1500*time.Millisecond, 9*time.Second),
		Share: 0.1 + 0.8*r.Float64(), Service: i.Services[r.IntN(len(i.Services))],
	}
	if i.Usual > 0 {
		d.Usual = r.IntN(i.Usual)
	}
	return d
}

// between draws a time, in steps of 100 ms.
func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return (from + time.Duration(r.Float64()*float64(to-from))).Round(100 * time.Millisecond)
}
