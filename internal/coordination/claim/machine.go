package claim

// Action is the next step that a Machine requests from its caller.
type Action string

// Actions.
const (
	// Create writes the machine's own claim if there is none.
	Create Action = "create"
	// Read reads the stored claim.
	Read Action = "read"
	// Dispatch sends the call to its target with the claimed incarnation.
	Dispatch Action = "dispatch"
	// Fence requests the call's outcome from the target process of the current claim,
	// and makes it refuse the call if it has not seen it.
	Fence Action = "fence"
	// Settle writes the outcome over the current claim, unless the claim has
	// changed. Whether the write succeeds does not affect the result.
	Settle Action = "settle"
	// Answer returns the outcome to the caller.
	Answer Action = "answer"
)

// Event is the result of an action.
type Event string

// Events of the key-value service.
const (
	// Created means that the machine's own claim was written.
	Created Event = "created"
	// Found means that a claim was read, or that Create met an existing claim.
	Found Event = "found"
	// Absent means that Read found no claim.
	Absent Event = "absent"
	// NotWritten means that the service did not accept the call; nothing was
	// written.
	NotWritten Event = "refused"
	// ResponseLost means that no response arrived; a write may have taken effect or
	// may still take effect later.
	ResponseLost Event = "lost"
)

// Events of the target process and of Settle.
const (
	// RepliedDone means that the call ran.
	RepliedDone Event = "repliedDone"
	// RepliedNotRun means that the call did not run and will not run. After
	// Dispatch this holds because the call is sent only once, after Fence because
	// the claimed incarnation has fenced the call.
	RepliedNotRun Event = "repliedNotRun"
	// RepliedUnknown stands for all other replies and for a lost reply.
	RepliedUnknown Event = "repliedUnknown"
	// Settled means that Settle has ended, whether it wrote the outcome or not.
	Settled Event = "settled"
)

// Machine is the state machine for one invocation of a call. It does no I/O: the
// caller performs Action and passes the resulting event to Next. It is a value, and
// Next returns its successor. It holds no reply.
type Machine struct {
	// OwnClaim is the claim that this machine writes.
	OwnClaim Claim
	// GeneratedID says that the request's id was generated for this invocation, so
	// that no other invocation with the same id can exist.
	GeneratedID bool
	// CurrentClaim is the claim that Fence and Settle refer to.
	CurrentClaim Claim
	// Action is the action to perform.
	Action Action
	// Outcome is set once it is known.
	Outcome Outcome
	// createRetried says that Create was repeated after a lost response.
	createRetried bool
}

// NewMachine returns a machine whose first action is to create its claim.
func NewMachine(own Claim, generatedID bool) Machine {
	own.State = Claimed
	return Machine{OwnClaim: own, GeneratedID: generatedID, CurrentClaim: own, Action: Create}
}

// NewRefusalMachine returns a machine for an invocation that was refused before it
// could be claimed, for example by a limit. Its first action is to write that the call
// was not run, so that no earlier invocation can run the call after its caller was told
// notRun.
func NewRefusalMachine(own Claim, generatedID bool) Machine {
	own.State = StateNotRun
	m := Machine{OwnClaim: own, GeneratedID: generatedID, CurrentClaim: own, Action: Create}
	if generatedID {
		return m.withOutcome(NotRun)
	}
	return m
}

// Next returns the machine after its action resulted in event e; found is the claim of
// a Found event. An event that does not belong to the action makes the outcome Unknown.
func (m Machine) Next(e Event, found Claim) Machine {
	switch m.Action {
	case Create, Read:
		return m.afterStore(e, found)
	case Dispatch, Fence:
		return m.afterReply(e)
	case Settle, Answer:
		return m.withAction(Answer)
	}
	return m.withOutcome(Unknown)
}

func (m Machine) afterStore(e Event, found Claim) Machine {
	switch e {
	case Created:
		if m.OwnClaim.State == StateNotRun {
			return m.withOutcome(NotRun)
		}
		return m.withAction(Dispatch)
	case Found:
		return m.afterFound(found)
	case ResponseLost:
		if m.Action == Create {
			return m.withAction(Read)
		}
		return m.endUnclaimed()
	case Absent:
		// The lost write may still take effect. Writing the same claim again is
		// safe, because either write creates the machine's own claim.
		if m.createRetried {
			return m.endUnclaimed()
		}
		m.createRetried = true
		return m.withAction(Create)
	}
	return m.endUnclaimed()
}

// endUnclaimed ends an invocation that could not be claimed, so its call is never sent.
// If the id was generated, this proves that the call did not run. Otherwise another
// invocation with the same key may have run it, or may still do so.
func (m Machine) endUnclaimed() Machine {
	if m.GeneratedID {
		return m.withOutcome(NotRun)
	}
	return m.withOutcome(Unknown)
}

// afterFound continues according to the stored claim.
func (m Machine) afterFound(c Claim) Machine {
	m.CurrentClaim = c
	switch {
	case c.State == StateDone:
		return m.withOutcome(Done)
	case c.State == StateNotRun:
		return m.withOutcome(NotRun)
	case c.Same(&m.OwnClaim):
		return m.withAction(Dispatch)
	}
	return m.withAction(Fence)
}

func (m Machine) afterReply(e Event) Machine {
	switch {
	case e == RepliedDone:
		m.Outcome = Done
		return m.withAction(Settle)
	case e == RepliedNotRun:
		m.Outcome = NotRun
		return m.withAction(Settle)
	case m.Action == Dispatch:
		return m.withAction(Fence)
	}
	return m.withOutcome(Unknown)
}

func (m Machine) withAction(next Action) Machine {
	m.Action = next
	return m
}

func (m Machine) withOutcome(o Outcome) Machine {
	m.Outcome, m.Action = o, Answer
	return m
}
