package confstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"foxtailward.example/foxtailward/internal/state/id"
)

// waitEvery is the time between two questions for the nodes' revisions.
const waitEvery = 200 * time.Millisecond

// NodeRevision is the configuration in force at one node.
type NodeRevision struct {
	Node     string      `json:"node"`
	Revision id.Revision `json:"revision"`
}

// Waiter waits until a revision is in force everywhere.
type Waiter struct {
	Clock clockwork.Clock
	// Revisions asks for the revision of all nodes that are there.
	Revisions func(ctx context.Context) ([]NodeRevision, error)
}

// NotInForceError names the nodes where a revision is not in force.
type NotInForceError struct {
	Revision id.Revision
	// Nodes come from the last question that was answered.
	Nodes []NodeRevision
	// LastErr is the error of the last question; nil when it was answered.
	LastErr error
}

// Error names the nodes with their revisions.
func (m *NotInForceError) Error() string {
	if len(m.Nodes) == 0 {
		return fmt.Sprintf("it is not known where revision %d is in force: %v", m.Revision, m.LastErr)
	}
	names := make([]string, len(m.Nodes))
	for i, n := range m.Nodes {
		names[i] = fmt.Sprintf("%s (%d)", n.Node, n.Revision)
	}
	return fmt.Sprintf("revision %d is not in force at %s", m.Revision, strings.Join(names, ", "))
}

// errNoNode says that an entry knows of nobody, not even of itself.
var errNoNode = errors.New("no node is known")

// Wait returns the number of nodes once all of them have the revision. When
// timeout or ctx ends first, the error's kind is NotInForce and its cause a
// *Missing. No node at all is not everywhere.
func (w *Waiter) Wait(ctx context.Context, revision id.Revision, timeout time.Duration) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, timeout)
	defer cancel()
	missing := &NotInForceError{Revision: revision}
	for {
		nodes, err := w.ask(ctx)
		if err == nil {
			missing.Nodes = behind(nodes, revision)
		}
		if err == nil && len(missing.Nodes) == 0 {
			return len(nodes), nil
		}
		missing.LastErr = err
		select {
		case <-w.Clock.After(waitEvery):
		case <-ctx.Done():
			return 0, &Error{Op: "Waiter.Wait", Kind: NotInForce, Err: missing}
		}
	}
}

func (w *Waiter) ask(ctx context.Context) ([]NodeRevision, error) {
	nodes, err := w.Revisions(ctx)
	if err == nil && len(nodes) == 0 {
		err = errNoNode
	}
	return nodes, err
}

func behind(nodes []NodeRevision, revision id.Revision) []NodeRevision {
	var out []NodeRevision
	for _, n := range nodes {
		if n.Revision < revision {
			out = append(out, n)
		}
	}
	return out
}
