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

// pollInterval is the time between two queries for the nodes' revisions.
const pollInterval = 200 * time.Millisecond

// NodeRevision is the configuration revision in force at one node.
type NodeRevision struct {
	Node     string      `json:"node"`
	Revision id.Revision `json:"revision"`
}

// Waiter waits until a revision is in force at all nodes.
type Waiter struct {
	Clock clockwork.Clock
	// Revisions returns the revision of every known node.
	Revisions func(ctx context.Context) ([]NodeRevision, error)
}

// NotInForceError lists the nodes where a revision is not in force.
type NotInForceError struct {
	Revision id.Revision
	// Nodes come from the last successful query.
	Nodes []NodeRevision
	// LastErr is the error of the last query; nil if it succeeded.
	LastErr error
}

// Error lists the nodes with their revisions.
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

// errNoNode means that an entry returned an empty list, without even itself.
var errNoNode = errors.New("no node is known")

// Wait returns the number of nodes once the revision is in force at all of
// them. If timeout or ctx ends first, the kind of the error is NotInForce and
// its cause is a *NotInForceError. An empty list of nodes counts as a failed
// query, not as success.
func (w *Waiter) Wait(ctx context.Context, revision id.Revision, timeout time.Duration) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, timeout)
	defer cancel()
	missing := &NotInForceError{Revision: revision}
	for {
		nodes, err := w.pollNodes(ctx)
		if err == nil {
			missing.Nodes = behind(nodes, revision)
		}
		if err == nil && len(missing.Nodes) == 0 {
			return len(nodes), nil
		}
		missing.LastErr = err
		select {
		case <-w.Clock.After(pollInterval):
		case <-ctx.Done():
			return 0, &Error{Op: "Waiter.Wait", Kind: NotInForce, Err: missing}
		}
	}
}

func (w *Waiter) pollNodes(ctx context.Context) ([]NodeRevision, error) {
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
