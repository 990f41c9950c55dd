package status

import (
	"encoding/json"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// UnmarshalJSON decodes and validates a status.
func (s *Status) UnmarshalJSON(data []byte) error {
	const op = "Status.UnmarshalJSON"
	type plain Status
	if err := json.Unmarshal(data, (*plain)(s)); err != nil {
		return fault.Wrap(op, Invalid, err)
	}
	if s.Entry == "" {
		return fault.New(op, Invalid, "entry is empty")
	}
	for i := range s.Members {
		if err := s.Members[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (m *Member) validate() error {
	const op = "Member.validate"
	switch {
	case m.Name == "":
		return fault.New(op, Invalid, "a member's name is empty")
	case m.Role != Entry && m.Role != Target:
		return fault.New(op, Invalid, "role of %s is %q, want entry or target", m.Name, m.Role)
	case !m.State.Valid():
		return fault.New(op, Invalid, "state of %s is %q, which is not a known state", m.Name, m.State)
	}
	return nil
}

// UnmarshalJSON decodes and validates an explanation.
func (e *Explanation) UnmarshalJSON(data []byte) error {
	const op = "Explanation.UnmarshalJSON"
	type plain Explanation
	if err := json.Unmarshal(data, (*plain)(e)); err != nil {
		return fault.Wrap(op, Invalid, err)
	}
	switch {
	case e.Request == "":
		return fault.New(op, Invalid, "request is empty")
	case !e.State.Valid():
		return fault.New(op, Invalid, "state of %s is %q, want running, finished, refused or failed", e.Request, e.State)
	}
	return nil
}
