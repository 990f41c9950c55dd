package event

import "fmt"

// Process events, numbered from 100.
var (
	ProcessStarted = Event{100, "processStarted", Info, "The process has started and listens on its addresses.", "none"}
	ProcessReady   = Event{101, "processReady", Info, "The process has its configuration and accepts work.", "none"}
	DrainStarted   = Event{102, "drainStarted", Info, "The process was told to stop and accepts no new work.", "wait; status shows the unfinished work"}
	DrainWaiting   = Event{103, "drainWaiting", Info, "The stopping process still has unfinished work.", "wait; a second signal aborts the work that the line names"}
	DrainEnded     = Event{104, "drainEnded", Info, "The stopping process has no unfinished work left and exits.", "none"}
	WorkAborted    = Event{105, "workCut", Error, "A second signal ended the process while it had unfinished work.", "none; the callers were notified"}
	SettingsRead   = Event{107, "settingsRead", Info, "The process read its settings file again after a hangup signal.", "restart the process if the settings changed"}
	LinesDropped   = Event{108, "linesDropped", Warn, "Log lines came faster than they could be written, and some were dropped.", "check the program that reads the log"}
	TaskFailed     = Event{106, "loopFailed", Error, "A background task of the process ended with an error.", "see the error; the line says whether the process continues or exits"}
)

// Request events, numbered from 200.
var (
	RequestAccepted  = Event{200, "requestAccepted", Info, "A request passed the checks and limits of its contract.", "none"}
	RequestRefused   = Event{201, "requestRefused", Info, "A request was refused without being run, and its caller was notified.", "see the reason; raise a limit in the contract if the request should be accepted"}
	RequestJoined    = Event{202, "requestJoined", Info, "A request was attached to a running or finished request with the same key.", "none"}
	RequestForwarded = Event{203, "requestForwarded", Info, "A request was forwarded to its home entry, the entry that owns it.", "none"}
	RequestFinished  = Event{204, "requestFinished", Info, "The answer to a request is complete.", "none"}
	RequestFailed    = Event{205, "requestFailed", Warn, "An accepted request ended without a complete answer, and its caller was notified.", "see the reason"}
	RequestAbandoned = Event{206, "requestAbandoned", Info, "No client reads an answer any more, and its work was cancelled.", "none"}
	RequestWaits     = Event{220, "requestWaits", Info, "A request waits because there is no room for it at its service's targets, or others go first.", "none; see room in docs/design/waiting.md"}
	RequestGoesOn    = Event{221, "requestGoesOn", Info, "A request that waited is sent to a target.", "none; passed says how many that came earlier still wait"}
	RequestDisplaced = Event{222, "requestDisplaced", Info, "A request that waited gave its place to one that a delay costs more, and was refused without being run.", "add targets if this lasts"}
	RoomRefused      = Event{223, "roomRefused", Info, "A request was refused, or gave up waiting, because room at a target would come too late for it.", "add targets if this lasts"}
	RequestAdopted   = Event{207, "requestAdopted", Warn, "An entry took over a request whose owner is gone.", "none"}
)

// Routing and recovery events, numbered from 300.
var (
	RouteChosen        = Event{300, "routeChosen", Info, "A target was chosen for an attempt.", "none"}
	RouteRefused       = Event{301, "routeRefused", Warn, "No target could accept an attempt.", "see the reason; add replicas or wait"}
	AttemptStarted     = Event{302, "attemptStarted", Debug, "A target accepted an attempt.", "none"}
	AttemptLost        = Event{303, "attemptLost", Warn, "An attempt ended before its answer was complete.", "none; recovery follows"}
	AttemptStalled     = Event{304, "attemptStalled", Warn, "The tokens of an attempt stopped arriving at the pace of its engine.", "none; recovery follows"}
	AttemptResumed     = Event{305, "attemptResumed", Info, "An answer resumed after the loss of an attempt.", "none"}
	FrameDropped       = Event{306, "frameDropped", Debug, "A frame from an older attempt was dropped.", "none"}
	RecoveryChosen     = Event{307, "recoveryChosen", Info, "A recovery action was chosen after the loss of an attempt.", "none"}
	RecoveryRefused    = Event{308, "recoveryRefused", Warn, "An answer cannot be resumed.", "see the reason"}
	RequestSuspected   = Event{309, "requestSuspected", Warn, "Several failures of targets count against requests with this fingerprint.", "none"}
	RequestQuarantined = Event{310, "requestQuarantined", Error, "Requests with this fingerprint are refused because they crash targets.", "inspect the prompt with the contract's owner"}
	HedgeStarted       = Event{311, "hedgeStarted", Info, "A second attempt was started to run in parallel with the first.", "none"}
	SendEnded          = Event{313, "sendEnded", Info, "A request that was sent to a target ended there.", "see the outcome; none if it is good"}
	CopyOrdered        = Event{314, "copyOrdered", Info, "An engine was asked to copy a run to another engine because the run's earlier copy was lost.", "none"}
	CopyNotFreed       = Event{315, "copyFreed", Debug, "An engine did not free the copy of a run when asked to; it frees the copy by itself later.", "none"}
	TargetEndSeen      = Event{316, "targetEndSeen", Warn, "A target ended, or stopped responding, while it ran a request with this fingerprint.", "none; ends and counted show what is held against the request"}
	RequestCleared     = Event{317, "requestCleared", Info, "An answer cleared this fingerprint of the target failures recorded so far.", "none"}
	TargetLimitChanged = Event{318, "targetLimitChanged", Info, "A target named a limit of the requests that it takes from all entries together, changed it, or no longer names one.", "check the target if it stays limited"}
	TargetPaused       = Event{319, "targetPaused", Info, "A target answered 503 and said for how long it wants no requests from this entry.", "check the target if it repeats"}
	StreamOrigin       = Event{320, "streamOrigin", Info, "An entry found out at which software version a stream began, from the process that sent its first event or for a client that resumes it.", "none; source says from what it is known, and start which process reported"}
	VersionSaved       = Event{321, "versionSaved", Info, "The first event of a stream waited until the key-value service held the software version of the target that sent it.", "none; check the key-value service if begins=false repeats: the stream then begins elsewhere"}

	SilenceExplained = Event{420, "silenceExplained", Info, "A run may go on waiting for its first event, because a backlog in front of it explains the silence.", "none; add replicas if it repeats"}
	WaitingMoved     = Event{421, "waitingMoved", Warn, "Runs that waited in a lost zone left it, as many as the retry budget and free slots allow, those that matter most first.", "none; left tells how many wait on"}
	RetryAwaited     = Event{422, "retryAwaited", Info, "A request waited until the retry budget allowed its next attempt, or in vain.", "find the losses that use the budget up"}
	RetryTooLate     = Event{423, "retryTooLate", Info, "A request was not sent again after a loss, because its client would give up before the next event.", "none"}
	BudgetExhausted  = Event{312, "budgetExhausted", Warn, "The retry or hedge budget is exhausted.", "find the losses that use it up"}
)

// Membership and limit events, numbered from 400.
var (
	MemberChanged        = Event{400, "memberChanged", Info, "The state of a member changed in this process's view of the cluster.", "none"}
	ZoneLost             = Event{401, "zoneLost", Error, "Most members of an availability zone stopped responding at the same time.", "check the zone"}
	ZoneRecovered        = Event{402, "zoneBack", Info, "Members of an availability zone that was lost report again.", "none"}
	HostListFailed       = Event{403, "hostListFailed", Warn, "The host list could not be read; the list read last stays in force.", "check the host list"}
	PeerUpdateRejected   = Event{406, "newsRefused", Warn, "A message from another entry, or its reply, could not be used.", "none unless it repeats"}
	PeerUpdateShortened  = Event{409, "peerUpdateShortened", Warn, "A message to the other entries was too long, and unfinished runs, or target failures of the least suspected requests, were left out.", "add entries if it repeats"}
	StoreSnapshotAdopted = Event{407, "beliefTaken", Info, "The targets were learned from another entry because the key-value service does not answer this one.", "check the key-value service if this lasts"}
	PauseDetected        = Event{408, "standstillSeen", Warn, "This process or its host did not run for a while.", "check the load of the host if this repeats"}
	TargetsOutOfMemory   = Event{430, "targetsOutOfMemory", Warn, "No engine that is ready has the memory for a request beside the runs and copies that it has.", "add engines if it repeats"}
	CapacityChanged      = Event{431, "capacityChanged", Warn, "An entry that callers compete for takes no new connections, because its processor or link is in use, or takes them again.", "give the entry more processor or bandwidth, or add entries, if it repeats"}
	LeavingChecked       = Event{432, "leavingChecked", Info, "A target was asked whether it is leaving, because its record arrived a short time after an answer under its name had said so.", "none; result=listed says that it did not tell within 5 s and is used, as it is still listed as ready"}
	ShareStale           = Event{405, "shareStale", Warn, "The owner of a limit does not respond; the last share of the limit stays in force.", "none"}
)

// Store and configuration events, numbered from 500.
var (
	StoreDown          = Event{500, "storeDown", Error, "The key-value service does not answer; requests are still served.", "check the key-value service"}
	StoreRecovered     = Event{501, "storeBack", Info, "The key-value service answers again.", "none"}
	StoreSlow          = Event{502, "storeSlow", Warn, "A call was delayed to stay within the rate limit of the key-value service.", "none unless this lasts"}
	RevisionInForce    = Event{503, "revisionInForce", Info, "A configuration revision is in force in this process.", "none"}
	RevisionRefused    = Event{504, "revisionRefused", Error, "A configuration revision could not be read and was not put in force.", "upgrade the process or correct the configuration"}
	ClaimMade          = Event{505, "claimMade", Info, "A call that must run at most once was claimed.", "none"}
	ClaimRefused       = Event{506, "claimRefused", Warn, "A claim could not be made, so the call was not run.", "check the key-value service"}
	ClaimUnknown       = Event{507, "claimUnknown", Error, "It is unknown whether a call that must run at most once has run.", "ask the service's owner about the call"}
	LeadershipGained   = Event{508, "leadershipGained", Info, "This process became the leader that decides on placement.", "none"}
	WatchEnded         = Event{510, "watchEnded", Info, "A watch on the key-value service broke off; its keys are read again.", "none unless it repeats"}
	RunsNotSaved       = Event{511, "runsUnkept", Info, "The runs of unfinished streams, or the requests suspected of crashing targets, could not be written to the key-value service.", "none; they are needed only if all entries end at the same time"}
	SuspectsNotLoaded  = Event{513, "suspectsUnread", Info, "The requests suspected of crashing targets that entries had saved could not be read.", "none; it is tried again, and other entries report them too"}
	RunsNotLoaded      = Event{512, "runsUnread", Info, "The runs that entries had saved could not be read.", "none; streams that are resumed start from the beginning"}
	StreamsNotLoaded   = Event{515, "streamsUnread", Info, "The software versions of streams that entries had saved could not be read.", "none; it is tried again, and other entries tell them too"}
	StreamsLoaded      = Event{516, "streamsRead", Info, "The software versions of streams that entries had saved were read.", "none; complete=false says that streams which nobody remembers are refused for the lifetime of a stream, as entries that could not save for long may have begun them at unknown versions"}
	RolloutOrdered     = Event{540, "rolloutOrdered", Info, "The operator has ordered that a service's traffic moves to another version, or has withdrawn that (withdrawn=true).", "none"}
	RolloutStage       = Event{541, "rolloutStage", Info, "A roll-out has entered a stage.", "stage reverting or reverted: see the reason, and rolloutBad"}
	RolloutBad         = Event{542, "rolloutBad", Warn, "The new version answers worse than the old ones; this entry sends nothing more to it.", "check the version on the route that is named"}
	RolloutWaits       = Event{543, "rolloutWaits", Info, "A roll-out waits for the reason that is named.", "none unless it lasts beyond the time budget: see OPERATIONS.md, Roll-outs"}
	RolloutNotWritten  = Event{544, "rolloutNotWritten", Info, "The stage of a roll-out could not be written; it is decided again.", "none unless it repeats"}
	RolloutRefused     = Event{545, "rolloutRefused", Error, "An order or a stage of a roll-out can't be read; it is left alone.", "correct the order that the key names"}
	RolloutVersionHeld = Event{546, "rolloutVersionHeld", Info, "A version has appeared; nothing is sent to it until the orders have been read again.", "none unless the key-value service is away"}
	StoreRestored      = Event{514, "storeRestored", Warn, "The key-value service returned from an older copy of its state; its keys are read, and this process's saved state is written, again.", "none; check that changes of the last seconds were made again"}
	LeadershipLost     = Event{509, "leadershipLost", Info, "This process is no longer the leader that decides on placement.", "none"}
)

// Placement and target events, numbered from 600.
var (
	PlacementChosen  = Event{600, "placementChosen", Info, "A target was assigned a model, version, adapter or role.", "none"}
	PlacementBlocked = Event{601, "placementHeld", Info, "A placement change has to wait.", "see the reason"}
	OrderApplied     = Event{602, "orderApplied", Info, "An engine carried out an order.", "none"}
	OrderRefused     = Event{603, "orderRefused", Warn, "An order was refused because its fencing token is old or because it is meant for another state.", "none"}
	EngineUp         = Event{604, "engineUp", Info, "The engine or service that this target process fronts answers.", "none"}
	EngineDown       = Event{605, "engineDown", Error, "The engine or service that this target process fronts does not answer.", "check the engine or service"}
	AttemptFenced    = Event{606, "attemptFenced", Info, "A message from an earlier owner or attempt was refused.", "none"}
	AttemptOrphaned  = Event{607, "attemptOrphaned", Warn, "No owner reads an attempt; it continues until its grace period ends.", "none"}
	CallRun          = Event{608, "callRun", Info, "A call to a plain service was run.", "none"}
	CallRefused      = Event{609, "callRefused", Warn, "A call to a plain service was refused before it ran.", "see the reason"}
)

// Inbound events, numbered from 230.
var (
	ClientsRefused = Event{230, "clientsRefused", Warn, "Clients were refused before their requests were read, or their connections were closed, because they sent or held more than the process allows.", "see the reason; none unless clients within the limits are hit"}
)

// All returns all events in ascending order of their numbers.
func All() []Event {
	return []Event{
		ProcessStarted, ProcessReady, DrainStarted, DrainWaiting, DrainEnded, WorkAborted, TaskFailed, SettingsRead, LinesDropped,
		RequestAccepted, RequestRefused, RequestJoined, RequestForwarded, RequestFinished, RequestFailed, RequestAbandoned, RequestAdopted,
		RequestWaits, RequestGoesOn, RequestDisplaced, RoomRefused, ClientsRefused,
		RouteChosen, RouteRefused, AttemptStarted, AttemptLost, AttemptStalled, AttemptResumed, FrameDropped, RecoveryChosen, RecoveryRefused, RequestSuspected, RequestQuarantined, HedgeStarted, BudgetExhausted, SendEnded, CopyOrdered, CopyNotFreed, TargetEndSeen, RequestCleared, TargetLimitChanged, TargetPaused, StreamOrigin, VersionSaved,
		MemberChanged, ZoneLost, ZoneRecovered, HostListFailed, ShareStale, PeerUpdateRejected, StoreSnapshotAdopted, PauseDetected, PeerUpdateShortened,
		SilenceExplained, WaitingMoved, RetryAwaited, RetryTooLate, TargetsOutOfMemory, CapacityChanged, LeavingChecked,
		StoreDown, StoreRecovered, StoreSlow, RevisionInForce, RevisionRefused, ClaimMade, ClaimRefused, ClaimUnknown, LeadershipGained, LeadershipLost, WatchEnded, RunsNotSaved, RunsNotLoaded, SuspectsNotLoaded, StoreRestored, StreamsNotLoaded, StreamsLoaded,
		RolloutOrdered, RolloutStage, RolloutBad, RolloutWaits, RolloutNotWritten, RolloutRefused, RolloutVersionHeld,
		PlacementChosen, PlacementBlocked, OrderApplied, OrderRefused, EngineUp, EngineDown, AttemptFenced, AttemptOrphaned, CallRun, CallRefused,
	}
}

// MarkdownPage returns the content of docs/EVENTS.md.
func MarkdownPage() string {
	page := "# Log events\n\nEach log line names one of these events. A number never changes its meaning.\n" +
		"This page is generated by `go test ./internal/state/event -update`.\n\n" +
		"| event | name | level | meaning | operator action |\n|---|---|---|---|---|\n"
	for _, e := range All() {
		page += fmt.Sprintf("| %s | %s | %s | %s | %s |\n", e.Code(), e.Name, e.Level, e.Meaning, e.Action)
	}
	return page
}
