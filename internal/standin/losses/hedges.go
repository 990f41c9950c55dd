package losses

import (
	"fmt"
	"sync"

	"foxtailward.example/foxtailward/internal/state/event"
)

// hedgeLog is a logger that computes the cost of hedges and counts refusals of the
// retry budget from log lines.
type hedgeLog struct {
	mu sync.Mutex
	// heldTokens maps a request ID to the tokens that the request had when its last
	// attempt was lost or stalled.
	heldTokens map[string]int
	// hedges is the number of hedges, and hedgedTokens the number of answer tokens
	// that their second attempts had to compute again.
	hedges, hedgedTokens int
	// hedgedRequests has the ID of the request of each hedge.
	hedgedRequests []string
	// budgetRefusals is the number of refusals of the retry budget.
	budgetRefusals int
}

func newHedgeLog() *hedgeLog { return &hedgeLog{heldTokens: map[string]int{}} }

// Log processes the fields of one log line.
func (l *hedgeLog) Log(fields ...any) error {
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
		l.heldTokens[request] = n
	case event.HedgeStarted.Name:
		l.hedges++
		l.hedgedTokens += l.heldTokens[request]
		l.hedgedRequests = append(l.hedgedRequests, request)
	case event.BudgetExhausted.Name:
		l.budgetRefusals++
	}
	return nil
}
