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

// putFlags are the flags of commands that change the configuration.
type putFlags struct {
	author      string
	from        int64
	wait        bool
	waitTimeout time.Duration
}

func (f *putFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.author, "author", os.Getenv("USER"), "who makes the change, for the history")
	flags.Int64Var(&f.from, "from", -1, "revision that was edited, 0 for none; otherwise the file's, or what is there")
	flags.BoolVar(&f.wait, "wait", false, "wait until the change is in force everywhere; needs --"+flagEntry)
	flags.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest time to wait")
}

// based returns the revision that a change was edited from; nil is what is
// there.
func (f *putFlags) based(data []byte) *id.Revision {
	if f.from >= 0 {
		r := id.Revision(f.from)
		return &r
	}
	if r, ok := conffile.BaseRevision(data); ok {
		return &r
	}
	return nil
}

// putResult is what a change led to.
type putResult struct {
	Revision  id.Revision `json:"revision"`
	Object    conf.Object `json:"object"`
	Name      id.Contract `json:"name,omitempty"`
	Unchanged bool        `json:"unchanged"`
	// Nodes is where the change is in force, when that was waited for.
	Nodes int `json:"nodes,omitempty"`
}

// apply makes a change, waits for it when asked to, and prints the outcome.
func (o *cli) apply(cmd *cobra.Command, f *putFlags, edit confstore.Edit) error {
	edit.Author = f.author
	if f.wait {
		// Without an entry to ask, the change is not even begun.
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
	var waited error
	if f.wait {
		result.Nodes, waited = o.waitInForce(cmd.Context(), result.Revision, f.waitTimeout)
	}
	if err := o.print(cmd.OutOrStdout(), &result, result.table(f.wait && waited == nil)); err != nil {
		return err
	}
	return waited
}

func (r *putResult) table(inForce bool) func(io.Writer) {
	return func(w io.Writer) {
		what := string(r.Object)
		if r.Name != "" {
			what += " " + string(r.Name)
		}
		state := "is"
		if r.Unchanged {
			state = "is unchanged"
		}
		fmt.Fprintf(w, "%s %s at revision %d\n", what, state, r.Revision)
		if inForce {
			fmt.Fprintf(w, "revision %d is in force at all %d nodes\n", r.Revision, r.Nodes)
		}
	}
}

// waitInForce waits until all nodes have the revision.
func (o *cli) waitInForce(ctx context.Context, revision id.Revision, timeout time.Duration) (int, error) {
	client, err := o.client()
	if err != nil {
		return 0, err
	}
	w := confstore.Waiter{Clock: o.clock, Revisions: client.Revisions}
	return w.Wait(ctx, revision, timeout)
}
