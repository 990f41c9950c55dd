package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/conffile"
	"foxtailward.example/foxtailward/internal/state/id"
)

// putFlags are the flags of the commands that change contracts or configuration.
type putFlags struct {
	author      string
	from        int64
	wait        bool
	waitTimeout time.Duration
}

func (f *putFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.author, "author", os.Getenv("USER"), "author of the change, for the history")
	flags.Int64Var(&f.from, "from", -1, "revision that the change is based on, 0 for a new object; the default is the revision in the file, or else the current one")
	flags.BoolVar(&f.wait, "wait", false, "wait until the change is in force on all nodes; needs --"+flagEntry)
	flags.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "time limit of --wait")
}

// baseRevision returns the revision that a change is based on, from --from or else
// from the file; nil means the current revision.
func (f *putFlags) baseRevision(data []byte) *id.Revision {
	if f.from >= 0 {
		r := id.Revision(f.from)
		return &r
	}
	if r, ok := conffile.BaseRevision(data); ok {
		return &r
	}
	return nil
}

// putResult is the outcome of a change.
type putResult struct {
	Revision  id.Revision `json:"revision"`
	Object    conf.Object `json:"object"`
	Name      id.Contract `json:"name,omitempty"`
	Unchanged bool        `json:"unchanged"`
	// Nodes is the number of nodes where the change is in force, with --wait.
	Nodes int `json:"nodes,omitempty"`
}

// apply makes a change, with --wait waits until it is in force, and prints the
// outcome.
func (o *cli) apply(cmd *cobra.Command, f *putFlags, edit confstore.Edit) error {
	edit.Author = f.author
	if f.wait {
		// Waiting needs the address of an entry; report a missing one before anything
		// is changed.
		if _, err := o.client(); err != nil {
			return err
		}
	}
	result := putResult{Object: edit.Object, Name: edit.Name}
	err := o.withStore(cmd, func(ctx context.Context, repository *confstore.Repository) error {
		accepted, err := repository.Apply(ctx, edit)
		result.Revision, result.Unchanged = accepted.Change.Revision, accepted.Unchanged
		return err
	})
	if err != nil {
		return err
	}
	var waitErr error
	if f.wait {
		result.Nodes, waitErr = o.waitInForce(cmd.Context(), result.Revision, f.waitTimeout)
	}
	if err := o.print(cmd.OutOrStdout(), &result, result.table(f.wait && waitErr == nil)); err != nil {
		return err
	}
	return waitErr
}

func (r *putResult) table(inForce bool) func(io.Writer) {
	return func(w io.Writer) {
		object := string(r.Object)
		if r.Name != "" {
			object += " " + string(r.Name)
		}
		verb := "is"
		if r.Unchanged {
			verb = "is unchanged"
		}
		fmt.Fprintf(w, "%s %s at revision %d\n", object, verb, r.Revision)
		if inForce {
			fmt.Fprintf(w, "revision %d is in force at all %d nodes\n", r.Revision, r.Nodes)
		}
	}
}

// waitInForce waits until the revision is in force on all nodes, and returns their
// number.
func (o *cli) waitInForce(ctx context.Context, revision id.Revision, timeout time.Duration) (int, error) {
	client, err := o.client()
	if err != nil {
		return 0, err
	}
	w := confstore.Waiter{Clock: o.clock, Revisions: client.Revisions}
	return w.Wait(ctx, revision, timeout)
}
