package rollout

import (
	"slices"
	"time"

	"foxtailward.example/foxtailward/internal/state/id"
)

const (
	// minWholeTime is the least time that is left for the stage Whole, before commitTime,
	// which is left for the write that completes the roll-out.
	minWholeTime = 2 * time.Second
	commitTime   = 500 * time.Millisecond
	// maxWholePart is the largest part of the time budget that is left for both.
	maxWholePart = 0.35
	// minWatchTime is how long the whole traffic is watched before the roll-out completes.
	minWatchTime = time.Second
	// minCapacity is the least capacity of the new version, relative to the old ones, with
	// which it gets all requests.
	minCapacity = 0.5
	// maxRevertTime is how long the end of a reversion waits for entries.
	maxRevertTime = 3 * time.Second
)

// Reason says why a stage is entered, or what the next one waits for.
type Reason string

// Reasons of steps.
const (
	Ordered       Reason = "ordered"
	JudgedGood    Reason = "judgedGood"
	JudgedBad     Reason = "judgedBad"
	Withdrawn     Reason = "withdrawn"
	Acknowledged  Reason = "acknowledged"
	TimeUp        Reason = "timeUp"
	NothingToMove Reason = "nothingToMove"
)

// Reasons to wait.
const (
	NoOrder       Reason = "noOrder"
	IsFinal       Reason = "final"
	NoTarget      Reason = "noTarget"
	SwitchNotDue  Reason = "switchNotDue"
	FewAnswers    Reason = "fewAnswers"
	FewTargets    Reason = "fewTargets"
	UnknownByOne  Reason = "notAcknowledged"
	RunsAtOld     Reason = "runsAtOld"
	RunsToNew     Reason = "sendsToNew"
	WatchingWhole Reason = "watching"
)

// EntryState is what a running entry has reported.
type EntryState struct {
	// Stage is the number of the stage that it has adopted; 0 if it has reported none.
	Stage int64
	// AtOld is the number of its runs at the old versions.
	AtOld int
}

// View is what a decision is made from.
type View struct {
	Entry id.Entry
	// Order is nil if there is none, or if it was withdrawn.
	Order *Order
	// Stage is nil if none is known. The caller has read it from the key-value service.
	Stage *Stage
	// Share is the largest share of requests that an unproven version gets.
	Share float64
	// BegunMS is the time of day at which the order was first seen.
	BegunMS int64
	// SinceOrder is the time since the order, and SinceStage that since the stage was adopted.
	SinceOrder, SinceStage time.Duration
	// Listed are the versions of the service's targets.
	Listed []id.SoftwareVersion
	// NewSlots and OldSlots count the slots of the targets that are ready.
	NewSlots, OldSlots int
	Finding            Finding
	// ReportedBad is set if another entry has found the version bad.
	ReportedBad bool
	// Entries are all entries that run, this one included.
	Entries []EntryState
	// RunTime is the time in which nearly all runs of the service end.
	RunTime time.Duration
}

// Step is a decision: the next stage, or nil to wait, and the reason.
type Step struct {
	Next   *Stage
	Reason Reason
}

// Decide returns the next step of a service's roll-out.
func Decide(v View) Step {
	switch {
	case v.Order == nil:
		return v.withdrawn()
	case v.Stage == nil || v.Stage.Order != v.Order.Revision:
		return v.begin()
	}
	if !v.Stage.Phase.Final() && v.Stage.Phase != Reverting && !v.Stage.Serves() && (v.Finding.Bad || v.ReportedBad) {
		return v.next(Reverting, 0, JudgedBad)
	}
	switch v.Stage.Phase {
	case Canary:
		return v.fromCanary()
	case Whole:
		return v.fromWhole()
	case Reverting:
		return v.fromReverting()
	}
	return Step{Reason: IsFinal}
}

// withdrawn returns the step without an order: what is unfinished is reverted.
func (v *View) withdrawn() Step {
	switch {
	case v.Stage == nil:
		return Step{Reason: NoOrder}
	case v.Stage.Phase.Final():
		return Step{Reason: IsFinal}
	case v.Stage.Phase == Reverting:
		return v.fromReverting()
	case v.Stage.Serves():
		return v.fromWhole()
	}
	return v.next(Reverting, 0, Withdrawn)
}

// begin returns the first stage of the order.
func (v *View) begin() Step {
	s := &Stage{Number: 1, Order: v.Order.Revision, To: v.Order.To, Phase: Canary, Share: v.Share, Reason: Ordered, Decider: v.Entry, BegunMS: v.BegunMS}
	if v.Stage != nil {
		s.Number = v.Stage.Number + 1
		s.Barred = slices.Clone(v.Stage.Barred)
		if v.Stage.Phase == Completed {
			// Targets of the replaced versions may have to stop yet.
			s.Old = slices.Clone(v.Stage.Old)
		} else {
			s.Barred = append(s.Barred, v.Stage.To)
		}
	}
	s.Old = append(s.Old, v.Listed...)
	s.Barred = withoutVersion(s.Barred, s.To, nil)
	s.Old = withoutVersion(s.Old, s.To, s.Barred)
	switch {
	case len(v.Listed) == 0 || len(withoutVersion(slices.Clone(v.Listed), s.To, s.Barred)) > 0:
	case len(withoutVersion(slices.Clone(v.Listed), s.To, nil)) > 0:
		// It serves already, but the entries may not know yet that those of an unfinished
		// order get nothing more.
		s.Phase, s.Share, s.Reason = Whole, 1, NothingToMove
	default:
		s.Phase, s.Share, s.Reason = Completed, 1, NothingToMove
	}
	return Step{Next: s, Reason: s.Reason}
}

// withoutVersion returns the versions without one and without others, each once.
func withoutVersion(versions []id.SoftwareVersion, one id.SoftwareVersion, others []id.SoftwareVersion) []id.SoftwareVersion {
	kept := slices.DeleteFunc(versions, func(v id.SoftwareVersion) bool { return v == one || slices.Contains(others, v) })
	slices.Sort(kept)
	return slices.Compact(kept)
}

func (v *View) next(phase Phase, share float64, why Reason) Step {
	next := *v.Stage
	next.Number++
	next.Phase, next.Share, next.Decider = phase, share, v.Entry
	if phase != Reverted {
		// A reverted stage keeps the reason of the reversion.
		next.Reason = why
	}
	return Step{Next: &next, Reason: why}
}

// fromCanary waits until the switch is due, then for a version that is judged good.
func (v *View) fromCanary() Step {
	switch {
	case v.NewSlots == 0:
		return Step{Reason: NoTarget}
	case v.SinceOrder < SwitchTime(v.Order.Duration(), v.RunTime):
		return Step{Reason: SwitchNotDue}
	case !v.Finding.Good:
		return Step{Reason: FewAnswers}
	case float64(v.NewSlots) < minCapacity*float64(v.OldSlots):
		return Step{Reason: FewTargets}
	}
	return v.next(Whole, 1, JudgedGood)
}

// SwitchTime returns the time after the order at which all requests may go to the new
// version: as late as its time budget allows, because until then it has only its share.
func SwitchTime(budget, runTime time.Duration) time.Duration {
	left := max(minWholeTime, runTime+minWatchTime) + commitTime
	return budget - min(left, time.Duration(maxWholePart*float64(budget)))
}

// fromWhole waits until nothing is left at the old versions, which stop without draining.
func (v *View) fromWhole() Step {
	if v.SinceStage < minWatchTime {
		return Step{Reason: WatchingWhole}
	}
	for _, e := range v.Entries {
		switch {
		case e.Stage < v.Stage.Number:
			return Step{Reason: UnknownByOne}
		case e.AtOld > 0:
			return Step{Reason: RunsAtOld}
		}
	}
	switch {
	case v.NewSlots == 0:
		return Step{Reason: NoTarget}
	case !v.Finding.Good && !v.Stage.Serves():
		return Step{Reason: FewAnswers}
	}
	return v.next(Completed, 1, Acknowledged)
}

// fromReverting waits until no entry sends to the new version, but not beyond the time
// budget: its targets drain, so that a late request does no harm there.
func (v *View) fromReverting() Step {
	waits := slices.ContainsFunc(v.Entries, func(e EntryState) bool { return e.Stage < v.Stage.Number })
	timeUp := v.SinceStage >= maxRevertTime || (v.Order != nil && v.SinceOrder >= v.Order.Duration()-commitTime)
	switch {
	case !waits:
		return v.next(Reverted, 0, Acknowledged)
	case timeUp:
		return v.next(Reverted, 0, TimeUp)
	}
	return Step{Reason: RunsToNew}
}
