package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Command is a fault command, as POST /faults takes it.
type Command struct {
	// Kind is one of "die", "dieAfter", "dieOn", "pause", "resume", "stall",
	// "unstall", "slow", "refuse", "accept", "ignoreFence", "honourFence",
	// "loseCacheEvents" and "clearCache".
	Kind string `json:"kind"`
	// RequestID names the stream to stall or unstall; empty means all.
	RequestID string `json:"request,omitempty"`
	// Marker is what "dieOn" looks for in prompts.
	Marker string `json:"marker,omitempty"`
	// Count is the number of tokens for "dieAfter" and of events for
	// "loseCacheEvents".
	Count int `json:"count,omitempty"`
	// Factor is what "slow" multiplies costs by.
	Factor float64 `json:"factor,omitempty"`
}

// Apply carries out a fault command.
func (e *Engine) Apply(c Command) error {
	commands := map[string]func(){
		"die":             e.Crash,
		"dieAfter":        func() { e.CrashAfterTokens(c.Count) },
		"dieOn":           func() { e.CrashOnPrompt(c.Marker) },
		"pause":           e.Pause,
		"resume":          e.Resume,
		"stall":           func() { e.Stall(c.RequestID) },
		"unstall":         func() { e.Unstall(c.RequestID) },
		"slow":            func() { e.SetSlowdown(c.Factor) },
		"refuse":          func() { e.SetRefusing(true) },
		"accept":          func() { e.SetRefusing(false) },
		"ignoreFence":     func() { e.SetIgnoreFence(true) },
		"honourFence":     func() { e.SetIgnoreFence(false) },
		"loseCacheEvents": func() { e.LoseCacheEvents(c.Count) },
		"clearCache":      e.ClearCache,
	}
	run, ok := commands[c.Kind]
	if !ok {
		return newInvalid("Engine.Apply", "fault %q is not known", c.Kind)
	}
	if c.Kind == "slow" && c.Factor <= 0 {
		return newInvalid("Engine.Apply", "factor is %v, want more than 0", c.Factor)
	}
	run()
	return nil
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&c); err != nil {
		fail(w, http.StatusBadRequest, failInvalid, err.Error())
		return
	}
	if c.Kind == "die" {
		// The answer goes out first; death closes its connection too.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		e.Crash()
		return
	}
	if err := e.Apply(c); err != nil {
		fail(w, http.StatusBadRequest, failInvalid, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func newInvalid(op, format string, args ...any) error {
	return &Error{Op: op, Kind: Invalid, Err: fmt.Errorf(format, args...)}
}
