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
	// Refused means that the service was not reached; nothing was written.
	Refused Event = "refused"
	// Lost means that the answer was lost; a write may take effect, now or
	// later.
	Lost Event = "lost"
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

// Ask is one ask of a caller for one call. It is a value: Next returns the ask
// as it goes on. It holds no reply.
type Ask struct {
	// Mine is the claim that this ask makes.
	Mine Claim
	// Fresh says that the request's id was made for this ask, so that no other
	// ask for it can exist.
	Fresh bool
	// Held is the claim that Fence and Settle are about.
	Held Claim
	// Do is the action that is under way.
	Do Action
	// Outcome is set from the time it is known.
	Outcome Outcome
	// again says that the claim was written a second time.
	again bool
}

// NewAsk returns an ask whose first action is to claim.
func NewAsk(mine Claim, fresh bool) Ask {
	mine.State = Claimed
	return Ask{Mine: mine, Fresh: fresh, Held: mine, Do: Create}
}

// NewRefusal returns an ask that was refused before it could claim, by a limit
// for example. Its first action is to write that the call was not run, so that
// no ask before it still runs the call once its caller was told so.
func NewRefusal(mine Claim, fresh bool) Ask {
	mine.State = StateNotRun
	a := Ask{Mine: mine, Fresh: fresh, Held: mine, Do: Create}
	if fresh {
		return a.answer(NotRun)
	}
	return a
}

// Next returns the ask after its action came to an event; found is the claim
// of a Found event. An event that does not fit the action leaves the outcome
// unknown.
func (a Ask) Next(e Event, found Claim) Ask {
	switch a.Do {
	case Create, Read:
		return a.claimed(e, found)
	case Dispatch, Fence:
		return a.replied(e)
	case Settle, Answer:
		return a.then(Answer)
	}
	return a.answer(Unknown)
}

func (a Ask) claimed(e Event, found Claim) Ask {
	switch e {
	case Created:
		if a.Mine.State == StateNotRun {
			return a.answer(NotRun)
		}
		return a.then(Dispatch)
	case Found:
		return a.found(found)
	case Lost:
		if a.Do == Create {
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
func (a Ask) unclaimed() Ask {
	if a.Fresh {
		return a.answer(NotRun)
	}
	return a.answer(Unknown)
}

// found goes on by the claim that stands.
func (a Ask) found(c Claim) Ask {
	a.Held = c
	switch {
	case c.State == StateDone:
		return a.answer(Done)
	case c.State == StateNotRun:
		return a.answer(NotRun)
	case c.Same(&a.Mine):
		return a.then(Dispatch)
	}
	return a.then(Fence)
}

func (a Ask) replied(e Event) Ask {
	switch {
	case e == RepliedDone:
		a.Outcome = Done
		return a.then(Settle)
	case e == RepliedNotRun:
		a.Outcome = NotRun
		return a.then(Settle)
	case a.Do == Dispatch:
		return a.then(Fence)
	}
	return a.answer(Unknown)
}

func (a Ask) then(next Action) Ask {
	a.Do = next
	return a
}

func (a Ask) answer(o Outcome) Ask {
	a.Outcome, a.Do = o, Answer
	return a
}
