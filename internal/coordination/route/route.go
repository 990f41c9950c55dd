// Package route chooses the target of an attempt.
//
// A decision weighs a few sampled replicas by the wait that the request would
// meet there: queue, prefill and pace, from the target's last report, what this
// entry has sent there since, and what is known of the prefix cache. Sampling
// keeps many entries that hold the same reports from sending all their work to
// one target.
//
// # Usage
//
//	router := route.New(cfg, view)
//	decision, ok := router.Choose(ask, clock.Now(), rng)
//	if !ok { … }
//	router.Begin(decision.Target, ask.Class, ask.Tokens, clock.Now())
//	defer router.End(decision.Target, ask.Class, ask.Tokens, clock.Now())
//
// Choose may be called from several goroutines, each with a random source of
// its own. It allocates nothing while the view stays as it is.
package route

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Reason says why a target was chosen, or why none was.
type Reason string

// Reasons of a choice.
const (
	// OnlyReplica means that one replica alone could take the work.
	OnlyReplica Reason = "onlyReplica"
	// LeastWait means that the replica had the least expected wait of those
	// that were considered.
	LeastWait Reason = "leastWait"
	// CachedPrefix means that a cached prefix made the wait the least.
	CachedPrefix Reason = "cachedPrefix"
	// Probe means that a replica that was put aside is tried again.
	Probe Reason = "probe"
	// Unconfirmed means that no replica has a young report; the target's own
	// process accepts or refuses.
	Unconfirmed Reason = "unconfirmed"
	// LastResort means that only replicas that were put aside were left.
	LastResort Reason = "lastResort"
)

// Reasons for no choice.
const (
	// NoReplica means that no target serves what was asked for.
	NoReplica Reason = "noReplica"
	// NoneAvailable means that no replica takes work now, or all were excluded.
	NoneAvailable Reason = "noneTakesWork"
)

// Request is what needs a target.
type Request struct {
	// Model and Service: one of the two is set. An empty Version or Adapter
	// asks for any version and no adapter.
	Model   id.Model
	Version id.Version
	Adapter id.Adapter
	Service id.Service
	Class   generation.Class
	// PromptTokens is the number of tokens to compute before the first new one.
	PromptTokens int
	// OutputTokens is the number of tokens that the answer is expected to have.
	OutputTokens int
	// Blocks are the hashes of the prompt's blocks, each over all blocks before
	// it, as the engine's cache events name them; BlockTokens is their length.
	Blocks      []uint64
	BlockTokens int
	// Exclude names targets that must not be chosen.
	Exclude []id.Target
	// AvoidZone is the zone of a death; its targets are the second choice.
	AvoidZone id.Zone
}

// Decision is a chosen target.
type Decision struct {
	Target  id.Target
	Address string
	Version id.Version
	Reason  Reason
	// Considered is the number of replicas that were weighed.
	Considered int
	// Wait is the expected time to the first token.
	Wait time.Duration
	// HasFreeSlot says that the target has a slot for the class, by what is known.
	HasFreeSlot bool
	// CachedTokens is the number of prompt tokens believed to be cached.
	CachedTokens int
}

// Defaults of Config.
const (
	DefaultSampleSize          = 6
	DefaultScanLimit           = 32
	DefaultHeadroomShare       = 0.1
	DefaultZoneDelay           = 2 * time.Millisecond
	DefaultRegionDelay         = 40 * time.Millisecond
	DefaultAgeScale            = 10 * time.Second
	DefaultEjectionTime        = 2 * time.Second
	DefaultMaxEjectionTime     = time.Minute
	DefaultSlowFactor          = 3.0
	DefaultConsecutiveFailures = 3
	DefaultMaxEjectionShare    = 0.3
	DefaultRebuildInterval     = 100 * time.Millisecond
)

// Config sets how targets are chosen. A zero field means its default.
type Config struct {
	Zone   id.Zone
	Region id.Region
	// SampleSize is the number of replicas weighed for a decision, at most 16.
	SampleSize int
	// ScanLimit is the number of replicas that are weighed one after another
	// when all of the sample are full.
	ScanLimit int
	// HeadroomShare is the part of a target's slots that only short work uses.
	HeadroomShare float64
	// ZoneDelay and RegionDelay are the times there and back to another zone
	// and another region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// AgeScale is the age at which a report counts half, the mean of all
	// replicas the other half.
	AgeScale time.Duration
	// EjectionTime is how long an outlier is first put aside; it doubles to AsideMax.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// SlowFactor is how many times slower than the others an outlier is.
	SlowFactor float64
	// ConsecutiveFailures in a row put a replica aside.
	ConsecutiveFailures int
	// MaxEjectionShare is the largest part of a model's replicas put aside.
	MaxEjectionShare float64
	// RebuildInterval is the least time between two rebuilds of the index.
	RebuildInterval time.Duration
}

// maxSample bounds Config.Sample.
const maxSample = 16

// Defaults fills in what c leaves out.
func (c *Config) Defaults() {
	c.SampleSize = cmp.Or(c.SampleSize, DefaultSampleSize)
	c.SampleSize = min(c.SampleSize, maxSample)
	c.ScanLimit = cmp.Or(c.ScanLimit, DefaultScanLimit)
	c.HeadroomShare = cmp.Or(c.HeadroomShare, DefaultHeadroomShare)
	c.ZoneDelay = cmp.Or(c.ZoneDelay, DefaultZoneDelay)
	c.RegionDelay = cmp.Or(c.RegionDelay, DefaultRegionDelay)
	c.AgeScale = cmp.Or(c.AgeScale, DefaultAgeScale)
	c.EjectionTime = cmp.Or(c.EjectionTime, DefaultEjectionTime)
	c.MaxEjectionTime = cmp.Or(c.MaxEjectionTime, DefaultMaxEjectionTime)
	c.SlowFactor = cmp.Or(c.SlowFactor, DefaultSlowFactor)
	c.ConsecutiveFailures = cmp.Or(c.ConsecutiveFailures, DefaultConsecutiveFailures)
	c.MaxEjectionShare = cmp.Or(c.MaxEjectionShare, DefaultMaxEjectionShare)
	c.RebuildInterval = cmp.Or(c.RebuildInterval, DefaultRebuildInterval)
}
