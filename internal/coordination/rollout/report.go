package rollout

import (
	"foxtailward.example/foxtailward/internal/state/fault"
)

// Report is what an entry tells the others about the roll-out of a service.
type Report struct {
	Order *Order `json:"order,omitempty"`
	Stage *Stage `json:"stage,omitempty"`
	// Counted is the revision of the order that Bad, Score and Counts belong to.
	Counted int64 `json:"counted,omitempty"`
	// Bad is set if the entry has found the new version bad.
	Bad bool `json:"bad,omitempty"`
	// Score is its highest log-likelihood ratio.
	Score float64 `json:"score,omitempty"`
	// AtOld and AtNew are the entry's runs at the old versions and at the new one.
	AtOld  int    `json:"atOld,omitempty"`
	AtNew  int    `json:"atNew,omitempty"`
	Counts Counts `json:"counts,omitempty"`
}

// Validate returns an error of kind Malformed for a report that is out of range.
func (r *Report) Validate() error {
	const op = "Report.Validate"
	if r.Order != nil {
		if err := r.Order.Validate(); err != nil {
			return err
		}
	}
	if r.Stage != nil {
		if err := r.Stage.Validate(); err != nil {
			return err
		}
	}
	if !(r.Score >= 0) {
		return fault.New(op, Malformed, "score %v is out of range", r.Score)
	}
	if r.AtOld < 0 || r.AtNew < 0 || r.AtOld > maxCount || r.AtNew > maxCount {
		return fault.New(op, Malformed, "runs %d and %d are out of range", r.AtOld, r.AtNew)
	}
	return r.Counts.Validate()
}
