// Package crashes simulates requests that crash the targets that run them, on virtual time.
//
// Entries send requests to targets, lose them, and tell each other what they saw, with the
// quarantine that real entries use. Zones are lost at intervals. The size of the deployment,
// its rates, its losses and the behaviour of the crashing request are drawn from the seed.
//
// # Usage
//
//	r := crashes.Run(crashes.NewOptions(seed))
//	if !r.Holds() { … }
package crashes

import (
	"math/rand/v2"
	"time"
)

// Bounds for a crashing request. They are the users'.
const (
	// AllowedCrashes is the number of crashes after which the request must no longer be
	// sent to targets.
	AllowedCrashes = 3
	// AllowedRetries is how often it may still reach targets later than ContactTime after
	// the last allowed crash.
	AllowedRetries = 3
	// AllowedPartCrashes is the number of crashes after which requests with a part must no
	// longer be sent to targets, but for AllowedRetries of them.
	AllowedPartCrashes = 5
	// ContactTime is the time that entries have to act on what happened.
	ContactTime = 3 * time.Second
)

// Options describes a deployment, its load and its failures.
type Options struct {
	Seed           uint64        `json:"seed"`
	Duration       time.Duration `json:"duration"`
	Entries        int           `json:"entries"`
	Zones          int           `json:"zones"`
	TargetsPerZone int           `json:"targetsPerZone"`
	// RequestsPerSecond is the rate of requests that crash nothing, of which a tenth
	// have one of five popular contents, and RunTime their mean time at a target.
	RequestsPerSecond float64       `json:"requestsPerSecond"`
	RunTime           time.Duration `json:"runTime"`
	// Attempts is at how many targets one request may be tried.
	Attempts int `json:"attempts"`
	// Downtime is the time until a target that ended is replaced by a new one.
	Downtime time.Duration `json:"downtime"`
	// ZoneLossInterval is the time between two losses of a zone; 0 for none.
	ZoneLossInterval time.Duration `json:"zoneLossInterval"`
	// CrashesPerSecond is the rate at which single targets end without a request's
	// fault, at most one end of each target in two minutes.
	CrashesPerSecond float64 `json:"crashesPerSecond"`
	// MessageLoss is the share of messages between entries that are lost.
	MessageLoss float64 `json:"messageLoss"`
	// Crasher says whether there is a request that crashes targets, Gap how often it is
	// sent, CrashAfter how long it runs until its target ends, and OneZone whether only
	// targets of one zone accept it.
	Crasher    bool          `json:"crasher"`
	Gap        time.Duration `json:"gap"`
	CrashAfter time.Duration `json:"crashAfter"`
	OneZone    bool          `json:"oneZone"`
	// Copies is at how many entries the crashing request is sent at the same time; 0
	// stands for one.
	Copies int `json:"copies"`
	// PartsPerSecond is the rate of requests that share a part which crashes targets, each
	// of another content; 0 for none. They share their first parts with requests that crash
	// nothing.
	PartsPerSecond float64 `json:"partsPerSecond"`
	// Crashers is the number of different crashing requests; 0 stands for one. Each is
	// sent every Gap.
	Crashers int `json:"crashers"`
	// Plain says that the targets are those of a plain service. Requests that fail come
	// again once from their clients.
	Plain bool `json:"plain"`
	// FailShare is the share of runs that end in nothing: with an error, or at their time
	// limit. BreakShare is that of runs whose connection breaks while the target lives.
	FailShare  float64 `json:"failShare"`
	BreakShare float64 `json:"breakShare"`
	// OthersPerZone is the number of targets of another service, of which OtherLossShare
	// end every OtherLossInterval.
	OthersPerZone     int           `json:"othersPerZone"`
	OtherLossShare    float64       `json:"otherLossShare"`
	OtherLossInterval time.Duration `json:"otherLossInterval"`
}

// Report is the result of a run.
type Report struct {
	Options Options `json:"options"`
	// Harmless counts the sent requests that crash nothing, HarmlessRefused those of
	// them that were refused as if they did.
	Harmless int `json:"harmless"`
	// HarmlessHeld counts those that had to come back later.
	HarmlessRefused int `json:"harmlessRefused"`
	HarmlessHeld    int `json:"harmlessHeld"`
	// Lost counts the targets that ended without a request's fault, and Crashes those
	// that the crashing request ended.
	Lost    int `json:"lost"`
	Crashes int `json:"crashes"`
	// CrasherSent and CrasherRefused count the sends of the crashing request, and
	// LateRetries those that reached targets later than allowed.
	CrasherSent    int `json:"crasherSent"`
	CrasherRefused int `json:"crasherRefused"`
	// LateRetries is the largest of several crashing requests.
	LateRetries int `json:"lateRetries"`
	// PartCrashes counts the targets that the crashing part ended, and LateParts the
	// requests with it that reached targets later than allowed.
	PartCrashes int `json:"partCrashes"`
	LateParts   int `json:"lateParts"`
}

// between draws a duration.
func between(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Float64()*float64(to-from))
}

// NewPlainOptions returns options, drawn from a seed, of a plain service of three targets, one
// a zone, with several crashing requests at once, ends of another service's targets in the
// same zones, and runs that end in nothing. One seed in eight has no crashing request.
func NewPlainOptions(seed uint64) Options {
	r := rand.New(rand.NewPCG(seed, 3))
	o := Options{
		Seed: seed, Plain: true, Duration: 30 * time.Second, Entries: 1 + r.IntN(8), Zones: 3, TargetsPerZone: 1,
		RequestsPerSecond: 20 + 60*r.Float64(), RunTime: between(r, 20*time.Millisecond, 60*time.Millisecond), Attempts: 1 + r.IntN(2),
		Downtime: between(r, 2*time.Second, 4*time.Second), MessageLoss: 0.1 * r.Float64(),
		Crasher: r.IntN(8) > 0, Crashers: 1 + r.IntN(3), Gap: between(r, 60*time.Millisecond, 3*time.Second),
		CrashAfter: between(r, 10*time.Millisecond, 100*time.Millisecond), Copies: 1 + r.IntN(3),
		FailShare: 0.3 * r.Float64(), OthersPerZone: 4 + r.IntN(9),
	}
	if r.IntN(2) == 0 {
		o.BreakShare = 0.02 * r.Float64()
	}
	if r.IntN(4) > 0 {
		o.OtherLossShare, o.OtherLossInterval = r.Float64(), between(r, 500*time.Millisecond, 8*time.Second)
	}
	if r.IntN(4) == 0 {
		o.CrashesPerSecond = 0.1 * r.Float64()
	}
	return o
}

// NewOptions returns options drawn from a seed. One seed in four has no crashing request.
func NewOptions(seed uint64) Options {
	r := rand.New(rand.NewPCG(seed, 1))
	o := Options{
		Seed: seed, Duration: 30 * time.Second, Entries: 1 + r.IntN(12), Zones: 1 + r.IntN(5), TargetsPerZone: 2 + r.IntN(16),
		RunTime: between(r, 50*time.Millisecond, 5*time.Second), Attempts: 1 + r.IntN(5),
		Downtime: between(r, 800*time.Millisecond, 4*time.Second), MessageLoss: 0.2 * r.Float64(),
		Crasher: r.IntN(4) > 0, Gap: between(r, 100*time.Millisecond, 4*time.Second), CrashAfter: between(r, 0, 1500*time.Millisecond),
		OneZone: r.IntN(3) == 0,
	}
	runningPerTarget := 1 + 7*r.Float64()
	o.RequestsPerSecond = runningPerTarget * float64(o.Zones*o.TargetsPerZone) / o.RunTime.Seconds()
	if r.IntN(3) > 0 {
		o.ZoneLossInterval = between(r, 4*time.Second, 10*time.Second)
	}
	if r.IntN(3) == 0 {
		o.CrashesPerSecond = r.Float64() * float64(o.Zones*o.TargetsPerZone) / 120
	}
	return o
}

// Holds reports whether the crashing request was refused in time, and no other request
// was.
func (r *Report) Holds() bool {
	return r.LateRetries <= AllowedRetries && r.LateParts <= AllowedRetries && r.HarmlessRefused == 0
}

// Add adds the counts of another run to r.
func (r *Report) Add(other *Report) {
	r.Harmless += other.Harmless
	r.HarmlessRefused += other.HarmlessRefused
	r.HarmlessHeld += other.HarmlessHeld
	r.Lost += other.Lost
	r.Crashes += other.Crashes
	r.CrasherSent += other.CrasherSent
	r.CrasherRefused += other.CrasherRefused
	r.LateRetries = max(r.LateRetries, other.LateRetries)
	r.PartCrashes += other.PartCrashes
	r.LateParts += other.LateParts
}
