package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Command is the body of POST /faults.
type Command struct {
	// Kind is one of "die", "dieAfter", "dieOn", "pause", "resume", "stall",
	// "unstall", "slow", "refuse", "accept", "ignoreFence", "honourFence",
	// "loseCacheEvents" and "clearCache".
	Kind string `json:"kind"`
	// RequestID is the request to stall or unstall; empty means all.
	RequestID string `json:"request,omitempty"`
	// Marker is the text in a prompt that makes "dieOn" crash the engine.
	Marker string `json:"marker,omitempty"`
	// Count is the number of tokens for "dieAfter" and of events for
	// "loseCacheEvents".
	Count int `json:"count,omitempty"`
	// Factor multiplies the costs of steps, for "slow".
	Factor float64 `json:"factor,omitempty"`
}

// Apply runs a fault command.
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
	command, ok := commands[c.Kind]
	if !ok {
		return newInvalidError("Engine.Apply", "fault %q is not known", c.Kind)
	}
	if c.Kind == "slow" && c.Factor <= 0 {
		return newInvalidError("Engine.Apply", "factor is %v, want more than 0", c.Factor)
	}
	command()
	return nil
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, errorInvalidRequest, err.Error())
		return
	}
	if c.Kind == "die" {
		// The response is sent first, because the crash closes its connection too.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		e.Crash()
		return
	}
	if err := e.Apply(c); err != nil {
		writeError(w, http.StatusBadRequest, errorInvalidRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func newInvalidError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: Invalid, Err: fmt.Errorf(format, args...)}
}
