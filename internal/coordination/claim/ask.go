package claim

// Action is what an ask wants to be done next.
type Action string

// Actions.
const (
	// Create writes the ask's claim when there is none.
	Create Action = "create"
	// Read reads the claim.
	Read Action = "read"
	// Dispatch sends the call to its target, with the claimed incarnation.
	Dispatch Action = "dispatch"
	// Fence asks the target process of the claim held what became of it, and
	// forbids it when it has not been seen.
	Fence Action = "fence"
	// Settle writes the outcome over the claim held, if it has not changed.
	// What comes of it changes nothing for this ask.
	Settle Action = "settle"
	// Answer tells the caller the outcome.
	Answer Action = "answer"
)

// Event is what came of an action.
type Event string

// Events of the key-value service.
const (
	// Created means that the claim is this ask's own.
	Created Event = "created"
	// Found means that a claim was read or stood in the way.
	Found Event = "found"
	// Absent means that there was no claim when it was read.
	Absent Event = "absent"
	// NotWritten means that the service was not reached; nothing was written.
	NotWritten Event = "refused"
	// ResponseLost means that the answer was lost; a write may take effect, now or
	// later.
	ResponseLost Event = "lost"
)

// Events of the target process, and of settling.
const (
	// RepliedDone means that the call ran.
	RepliedDone Event = "repliedDone"
	// RepliedNotRun means that the call was not run. As the reply to Dispatch
	// it rests on the call being sent once only, as that to Fence on the fence
	// in the claimed incarnation.
	RepliedNotRun Event = "repliedNotRun"
	// RepliedUnknown covers all other replies, and a reply that was lost.
	RepliedUnknown Event = "repliedUnknown"
	// Settled ends Settle, whether it wrote or not.
	Settled Event = "settled"
)

// Machine is one ask of a caller for one call. It is a value: Next returns the ask
// as it goes on. It holds no reply.
type Machine struct {
	// OwnClaim is the claim that this ask makes.
	OwnClaim Claim
	// GeneratedID says that the request's id was made for this ask, so that no other
	// ask for it can exist.
	GeneratedID bool
	// CurrentClaim is the claim that Fence and Settle are about.
	CurrentClaim Claim
	// Action is the action that is under way.
	Action Action
	// Outcome is set from the time it is known.
	Outcome Outcome
	// again says that the claim was written a second time.
	again bool
}

// NewMachine returns an ask whose first action is to claim.
func NewMachine(mine Claim, fresh bool) Machine {
	mine.State = Claimed
	return Machine{OwnClaim: mine, GeneratedID: fresh, CurrentClaim: mine, Action: Create}
}

// NewRefusalMachine returns an ask that was refused before it could claim, by a limit
// for example. Its first action is to write that the call was not run, so that
// no ask before it still runs the call once its caller was told so.
func NewRefusalMachine(mine Claim, fresh bool) Machine {
	mine.State = StateNotRun
	a := Machine{OwnClaim: mine, GeneratedID: fresh, CurrentClaim: mine, Action: Create}
	if fresh {
		return a.answer(NotRun)
	}
	return a
}

// Next returns the ask after its action came to an event; found is the claim
// of a Found event. An event that does not fit the action leaves the outcome
// unknown.
func (a Machine) Next(e Event, found Claim) Machine {
	switch a.Action {
	case Create, Read:
		return a.claimed(e, found)
	case Dispatch, Fence:
		return a.replied(e)
	case Settle, Answer:
		return a.then(Answer)
	}
	return a.answer(Unknown)
}

func (a Machine) claimed(e Event, found Claim) Machine {
	switch e {
	case Created:
		if a.OwnClaim.State == StateNotRun {
			return a.answer(NotRun)
		}
		return a.then(Dispatch)
	case Found:
		return a.found(found)
	case ResponseLost:
		if a.Action == Create {
			return a.then(Read)
		}
		return a.unclaimed()
	case Absent:
		// The lost write may still come. Writing the same claim once more is
		// safe: it is this ask's own either way.
		if a.again {
			return a.unclaimed()
		}
		a.again = true
		return a.then(Create)
	}
	return a.unclaimed()
}

// unclaimed ends an ask that could not claim and so never sends its call. That
// proves that a fresh request was not run. Another ask for the same key may
// have run it, or may still do so.
func (a Machine) unclaimed() Machine {
	if a.GeneratedID {
		return a.answer(NotRun)
	}
	return a.answer(Unknown)
}

// found goes on by the claim that stands.
func (a Machine) found(c Claim) Machine {
	a.CurrentClaim = c
	switch {
	case c.State == StateDone:
		return a.answer(Done)
	case c.State == StateNotRun:
		return a.answer(NotRun)
	case c.Same(&a.OwnClaim):
		return a.then(Dispatch)
	}
	return a.then(Fence)
}

func (a Machine) replied(e Event) Machine {
	switch {
	case e == RepliedDone:
		a.Outcome = Done
		return a.then(Settle)
	case e == RepliedNotRun:
		a.Outcome = NotRun
		return a.then(Settle)
	case a.Action == Dispatch:
		return a.then(Fence)
	}
	return a.answer(Unknown)
}

func (a Machine) then(next Action) Machine {
	a.Action = next
	return a
}

func (a Machine) answer(o Outcome) Machine {
	a.Outcome, a.Action = o, Answer
	return a
}
