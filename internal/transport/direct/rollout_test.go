package direct_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

const (
	orderKey  = "config/rollout/m"
	statusKey = "status/m"
)

// rolloutStore holds the orders and stages of roll-outs, with conditions and watches.
type rolloutStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	history  []store.Change
	revision int64
	era      store.Era
	// changed is closed at each change.
	changed chan struct{}
	// commit replaces the outcome of a transaction unless it is nil.
	commit func(apply func() store.Result) (store.Result, error)
	// fails makes lists of the orders alone fail.
	fails atomic.Bool
	// calls counts the calls about roll-outs, and listsOrders those that read the orders alone.
	calls, listsOrders int
}

func newRolloutStore() *rolloutStore {
	return &rolloutStore{items: map[string]store.Item{}, revision: 10, changed: make(chan struct{})}
}

// put writes an item; a nil value deletes it.
func (s *rolloutStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value)
}

func (s *rolloutStore) putLocked(key string, value []byte) {
	s.revision++
	item := store.Item{Key: key, Value: value, ModRevision: s.revision}
	s.items[key] = item
	if value == nil {
		delete(s.items, key)
	}
	s.history = append(s.history, store.Change{Item: item, Deleted: value == nil})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *rolloutStore) status() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[statusKey]
	return string(item.Value)
}

func (s *rolloutStore) list(prefix string) store.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := store.Page{Revision: s.revision, Era: s.era}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	return page
}

func (s *rolloutStore) watch(ctx context.Context, prefix string, after store.Point, each func(store.Change)) error {
	for {
		s.mu.Lock()
		changed := s.changed
		var changes []store.Change
		for _, c := range s.history {
			if c.Item.ModRevision > after.Revision && strings.HasPrefix(c.Item.Key, prefix) {
				changes = append(changes, c)
			}
		}
		after.Revision = s.revision
		s.mu.Unlock()
		for _, c := range changes {
			each(c)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *rolloutStore) apply(txn store.Txn) store.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Compares {
		item := s.items[c.Key]
		if item.ModRevision != c.ModRevision {
			return store.Result{Revision: s.revision, Era: s.era}
		}
	}
	for _, p := range txn.Puts {
		s.putLocked(p.Key, p.Value)
	}
	return store.Result{Succeeded: true, Revision: s.revision, Era: s.era}
}

// use has an entry's key-value service hold roll-outs.
func (s *rolloutStore) use(kv *store.Store) {
	list, watch, commit := kv.List, kv.Watch, kv.Commit
	mine := func(prefix string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if prefix == "config/rollout/" {
			s.listsOrders++
		}
		ours := strings.HasPrefix(prefix, "config/rollout/") || prefix == store.RolloutPrefix
		if ours {
			s.calls++
		}
		return ours
	}
	kv.List = func(ctx context.Context, prefix string) (store.Page, error) {
		if mine(prefix) {
			if s.fails.Load() {
				return store.Page{}, fault.New("list", store.Unavailable, "away")
			}
			return s.list(prefix), nil
		}
		page, err := list(ctx, prefix)
		if prefix == "config/" {
			orders := s.list(prefix)
			page.Items, page.Revision = append(page.Items, orders.Items...), orders.Revision
		}
		return page, err
	}
	kv.Watch = func(ctx context.Context, prefix string, after store.Point, each func(store.Change)) error {
		if mine(prefix) || prefix == "config/" {
			return s.watch(ctx, prefix, after, each)
		}
		return watch(ctx, prefix, after, each)
	}
	kv.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
		if len(txn.Compares) == 0 {
			return commit(ctx, txn)
		}
		if s.commit != nil {
			return s.commit(func() store.Result { return s.apply(txn) })
		}
		return s.apply(txn), nil
	}
}

// returnEmpty loses all items, and gives revisions out again, in a new era.
func (s *rolloutStore) returnEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision = map[string]store.Item{}, nil, 1
	s.era++
}

// decodeOrder decodes an order of the form "service to milliseconds".
func decodeOrder(i store.Item) (catalog.RolloutOrder, error) {
	o := catalog.RolloutOrder{Revision: i.ModRevision}
	if _, err := fmt.Sscan(string(i.Value), &o.Service, &o.To, &o.DurationMS); err != nil {
		return o, err
	}
	return o, o.Validate()
}

func encodeStatus(service id.Service, state catalog.RolloutState, to id.SoftwareVersion) (string, []byte) {
	return "status/" + string(service), fmt.Appendf(nil, "%s %s", state, to)
}

// share is the largest share of an unproven version in these tests.
const share = 0.2

// withRollouts runs a test with two targets of v1 and two of v2, whose requests newTarget
// answers.
func withRollouts(t *testing.T, newTarget http.HandlerFunc, test func(env *testEnv, kv *rolloutStore)) {
	withEnv(t, func(env *testEnv) {
		kv := newRolloutStore()
		env.rollouts, env.changeStore = settings.Rollouts{Share: share, Tolerance: 10, RevertMS: 5000}, kv.use
		good := slowAnswer(20*time.Millisecond, http.StatusOK)
		env.softwareTarget("t1", "10.0.1.1:80", "a", "v1", 1, good)
		env.softwareTarget("t2", "10.0.2.1:80", "b", "v1", 2, good)
		env.softwareTarget("n1", "10.0.3.1:80", "a", "v2", 3, newTarget)
		env.softwareTarget("n2", "10.0.4.1:80", "b", "v2", 4, newTarget)
		test(env, kv)
	})
}

// slowAnswer returns a handler that answers with a status after some time.
func slowAnswer(after time.Duration, status int) http.HandlerFunc {
	respond := respondWith(status, "x", "Signed", "yes")
	return func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(after)
		respond(rw, r)
	}
}

// load sends 50 requests a second for a time.
func (env *testEnv) load(d time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		wg.Go(func() { env.do("GET", "/s/x", fmt.Sprint("a", time.Now().UnixNano()), "") })
	}
	wg.Wait()
}

// sentTo counts the requests that targets of the old and the new version received between two
// times.
func (env *testEnv) sentTo(from, to time.Time) (old, toNew int) {
	for _, r := range env.requests() {
		switch {
		case r.at.Before(from) || r.at.After(to):
		case strings.HasPrefix(string(r.target), "n"):
			toNew++
		default:
			old++
		}
	}
	return old, toNew
}

// TestRolloutCompletes guards against a good version that is not completed in time, that gets
// more than its share before, or that is completed while the old ones still get requests. One
// write of a stage takes effect without an answer.
func TestRolloutCompletes(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		t.Run(fmt.Sprint(unanswered), func(t *testing.T) {
			withRollouts(t, slowAnswer(20*time.Millisecond, http.StatusOK), func(env *testEnv, kv *rolloutStore) {
				var completedAt atomic.Int64
				kv.commit = func(apply func() store.Result) (store.Result, error) {
					result := apply()
					if strings.HasPrefix(kv.status(), "completed") && completedAt.Load() == 0 {
						completedAt.Store(time.Now().UnixNano())
					}
					if unanswered {
						return store.Result{}, fault.New("commit", store.Unknown, "no answer")
					}
					return result, nil
				}
				kv.put(orderKey, []byte("m v2 12000"))
				begun := time.Now()
				env.start()
				// A service with streams switches at half of the time budget.
				env.load(5500 * time.Millisecond)
				env.is.Equal(kv.status(), "inProgress v2")
				old, sent := env.sentTo(begun, time.Now())
				env.is.True(sent >= 20 && float64(sent) <= share*float64(old+sent)+10)
				env.load(6500 * time.Millisecond)
				env.is.Equal(kv.status(), "completed v2")
				at := time.Unix(0, completedAt.Load())
				env.is.True(at.Sub(begun) < 12*time.Second)
				env.load(time.Second)
				old, sent = env.sentTo(at, time.Now())
				env.is.Equal(old, 0)
				env.is.True(sent > 0)
			})
		})
	}
}

// TestRolloutReverts guards against a bad version that gets requests after it was found bad, or
// that is not reverted.
func TestRolloutReverts(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"fails": slowAnswer(20*time.Millisecond, http.StatusInternalServerError),
		"slow":  slowAnswer(200*time.Millisecond, http.StatusOK),
	} {
		t.Run(name, func(t *testing.T) {
			withRollouts(t, bad, func(env *testEnv, kv *rolloutStore) {
				env.start()
				env.load(time.Second)
				kv.put(orderKey, []byte("m v2 12000"))
				begun := time.Now()
				env.load(6 * time.Second)
				env.is.Equal(kv.status(), "reverted v2")
				_, sent := env.sentTo(begun, time.Now())
				env.is.True(sent > 0 && sent < 50)
				since := time.Now()
				env.load(3 * time.Second)
				old, sent := env.sentTo(since, time.Now())
				env.is.True(old > 100 && sent == 0)
				env.is.True(env.log.count("rolloutBad") == 1)
			})
		})
	}
}

// TestRolloutWithoutStage guards against requests to the new version while no stage can be
// written, after an order that can't be read, and after the withdrawal of an order.
func TestRolloutWithoutStage(t *testing.T) {
	withRollouts(t, slowAnswer(20*time.Millisecond, http.StatusOK), func(env *testEnv, kv *rolloutStore) {
		var away atomic.Bool
		away.Store(true)
		kv.commit = func(apply func() store.Result) (store.Result, error) {
			if away.Load() {
				return store.Result{}, fault.New("commit", store.Unavailable, "away")
			}
			return apply(), nil
		}
		kv.put(orderKey, []byte("m v2 12000"))
		env.start()
		begun := time.Now()
		env.load(2 * time.Second)
		old, sent := env.sentTo(begun, time.Now())
		env.is.True(old > 50 && sent == 0)

		kv.put(orderKey, []byte("nonsense"))
		away.Store(false)
		env.load(2 * time.Second)
		env.is.Equal(env.log.count("rolloutRefused"), 1)
		env.is.Equal(kv.status(), "inProgress v2") // the order of before is in force

		kv.put(orderKey, nil)
		env.load(time.Second)
		env.is.Equal(kv.status(), "reverted v2")
		since := time.Now()
		env.load(time.Second)
		_, sent = env.sentTo(since, time.Now())
		env.is.Equal(sent, 0)
	})
}

// TestVersionsWithoutOrder guards against versions that are not served side by side without an
// order, and against a version that is sent requests before an order for it could be known.
func TestVersionsWithoutOrder(t *testing.T) {
	withRollouts(t, slowAnswer(20*time.Millisecond, http.StatusOK), func(env *testEnv, kv *rolloutStore) {
		later := slices.Clone(env.targets[2:])
		env.targets = env.targets[:2]
		env.start()
		env.load(time.Second)
		kv.mu.Lock()
		env.is.Equal(kv.calls, 0) // no call without an order or a new version
		kv.mu.Unlock()
		for _, item := range later {
			env.list(item)
		}
		env.load(2 * time.Second)
		synctest.Wait()
		_, sent := env.sentTo(time.Now().Add(-time.Second), time.Now())
		env.is.True(sent > 10)
		env.is.Equal(kv.status(), "")
		kv.mu.Lock()
		defer kv.mu.Unlock()
		env.is.Equal(kv.listsOrders, 1)
	})
}

// TestRolloutOfReturnedStore guards against an order that is ignored because it was written again
// after the key-value service had returned from an older copy, and against requests to a version
// that was reverted before.
func TestRolloutOfReturnedStore(t *testing.T) {
	withRollouts(t, slowAnswer(20*time.Millisecond, http.StatusInternalServerError), func(env *testEnv, kv *rolloutStore) {
		kv.put(orderKey, []byte("m v2 12000"))
		env.start()
		env.load(4 * time.Second)
		env.is.Equal(kv.status(), "reverted v2")
		kv.returnEmpty()
		env.returnStore()
		since := time.Now()
		env.load(3 * time.Second)
		_, sent := env.sentTo(since, time.Now())
		env.is.Equal(sent, 0)
		env.is.Equal(kv.status(), "reverted v2") // written again

		kv.put(orderKey, []byte("m v3 12000")) // its revision is lower than the first one's
		env.load(time.Second)
		env.is.Equal(kv.status(), "inProgress v3")
	})
}

// TestVersionWithStoreAway guards against a version that is held back for as long as the
// key-value service is away.
func TestVersionWithStoreAway(t *testing.T) {
	withRollouts(t, slowAnswer(20*time.Millisecond, http.StatusOK), func(env *testEnv, kv *rolloutStore) {
		later := slices.Clone(env.targets[2:])
		env.targets = env.targets[:2]
		env.start()
		env.load(time.Second)
		kv.fails.Store(true)
		for _, item := range later {
			env.list(item)
		}
		since := time.Now()
		env.load(time.Second)
		_, sent := env.sentTo(since, time.Now())
		env.is.Equal(sent, 0)
		since = time.Now().Add(2 * time.Second)
		env.load(4 * time.Second)
		_, sent = env.sentTo(since, time.Now())
		env.is.True(sent > 10)
	})
}
