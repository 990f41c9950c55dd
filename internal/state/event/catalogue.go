package event

import "fmt"

// Process events, from 100.
var (
	ProcessStarted = Event{100, "processStarted", Info, "A process has started and listens.", "none"}
	ProcessReady   = Event{101, "processReady", Info, "A process has its configuration and takes work.", "none"}
	DrainStarted   = Event{102, "drainStarted", Info, "A process was told to stop and takes no new work.", "wait; status shows what is waited for"}
	DrainWaiting   = Event{103, "drainWaiting", Info, "A stopping process still holds work.", "wait; a second signal cuts the work that is named"}
	DrainEnded     = Event{104, "drainEnded", Info, "A stopping process holds no work and ends.", "none"}
	WorkAborted    = Event{105, "workCut", Error, "A second signal ended a process that still held work.", "none; the callers were told"}
	SettingsRead   = Event{107, "settingsRead", Info, "A hangup signal made the process read its settings again.", "restart the process if they changed"}
	LinesDropped   = Event{108, "linesDropped", Warn, "Log lines came faster than they were written, and some were dropped.", "look at what reads the log"}
	TaskFailed     = Event{106, "loopFailed", Error, "A duty of the process ended with an error.", "read the error; the process goes on or ends as the line says"}
)

// Request events, from 200.
var (
	RequestAccepted  = Event{200, "requestAccepted", Info, "A request passed its contract's checks and limits.", "none"}
	RequestRefused   = Event{201, "requestRefused", Info, "A request was not run, and its caller was told so.", "see the reason; raise a limit in the contract if it is meant to pass"}
	RequestJoined    = Event{202, "requestJoined", Info, "A request met a running or finished one with its key.", "none"}
	RequestForwarded = Event{203, "requestForwarded", Info, "A request was passed to its home entry.", "none"}
	RequestFinished  = Event{204, "requestFinished", Info, "An answer is whole.", "none"}
	RequestFailed    = Event{205, "requestFailed", Warn, "An accepted request ended without a whole answer, and its caller was told.", "see the reason"}
	RequestAbandoned = Event{206, "requestAbandoned", Info, "Nobody reads an answer any more, and its work was cancelled.", "none"}
	RequestAdopted   = Event{207, "requestAdopted", Warn, "An entry took over a request whose owner is gone.", "none"}
)

// Routing and recovery events, from 300.
var (
	RouteChosen        = Event{300, "routeChosen", Info, "A target was chosen for an attempt.", "none"}
	RouteRefused       = Event{301, "routeRefused", Warn, "No target could take an attempt.", "see the reason; add replicas or wait"}
	AttemptStarted     = Event{302, "attemptStarted", Debug, "An attempt was accepted by its target.", "none"}
	AttemptLost        = Event{303, "attemptLost", Warn, "An attempt ended before its answer was whole.", "none; recovery follows"}
	AttemptStalled     = Event{304, "attemptStalled", Warn, "An attempt's tokens stopped coming at its engine's pace.", "none; recovery follows"}
	AttemptResumed     = Event{305, "attemptResumed", Info, "An answer goes on after a loss.", "none"}
	FrameDropped       = Event{306, "frameDropped", Debug, "A frame of an older attempt was dropped.", "none"}
	RecoveryChosen     = Event{307, "recoveryChosen", Info, "A way to go on after a loss was chosen.", "none"}
	RecoveryRefused    = Event{308, "recoveryRefused", Warn, "An answer cannot go on.", "see the reason"}
	RequestSuspected   = Event{309, "requestSuspected", Warn, "A request's fingerprint was running when its target died alone.", "none"}
	RequestQuarantined = Event{310, "requestQuarantined", Error, "A fingerprint is refused because it kills targets.", "look at the prompt with the contract's owner"}
	HedgeStarted       = Event{311, "hedgeStarted", Info, "A second attempt races the first.", "none"}
	SendEnded          = Event{313, "sendEnded", Info, "A request that was sent to a target ended there.", "see the outcome; none when it is good"}
	CopyOrdered        = Event{314, "copyOrdered", Info, "An engine was asked to copy a run to another one, since the run's copy was lost.", "none"}
	CopyNotFreed       = Event{315, "copyFreed", Debug, "An engine did not free a run's copy when it was told to; it does so by itself later.", "none"}
	BudgetExhausted    = Event{312, "budgetExhausted", Warn, "The retry or hedge budget is used up.", "look for the loss that uses it"}
)

// Membership and limit events, from 400.
var (
	MemberChanged        = Event{400, "memberChanged", Info, "A member's state changed in this process's view.", "none"}
	ZoneLost             = Event{401, "zoneLost", Error, "Most members of an availability zone went silent at once.", "look at the zone"}
	ZoneRecovered        = Event{402, "zoneBack", Info, "An availability zone that was lost reports again.", "none"}
	HostListFailed       = Event{403, "hostListFailed", Warn, "The host list could not be read; the last one stays in force.", "look at the host list"}
	PeerUpdateRejected   = Event{406, "newsRefused", Warn, "A message of another entry, or its answer, could not be used.", "none unless it repeats"}
	StoreSnapshotAdopted = Event{407, "beliefTaken", Info, "The targets were learned from another entry, since the key-value service does not answer this one.", "look at the key-value service if it lasts"}
	PauseDetected        = Event{408, "standstillSeen", Warn, "This process or its host stood still for a while.", "look at the host's load if it repeats"}
	ShareStale           = Event{405, "shareStale", Warn, "The owner of a limit is silent; the last share stays in force.", "none"}
)

// Store and configuration events, from 500.
var (
	StoreDown        = Event{500, "storeDown", Error, "The key-value service does not answer; serving goes on.", "look at the key-value service"}
	StoreRecovered   = Event{501, "storeBack", Info, "The key-value service answers again.", "none"}
	StoreSlow        = Event{502, "storeSlow", Warn, "A call was held back to keep to the key-value service's rate.", "none unless it lasts"}
	RevisionInForce  = Event{503, "revisionInForce", Info, "A configuration revision is in force in this process.", "none"}
	RevisionRefused  = Event{504, "revisionRefused", Error, "A configuration revision could not be read and was not put in force.", "upgrade the process or correct the configuration"}
	ClaimMade        = Event{505, "claimMade", Info, "A call that may not be repeated was claimed.", "none"}
	ClaimRefused     = Event{506, "claimRefused", Warn, "A claim could not be made, and the call was not run.", "look at the key-value service"}
	ClaimUnknown     = Event{507, "claimUnknown", Error, "It cannot be known whether a call that may not be repeated ran.", "ask the service's owner about the call"}
	LeadershipGained = Event{508, "leadershipGained", Info, "This process decides on placement.", "none"}
	WatchEnded       = Event{510, "watchEnded", Info, "A watch of the key-value service broke; the keys are read again.", "none unless it repeats"}
	RunsNotSaved     = Event{511, "runsUnkept", Info, "The runs of unfinished streams could not be written to the key-value service.", "none; they matter only if all entries end at once"}
	RunsNotLoaded    = Event{512, "runsUnread", Info, "The runs that entries kept before could not be read.", "none; streams that come back start anew"}
	LeadershipLost   = Event{509, "leadershipLost", Info, "This process no longer decides on placement.", "none"}
)

// Placement and target events, from 600.
var (
	PlacementChosen  = Event{600, "placementChosen", Info, "A target was given a model, version, adapter or role.", "none"}
	PlacementBlocked = Event{601, "placementHeld", Info, "A placement change waits.", "see the reason"}
	OrderApplied     = Event{602, "orderApplied", Info, "An engine carried out an order.", "none"}
	OrderRefused     = Event{603, "orderRefused", Warn, "An order with an old fencing number or for another state was refused.", "none"}
	EngineUp         = Event{604, "engineUp", Info, "The engine or service beside this process answers.", "none"}
	EngineDown       = Event{605, "engineDown", Error, "The engine or service beside this process does not answer.", "look at the engine"}
	AttemptFenced    = Event{606, "attemptFenced", Info, "A message of an older owner or attempt was refused.", "none"}
	AttemptOrphaned  = Event{607, "attemptOrphaned", Warn, "No owner reads an attempt; it goes on until its grace ends.", "none"}
	CallRun          = Event{608, "callRun", Info, "A call to a plain service was run.", "none"}
	CallRefused      = Event{609, "callRefused", Warn, "A call to a plain service was refused before it ran.", "see the reason"}
)

// All returns the catalogue in the order of its numbers.
func All() []Event {
	return []Event{
		ProcessStarted, ProcessReady, DrainStarted, DrainWaiting, DrainEnded, WorkAborted, TaskFailed, SettingsRead, LinesDropped,
		RequestAccepted, RequestRefused, RequestJoined, RequestForwarded, RequestFinished, RequestFailed, RequestAbandoned, RequestAdopted,
		RouteChosen, RouteRefused, AttemptStarted, AttemptLost, AttemptStalled, AttemptResumed, FrameDropped, RecoveryChosen, RecoveryRefused, RequestSuspected, RequestQuarantined, HedgeStarted, BudgetExhausted, SendEnded, CopyOrdered, CopyNotFreed,
		MemberChanged, ZoneLost, ZoneRecovered, HostListFailed, ShareStale, PeerUpdateRejected, StoreSnapshotAdopted, PauseDetected,
		StoreDown, StoreRecovered, StoreSlow, RevisionInForce, RevisionRefused, ClaimMade, ClaimRefused, ClaimUnknown, LeadershipGained, LeadershipLost, WatchEnded, RunsNotSaved, RunsNotLoaded,
		PlacementChosen, PlacementBlocked, OrderApplied, OrderRefused, EngineUp, EngineDown, AttemptFenced, AttemptOrphaned, CallRun, CallRefused,
	}
}

// MarkdownPage returns docs/EVENTS.md.
func MarkdownPage() string {
	page := "# Log events\n\nEach log line names one of these events. The numbers keep their meaning.\n" +
		"The page is written by `go test ./internal/state/event -update`.\n\n" +
		"| event | name | level | meaning | what an operator does |\n|---|---|---|---|---|\n"
	for _, e := range All() {
		page += fmt.Sprintf("| F%04d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	return page
}
