package confstore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// repository returns a repository that does not pause between attempts.
func repository(f *fakeStore) *confstore.Repository {
	r := confstore.New(f.store(), instant{clockwork.NewFakeClock()})
	r.Jitter = func(time.Duration) time.Duration { return 0 }
	return r
}

// instant is a clock whose timers fire immediately.
type instant struct{ *clockwork.FakeClock }

func (c instant) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	fired <- c.Now()
	return fired
}

func contractEdit(name string, weight int, keys ...string) confstore.Edit {
	if len(keys) == 0 {
		keys = []string{"key of " + name}
	}
	c := contract.Contract{Name: id.Contract(name), Models: []id.Model{"report"}, Weight: weight}
	for _, k := range keys {
		c.Keys = append(c.Keys, contract.HashKey(k))
	}
	data, _ := json.Marshal(&c)
	return confstore.Edit{Object: conf.ContractObject, Name: c.Name, Value: data, Author: "anna"}
}

func deploymentEdit(attempts int) confstore.Edit {
	d := conf.Deployment{Recovery: conf.Recovery{MaxAttempts: attempts}}
	data, _ := json.Marshal(&d)
	return confstore.Edit{Object: conf.DeploymentObject, Value: data, Author: "anna"}
}

func basedOn(e confstore.Edit, revision id.Revision) confstore.Edit {
	e.BaseRevision = &revision
	return e
}

func mustApply(t *testing.T, r *confstore.Repository, e confstore.Edit) confstore.Accepted {
	t.Helper()
	accepted, err := r.Apply(t.Context(), e)
	is.New(t).NoErr(err)
	return accepted
}

func TestApply(t *testing.T) {
	is := is.New(t)
	f := newFakeStore()
	r := repository(f)
	is.Equal(mustApply(t, r, deploymentEdit(5)).Change.Revision, id.Revision(1))
	is.Equal(mustApply(t, r, contractEdit("a", 1)).Change.Revision, id.Revision(2))
	is.Equal(mustApply(t, r, contractEdit("a", 2)).Change.Revision, id.Revision(3))
	same := mustApply(t, r, contractEdit("a", 2))
	is.True(same.Unchanged)
	is.Equal(same.Change.Revision, id.Revision(3))
	is.Equal(f.count(store.HistoryPrefix), 3)

	s, err := r.Load(t.Context())
	is.NoErr(err)
	is.Equal(s.Revision, id.Revision(3))
	is.Equal(s.Deployment.Recovery.MaxAttempts, 5)
	c, ok := s.ContractOfKey(contract.HashKey("key of a"))
	is.True(ok)
	is.Equal(c.Weight, 2)

	deletion := confstore.Edit{Object: conf.ContractObject, Name: "a"}
	is.Equal(mustApply(t, r, deletion).Change.Revision, id.Revision(4))
	_, err = r.Apply(t.Context(), deletion)
	is.True(fault.Is(err, confstore.NotFound))
	_, err = r.Get(t.Context(), conf.ContractObject, "a")
	is.True(fault.Is(err, confstore.NotFound))
}

func TestApplyRefuses(t *testing.T) {
	f := newFakeStore()
	r := repository(f)
	mustApply(t, r, contractEdit("a", 1, "k1", "k2"))
	large := contractEdit("large", 1)
	var c contract.Contract
	is.New(t).NoErr(json.Unmarshal(large.Value, &c))
	c.Models = append(c.Models, id.Model(strings.Repeat("x", confstore.MaxValueBytes)))
	large.Value, _ = json.Marshal(&c)
	wrongName := contractEdit("b", 1)
	wrongName.Name = "c"
	tests := []struct {
		name string
		edit confstore.Edit
		kind confstore.Kind
		text string
	}{
		{"key of another contract", contractEdit("b", 1, "k9", "k2"), confstore.Invalid, `held by contract "a"`},
		{"too large", large, confstore.Invalid, "want at most 1000000"},
		{"name mismatch", wrongName, confstore.Invalid, `want "c"`},
		{"invalid weight", contractEdit("b", -1), confstore.Invalid, "weight"},
		{"not JSON", confstore.Edit{Object: conf.DeploymentObject, Value: []byte("{")}, confstore.Invalid, "JSON"},
		{"exists", basedOn(contractEdit("a", 4), 0), confstore.Conflict, "is at revision 1, written by anna"},
		{"object missing", basedOn(contractEdit("b", 4), 1), confstore.Conflict, "no longer exists"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := r.Apply(t.Context(), tt.edit)
			is.True(fault.Is(err, tt.kind))
			is.True(strings.Contains(err.Error(), tt.text))
			is.Equal(f.count(store.HistoryPrefix), 1)
		})
	}
}

func TestConflict(t *testing.T) {
	is := is.New(t)
	r := repository(newFakeStore())
	mustApply(t, r, contractEdit("a", 1))
	mustApply(t, r, contractEdit("a", 2))
	_, err := r.Apply(t.Context(), basedOn(contractEdit("a", 3), 1))
	var conflict *confstore.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Revision, id.Revision(2))
	is.Equal(conflict.Differences(), []confstore.Difference{{Key: "weight", Base: "1", Current: "2", Wanted: "3"}})
	// An edit based on the current revision is accepted.
	is.Equal(mustApply(t, r, basedOn(contractEdit("a", 3), 2)).Change.Revision, id.Revision(3))
}

// TestLostAnswers runs through every combination of faults of the first two
// commits. In each case, the change must be in the history exactly once, and
// the operator must be told that it was accepted.
func TestLostAnswers(t *testing.T) {
	names := map[commitFault]string{appliedLost: "applied", droppedLost: "dropped", late: "late", refused: "refused"}
	all := []commitFault{appliedLost, droppedLost, late, refused}
	for _, first := range all {
		for _, second := range all {
			t.Run(names[first]+" "+names[second], func(t *testing.T) {
				is := is.New(t)
				f := newFakeStore()
				r := repository(f)
				mustApply(t, r, contractEdit("a", 1))
				f.faults = []commitFault{first, second}
				accepted := mustApply(t, r, contractEdit("a", 2))
				is.True(!accepted.Unchanged)
				is.Equal(accepted.Change.Revision, id.Revision(2))
				is.Equal(f.count(store.HistoryPrefix), 2)
				got, err := r.Get(t.Context(), conf.ContractObject, "a")
				is.NoErr(err)
				is.Equal(got.ID, accepted.Change.ID)
			})
		}
	}
}

// TestLostAnswerThenOvertaken guards against a wrong answer about a change
// whose commit was not answered, when another operator changes or deletes the
// same object afterwards. The other change happens at each later call of the
// service, and the late commit arrives between any two of them.
func TestLostAnswerThenOvertaken(t *testing.T) {
	for _, lost := range []commitFault{appliedLost, droppedLost, late} {
		for lateBy := range 5 {
			for at := range 8 {
				for _, deletes := range []bool{false, true} {
					name := fmt.Sprintf("fault %d late by %d overtaken at %d delete %v", lost, lateBy, at, deletes)
					t.Run(name, func(t *testing.T) {
						f := newFakeStore()
						f.faults, f.lateBy = []commitFault{lost}, lateBy
						overtake(t, f, at, deletes)
					})
				}
			}
		}
	}
}

// overtake creates a contract while another operator overwrites or deletes it,
// and checks that the reported outcome of the creation is true.
func overtake(t *testing.T, f *fakeStore, at int, deletes bool) {
	is := is.New(t)
	r, other := repository(f), repository(f)
	calls, busy := 0, false
	f.before = func(string) {
		if f.commits < 1 || busy {
			return
		}
		calls++
		if calls != at+1 {
			return
		}
		busy = true
		defer func() { busy = false }()
		edit := contractEdit("a", 9)
		if deletes {
			edit.Value = nil
		}
		_, err := other.Apply(t.Context(), edit)
		// The late write may conflict with the other operator's change too.
		is.True(err == nil || fault.Is(err, confstore.NotFound) || fault.Is(err, confstore.Conflict))
	}
	accepted, err := r.Apply(t.Context(), contractEdit("a", 2))
	f.before = nil
	history, sinceErr := r.ChangesSince(t.Context(), 0)
	is.NoErr(sinceErr)
	ownChanges := 0
	for _, c := range history {
		if strings.Contains(string(c.Value), `"weight":2`) {
			ownChanges++
		}
	}
	if err == nil {
		is.Equal(ownChanges, 1)
		is.True(!accepted.Unchanged)
		return
	}
	is.True(fault.Is(err, confstore.Conflict))
	is.Equal(ownChanges, 0) // a refused change is not in the history
}

func TestApplyTimesOut(t *testing.T) {
	tests := []struct {
		name  string
		fault commitFault
		kind  confstore.Kind
	}{
		{"certainly not applied", refused, confstore.Unavailable},
		{"unknown", droppedLost, confstore.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeStore()
			r := repository(f)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f.faults = []commitFault{tt.fault}
			f.before = func(string) {
				if f.commits == 1 {
					cancel()
				}
			}
			_, err := r.Apply(ctx, contractEdit("a", 1))
			is.True(fault.Is(err, tt.kind))
		})
	}
}

func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	const operators = 12
	f := newFakeStore()
	var wait sync.WaitGroup
	errs := make([]error, operators)
	for i := range operators {
		wait.Go(func() {
			r := repository(f)
			_, errs[i] = r.Apply(t.Context(), contractEdit(fmt.Sprintf("c%d", i), 1))
		})
	}
	wait.Wait()
	for _, err := range errs {
		is.NoErr(err) // changes of different contracts do not conflict
	}
	s, err := repository(f).Load(t.Context())
	is.NoErr(err)
	is.Equal(s.Revision, id.Revision(operators))
	is.Equal(len(s.Contracts), operators)

	// All operators edit one contract from the same revision: exactly one
	// change is accepted.
	mustApply(t, repository(f), contractEdit("shared", 1))
	for i := range operators {
		wait.Go(func() {
			_, errs[i] = repository(f).Apply(t.Context(), basedOn(contractEdit("shared", i+2), operators+1))
		})
	}
	wait.Wait()
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		is.True(fault.Is(err, confstore.Conflict))
	}
	is.Equal(accepted, 1)
}

// TestLoadIsConsistent checks that a loaded snapshot equals the history up to
// its revision, even if changes are accepted between the reads of Load.
func TestLoadIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeStore()
		r := repository(f)
		busy := false
		change := func() {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			edit := contractEdit(name, rapid.IntRange(1, 1000).Draw(t, "weight"))
			if rapid.Bool().Draw(t, "delete") {
				edit.Value = nil
			}
			if _, err := r.Apply(context.Background(), edit); err != nil && !fault.Is(err, confstore.NotFound) {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(0, 5).Draw(t, "before") {
			change()
		}
		left := rapid.IntRange(0, 6).Draw(t, "meanwhile")
		f.before = func(string) {
			if !busy && left > 0 {
				busy, left = true, left-1
				change()
				busy = false
			}
		}
		got, err := r.Load(context.Background())
		f.before = nil
		if err != nil {
			t.Fatal(err)
		}
		want := conf.Empty()
		history, err := r.ChangesSince(context.Background(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range history[:got.Revision] {
			if want, err = want.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		if toJSON(got.Contracts) != toJSON(want.Contracts) && len(got.Contracts)+len(want.Contracts) > 0 {
			t.Fatalf("revision %d: got %s, want %s", got.Revision, toJSON(got.Contracts), toJSON(want.Contracts))
		}
	})
}

func toJSON(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}

func TestHistory(t *testing.T) {
	is := is.New(t)
	f := newFakeStore()
	r := repository(f)
	const changes = confstore.HistoryLength + 5
	for i := range changes {
		mustApply(t, r, deploymentEdit(i+1))
	}
	is.Equal(f.count(store.HistoryPrefix), confstore.HistoryLength)
	tests := []struct {
		since id.Revision
		n     int
		kind  confstore.Kind
	}{
		{changes, 0, ""},
		{changes - 3, 3, ""},
		{changes - 100, 100, ""},
		{5, confstore.HistoryLength, ""},
		{4, 0, confstore.Gap},
		{changes + 1, 0, confstore.Behind},
	}
	for _, tt := range tests {
		got, err := r.ChangesSince(t.Context(), tt.since)
		is.Equal(len(got), tt.n)
		kind, _ := fault.KindOf[confstore.Kind](err)
		is.Equal(kind, tt.kind)
		for i, c := range got {
			is.Equal(c.Revision, tt.since+id.Revision(i)+1)
		}
	}
}

func TestWait(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	queries := 0
	w := confstore.Waiter{Clock: instant{clock}, Revisions: func(context.Context) ([]confstore.NodeRevision, error) {
		queries++
		if queries == 1 {
			return nil, errors.New("no answer")
		}
		return []confstore.NodeRevision{{Node: "e1", Revision: 7}, {Node: "e2", Revision: id.Revision(4 + queries)}}, nil
	}}
	nodes, err := w.Wait(t.Context(), 7, time.Second)
	is.NoErr(err)
	is.Equal(nodes, 2)
	is.Equal(queries, 3)

	w.Revisions = func(context.Context) ([]confstore.NodeRevision, error) {
		clock.Advance(time.Second)
		return []confstore.NodeRevision{{Node: "e1", Revision: 7}, {Node: "e2", Revision: 6}}, nil
	}
	_, err = w.Wait(t.Context(), 7, time.Second)
	is.True(fault.Is(err, confstore.NotInForce))
	var missing *confstore.NotInForceError
	is.True(errors.As(err, &missing))
	is.Equal(missing.Nodes, []confstore.NodeRevision{{Node: "e2", Revision: 6}})

	w.Revisions = func(context.Context) ([]confstore.NodeRevision, error) {
		clock.Advance(time.Second)
		return nil, nil
	}
	_, err = w.Wait(t.Context(), 7, time.Second)
	is.True(fault.Is(err, confstore.NotInForce)) // an empty list of nodes does not count as success
}
