// Package route chooses the target of an attempt.
//
// Choose scores a few sampled replicas by the time that the request is expected
// to take there. The estimate covers queue, prefill and decode pace. It comes
// from the target's last load report, what this entry has sent there since, and
// what is known of the target's prefix cache. Many entries hold the same
// reports; because each samples at random, they don't all send their work to
// one target.
//
// # Usage
//
//	router := route.New(cfg, view)
//	decision, ok := router.Choose(request, clock.Now(), rng)
//	if !ok { … }
//	router.Begin(decision.Target, request.Class, request.PromptTokens, clock.Now())
//	defer router.End(decision.Target, request.Class, request.PromptTokens, clock.Now())
//
// Choose may be called from several goroutines if each has a random source of
// its own. It allocates nothing unless the view has changed.
package route

import (
	"cmp"
	"time"

	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Reason says why a target was chosen, or why none was.
type Reason string

// Reasons for the choice of a target.
const (
	// OnlyReplica means that no other replica could accept the request.
	OnlyReplica Reason = "onlyReplica"
	// LeastWait means that the replica had the lowest expected cost of those
	// that were scored.
	LeastWait Reason = "leastWait"
	// CachedPrefix means that the replica had the lowest expected cost because
	// of a cached prefix.
	CachedPrefix Reason = "cachedPrefix"
	// Probe means that an ejected replica is tried again.
	Probe Reason = "probe"
	// Unconfirmed means that no replica has a recent load report. The target's
	// own process accepts or refuses the request.
	Unconfirmed Reason = "unconfirmed"
	// LastResort means that all replicas that were left are ejected.
	LastResort Reason = "lastResort"
)

// Reasons why no target was chosen.
const (
	// NoReplica means that no target serves the model or service.
	NoReplica Reason = "noReplica"
	// NoneAvailable means that no replica accepts requests now, or that all are
	// excluded.
	NoneAvailable Reason = "noneTakesWork"
)

// Request describes a request that needs a target.
type Request struct {
	// One of Model and Service is set. An empty Version stands for any version,
	// an empty Adapter for none.
	Model   id.Model
	Version id.Version
	Adapter id.Adapter
	Service id.Service
	Class   generation.Class
	// PromptTokens is the number of tokens to compute before the first new one.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Blocks are the hashes of the prompt's blocks as the engine's cache events
	// name them. Each hash also covers all blocks before it. BlockTokens is the
	// length of a block.
	Blocks      []uint64
	BlockTokens int
	// Exclude names targets that must not be chosen.
	Exclude []id.Target
	// AvoidZone is the zone where the request's target was lost. Its targets are
	// chosen only when the others cost much more.
	AvoidZone id.Zone
}

// Decision is a chosen target, or the reason why there is none.
type Decision struct {
	Target  id.Target
	Address string
	Version id.Version
	Reason  Reason
	// Considered is the number of replicas that were scored.
	Considered int
	// Wait is the expected time to the first token.
	Wait time.Duration
	// HasFreeSlot says that the target is estimated to have a free slot for the
	// class.
	HasFreeSlot bool
	// CachedTokens is the number of prompt tokens that are expected to be
	// cached.
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

// Config sets how targets are chosen. A field that is zero gets its default.
type Config struct {
	Zone   id.Zone
	Region id.Region
	// SampleSize is the number of replicas scored for a decision, at most 16.
	SampleSize int
	// ScanLimit is the maximum number of replicas that are scored in order when
	// the best one of the sample has no free slot.
	ScanLimit int
	// HeadroomShare is the share of a target's slots that is reserved for
	// requests of class Short.
	HeadroomShare float64
	// ZoneDelay and RegionDelay are the round-trip times to another zone and to
	// another region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// AgeScale is the age at which a load report and the mean occupancy of
	// all replicas have equal weight.
	AgeScale time.Duration
	// EjectionTime is how long an outlier is ejected the first time. It doubles
	// each time up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// SlowFactor is how many times slower than the mean a replica must be to
	// count as an outlier.
	SlowFactor float64
	// ConsecutiveFailures is the number of failures in a row that eject a
	// replica.
	ConsecutiveFailures int
	// MaxEjectionShare is the largest share of a model's replicas that may be
	// ejected at once.
	MaxEjectionShare float64
	// RebuildInterval is the least time between two rebuilds of the index.
	RebuildInterval time.Duration
}

// maxSample is the upper limit of Config.SampleSize.
const maxSample = 16

// Defaults sets the fields of c that are zero.
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
