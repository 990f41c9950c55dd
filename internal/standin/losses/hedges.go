package losses

import (
	"fmt"
	"sync"

	"foxtailward.example/foxtailward/internal/state/event"
)

// raceLog is a logger that counts what races cost, and why answers waited.
type raceLog struct {
	mu sync.Mutex
	// held counts the tokens that each request had at its last loss.
	held map[string]int
	// races and tokens count the races and the answer tokens that their second
	// attempts were given to compute again.
	races, tokens int
	// prompts are the requests that raced, once for each race.
	prompts []string
	// waits counts the refusals of the retry budget.
	waits int
}

func newRaceLog() *raceLog { return &raceLog{held: map[string]int{}} }

// Log takes one line.
func (l *raceLog) Log(fields ...any) error {
	line := map[string]any{}
	for i := 0; i+1 < len(fields); i += 2 {
		line[fmt.Sprint(fields[i])] = fields[i+1]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	request := fmt.Sprint(line["request"])
	switch line["name"] {
	case event.AttemptLost.Name, event.AttemptStalled.Name:
		var n int
		if _, err := fmt.Sscan(fmt.Sprint(line["tokens"]), &n); err != nil {
			return err
		}
		l.held[request] = n
	case event.HedgeStarted.Name:
		l.races++
		l.tokens += l.held[request]
		l.prompts = append(l.prompts, request)
	case event.BudgetExhausted.Name:
		l.waits++
	}
	return nil
}
