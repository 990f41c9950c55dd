package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/claim"
	kv "foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/service"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// limit is above what the tests send. A sudden burst is refused all the same
// until the entry's share of the limit has grown.
const limit = 1_000_000

// floor is a deployment with part orders, which run once, and a kiosk.
type floor struct {
	*deployment.Deployment
	t      *testing.T
	store  *store.Service
	claims claimWrites
}

// claimWrites counts the writes of claims and loses some: other users of the
// key-value service must not take the loss.
type claimWrites struct {
	mu    sync.Mutex
	count int
	// loseAnswers and loseRequests count the writes to lose after and before
	// they take effect.
	loseAnswers, loseRequests int
}

func (c *claimWrites) next() (loseAnswer, loseRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	loseAnswer, loseRequest = c.loseAnswers > 0, c.loseRequests > 0
	c.loseAnswers, c.loseRequests = max(0, c.loseAnswers-1), max(0, c.loseRequests-1)
	return loseAnswer, loseRequest
}

// lose loses the answers of so many writes, and so many writes.
func (c *claimWrites) lose(answers, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswers, c.loseRequests = answers, requests
}

func (c *claimWrites) counted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// over returns commit with these losses.
func (c *claimWrites) over(commit claim.CommitFunc) claim.CommitFunc {
	return func(ctx context.Context, txn kv.Txn) (kv.Result, error) {
		if !strings.HasPrefix(txn.Puts[0].Key, kv.ClaimPrefix) {
			return commit(ctx, txn)
		}
		loseAnswer, loseRequest := c.next()
		if loseRequest {
			return kv.Result{}, fault.New("claimWrites", kv.Unknown, "lost before it took effect")
		}
		result, err := commit(ctx, txn)
		if loseAnswer && err == nil {
			return kv.Result{}, fault.New("claimWrites", kv.Unknown, "lost after it took effect")
		}
		return result, err
	}
}

func startFloor(t *testing.T, services, entries int) *floor {
	t.Helper()
	keys := store.New(store.Options{})
	t.Cleanup(keys.Close)
	f := &floor{t: t, store: keys}
	direct := keys.Direct()
	direct.Commit = f.claims.over(direct.Commit)
	opts := options(0, entries)
	opts.Store = &direct
	opts.Contracts[0].Limits.RequestsPerSecond, opts.Contracts[0].Limits.Concurrency = limit, limit
	opts.Contracts[0].Services = contract.Services{{Name: "floor"}, {Name: "kiosk", Repeatable: true}}
	for i := range services {
		for _, name := range []id.Service{"floor", "kiosk"} {
			opts.Services = append(opts.Services, deployment.ServiceOptions{
				Name:    id.Target(fmt.Sprintf("%s-%d", name, i)),
				Place:   settings.Place{Host: "h", Zone: id.Zone(fmt.Sprintf("z%d", i)), Region: "ch"},
				Service: service.Options{Name: name},
				Slots:   256,
			})
		}
	}
	f.Deployment = start(t, opts)
	// The first claim asks for a lease; faults are to hit the claims.
	f.told(0, "warm", "warm")
	return f
}

// word is what a caller was told: done, notRun, unknown or failed.
type word struct {
	told   string
	cause  string
	detail string
	result string
	retry  string
	id     id.Request
}

// send sends a call through an entry. Its connection is its own, so that
// net/http never sends it again.
func send(url, serviceName, key, body string) (word, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/"+serviceName+"/orders", strings.NewReader(body))
	if err != nil {
		return word{}, err
	}
	r.Close = true
	r.Header.Set("Authorization", "Bearer dev-staplerdienst")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return word{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return word{}, err
	}
	var message struct{ Outcome, Cause, Detail, Result string }
	err = json.Unmarshal(data, &message)
	w := word{
		told: message.Outcome, cause: message.Cause, detail: message.Detail, result: message.Result,
		retry: resp.Header.Get("Retry-After"), id: id.Request(resp.Header.Get("Foxtailward-Request")),
	}
	if resp.StatusCode == http.StatusOK {
		w.told = "done"
	}
	return w, err
}

// told sends an order through an entry and returns what its caller was told; a
// broken connection tells nothing.
func (f *floor) told(entry int, key, body string) word {
	f.t.Helper()
	w, err := send(f.Entries[entry].URL(), "floor", key, body)
	if err != nil {
		return word{told: "unknown", detail: err.Error()}
	}
	return w
}

// home returns the number of the entry that owns a key.
func (f *floor) home(key string) int {
	var names []id.Entry
	for i := range f.Entries {
		names = append(names, id.Entry(fmt.Sprintf("entry-%d", i)))
	}
	home := id.HomeEntry(id.RequestForKey("staplerdienst", "call/floor/"+key), names)
	for i, name := range names {
		if name == home {
			return i
		}
	}
	return 0
}

func (f *floor) runs(body string) int {
	n := 0
	for _, s := range f.Services {
		n += s.StandIn.RunsOfBody(body)
	}
	return n
}

// waitRun waits until a run of body began.
func (f *floor) waitRun(body string) { f.wait(func() bool { return f.runs(body) > 0 }) }

// wait waits for a condition, and ends the test when it does not come.
func (f *floor) wait(condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("what the test waits for does not come")
		}
	}
}

// floors calls f for each service that takes orders.
func (f *floor) floors(each func(s *deployment.Service)) {
	for _, s := range f.Services {
		if strings.HasPrefix(string(s.Process.Report().Target), "floor") {
			each(s)
		}
	}
}

// restart starts the target processes beside the floors again.
func (f *floor) restart(is *is.I) {
	f.floors(func(s *deployment.Service) { is.NoErr(s.Restart()) })
}

// judge holds the words of one order against its runs.
func judge(is *is.I, runs int, words []word) {
	is.Helper()
	is.True(runs <= 1) // never twice
	for _, w := range words {
		switch w.told {
		case "done":
			is.Equal(runs, 1)
		case "notRun":
			is.Equal(runs, 0)
		}
	}
}

const orderKey, order = "order-1", "part 17"

// crossings are the failures that an order may meet. Each sends the order and
// may return what its caller was told.
var crossings = []struct {
	name string
	run  func(f *floor, is *is.I) word
	// want is what all callers are told who come back with the key.
	want string
}{
	{"nothing", func(f *floor, _ *is.I) word { return f.told(0, orderKey, order) }, "done"},
	{"service dies before", func(f *floor, _ *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.FailNext(service.CrashBefore) })
		return f.told(0, orderKey, order)
	}, "unknown"},
	{"service dies during", func(f *floor, _ *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.FailNext(service.CrashDuring) })
		return f.told(0, orderKey, order)
	}, "unknown"},
	{"service dies after", func(f *floor, _ *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.FailNext(service.CrashAfter) })
		return f.told(0, orderKey, order)
	}, "unknown"},
	{"service's reply lost", func(f *floor, _ *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.FailNext(service.DropReply) })
		return f.told(0, orderKey, order)
	}, "unknown"},
	{"service refuses connections", func(f *floor, _ *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.Crash() })
		return f.told(0, orderKey, order)
	}, "notRun"},
	{"target processes killed before", func(f *floor, is *is.I) word {
		f.floors(func(s *deployment.Service) { s.Kill() })
		w := f.told(0, orderKey, order)
		f.restart(is)
		return w
	}, "notRun"},
	{"target processes killed during", func(f *floor, is *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.SetCallDuration(300 * time.Millisecond) })
		told := make(chan word)
		go func() { told <- f.told(0, orderKey, order) }()
		f.waitRun(order)
		f.floors(func(s *deployment.Service) { s.Kill() })
		w := <-told
		f.restart(is)
		return w
	}, "unknown"},
	{"target processes killed after", func(f *floor, is *is.I) word {
		w := f.told(0, orderKey, order)
		f.floors(func(s *deployment.Service) { s.Kill() })
		f.restart(is)
		return w
	}, "done"},
	{"entry killed before its claim", func(f *floor, _ *is.I) word {
		f.store.SetHang(true)
		before := f.claims.counted()
		return f.killOwner(func() { f.wait(func() bool { return f.claims.counted() > before }) },
			func() { f.store.SetHang(false) })
	}, ""},
	{"entry ended between its claim and its call", func(f *floor, is *is.I) word {
		f.claimAbandoned(is)
		return word{told: "unknown"}
	}, "notRun"},
	{"entry killed after its call", func(f *floor, _ *is.I) word {
		f.floors(func(s *deployment.Service) { s.StandIn.SetCallDuration(4 * time.Second) })
		return f.killOwner(func() { f.waitRun(order) }, func() {})
	}, "done"},
	{"claim applied and its answer lost", func(f *floor, _ *is.I) word {
		f.claims.lose(1, 0)
		return f.told(0, orderKey, order)
	}, "done"},
	{"claim lost on its way", func(f *floor, _ *is.I) word {
		f.claims.lose(0, 1)
		return f.told(0, orderKey, order)
	}, "done"},
	{"store down", func(f *floor, is *is.I) word {
		is.NoErr(f.store.SetOutage(true))
		w := f.told(0, orderKey, order)
		is.Equal(w.told, "unknown")
		is.Equal(w.cause, "storeDown")
		is.True(w.retry != "")
		is.Equal(f.runs(order), 0)
		is.NoErr(f.store.SetOutage(false))
		// The lease is asked for again after a pause.
		return w
	}, "done"},
	{"store's leases ended", func(f *floor, _ *is.I) word {
		f.store.ExpireLeases()
		return f.told(0, orderKey, order)
	}, "done"},
}

// killOwner sends the order to its home entry, kills that once ready returns,
// and calls after while it dies.
func (f *floor) killOwner(ready, after func()) word {
	home := f.home(orderKey)
	told := make(chan word)
	go func() { told <- f.told(home, orderKey, order) }()
	ready()
	killed := make(chan struct{})
	go func() {
		f.Entries[home].Kill()
		close(killed)
	}()
	<-killed
	after()
	return <-told
}

// claimAbandoned writes the claim of an entry that ends before its call left.
func (f *floor) claimAbandoned(is *is.I) {
	r := claim.Record{Claim: claim.Claim{
		Request: id.RequestForKey("staplerdienst", "call/floor/"+orderKey), Owner: "entry-gone", Nonce: 1, State: claim.Claimed,
		Target: f.Services[0].Process.Report().Target, Incarnation: f.Services[0].Process.Incarnation(),
	}}
	direct := f.store.Direct()
	result, err := direct.Commit(f.t.Context(), kv.Txn{Puts: []kv.Put{{Key: r.Key(), Value: r.Encode()}}})
	is.NoErr(err)
	is.True(result.Succeeded)
}

// An order meets each failure; its caller comes back with the key through all
// entries that are left.
func TestOrderRunsOnce(t *testing.T) {
	for _, tt := range crossings {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFloor(t, 2, 3)
			words := []word{tt.run(f, is)}
			var last word
			for i := range f.Entries {
				last = f.told(i, orderKey, order)
				words = append(words, last)
			}
			judge(is, f.runs(order), words)
			is.True(tt.want == "" || last.told == tt.want)
			t.Logf("runs %d, told first %s, last %s: %s", f.runs(order), words[0].told, last.told, last.detail)
		})
	}
}

// The same order is sent through all entries at once, and again after its end.
func TestOrderEverywhereAtOnce(t *testing.T) {
	is := is.New(t)
	f := startFloor(t, 2, 3)
	var mu sync.Mutex
	var words []word
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			w := f.told(i%3, orderKey, order)
			mu.Lock()
			defer mu.Unlock()
			words = append(words, w)
		})
	}
	wait.Wait()
	words = append(words, f.told(1, orderKey, order))
	is.Equal(f.runs(order), 1)
	for _, w := range words {
		is.Equal(w.told, "done")
		is.Equal(w.result, service.ExpectedResult(http.MethodPost, "/orders", order))
	}
	other := f.told(2, orderKey, "another part")
	is.Equal(other.cause, "conflict")
	is.Equal(f.runs("another part"), 0)
}

// Entry and target leave while orders run; all are finished, once.
func TestOrdersFinishWhileLeaving(t *testing.T) {
	is := is.New(t)
	f := startFloor(t, 2, 3)
	f.floors(func(s *deployment.Service) { s.StandIn.SetCallDuration(time.Second) })
	var wait sync.WaitGroup
	for i := range 12 {
		body := fmt.Sprint("part ", i)
		wait.Go(func() {
			w := f.told(i%3, fmt.Sprint("order-", i), body)
			is.Equal(w.told+w.detail, "done")
		})
	}
	for i := range 12 {
		f.waitRun(fmt.Sprint("part ", i))
	}
	wait.Go(func() { is.NoErr(f.Entries[0].Stop()) })
	wait.Go(func() { is.NoErr(f.Services[0].Stop()) })
	wait.Wait()
	for i := range 12 {
		is.Equal(f.runs(fmt.Sprint("part ", i)), 1)
	}
	is.Equal(f.told(1, "after", "after").told, "done")
}

// A repeatable call whose reply is lost is sent to another target; the store is
// not needed for it, nor for an order without a key.
func TestCallsWithoutClaim(t *testing.T) {
	is := is.New(t)
	f := startFloor(t, 2, 2)
	is.NoErr(f.store.SetOutage(true))
	kiosk := f.Services[1]
	for _, formKey := range []string{"", "form"} {
		kiosk.StandIn.FailNext(service.DropReply)
		body := ""
		for i := 0; kiosk.StandIn.RunsOfBody(body) == 0; i++ {
			is.True(i < 100) // the target is chosen some time
			body = fmt.Sprint("flat ", formKey, i)
			w, err := send(f.Entries[i%2].URL(), "kiosk", keyOf(formKey, i), body)
			is.NoErr(err)
			is.Equal(w.told, "done")
		}
		is.Equal(f.runs(body), 2)
	}
	is.Equal(f.told(0, "", order).told, "done")
	is.Equal(f.runs(order), 1)
}

// keyOf numbers a key; calls without one stay so.
func keyOf(name string, i int) string {
	if name == "" {
		return ""
	}
	return fmt.Sprint(name, i)
}

// Two hundred orders at once: each runs once, and they share writes. A caller
// that is told notRun sends its order under a new key.
func TestManyOrders(t *testing.T) {
	is := is.New(t)
	f := startFloor(t, 2, 2)
	f.store.SetLatency(5 * time.Millisecond)
	before := f.claims.counted()
	const orders = 200
	sent := make([]int, orders)
	var wait sync.WaitGroup
	for i := range orders {
		wait.Go(func() {
			for told := ""; told != "done" && sent[i] < 100; sent[i]++ {
				name := fmt.Sprint("order-", i, "-", sent[i])
				told = f.told(i%2, name, name).told
				is.True(told == "done" || told == "notRun")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	claims := 0
	for i := range orders {
		for n := range sent[i] {
			runs := 0
			if n == sent[i]-1 {
				runs = 1
			}
			is.Equal(f.runs(fmt.Sprint("order-", i, "-", n)), runs)
		}
		claims += sent[i]
	}
	writes := f.claims.counted() - before
	t.Logf("%d orders, %d claims of which %d were refused, %d writes", orders, claims, claims-orders, writes)
	is.True(writes < claims) // alone, each order takes two, and each refusal one
}

// Orders are sent again and again through any entry while services fail, target
// processes start anew, and the store fails in each of its ways.
func TestOrdersUnderFailures(t *testing.T) {
	is := is.New(t)
	f := startFloor(t, 3, 3)
	f.floors(func(s *deployment.Service) { s.StandIn.SetCallDuration(5 * time.Millisecond) })
	const callers, sendings = 150, 12
	words := make([]map[string][]word, callers)
	var wait sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(11, uint64(i)))
		words[i] = map[string][]word{}
		wait.Go(func() {
			key := fmt.Sprint("order-", i)
			for range sendings {
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
				w := f.told(rng.IntN(3), key, key)
				words[i][key] = append(words[i][key], w)
				if w.told == "notRun" && rng.IntN(2) == 0 {
					key += "-again"
				}
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		wait.Wait()
		close(ended)
	}()
	f.fail(is, rand.New(rand.NewPCG(11, 0)), ended)
	count := map[string]int{}
	for _, orders := range words {
		for body, told := range orders {
			runs := f.runs(body)
			judge(is, runs, told)
			count[fmt.Sprintf("told %s, ran %d", told[len(told)-1].told, runs)]++
			for j, w := range told[1:] {
				if first := told[j].told; first == "done" || first == "notRun" {
					is.True(w.told == first || w.told == "unknown") // what was proved stays
				}
			}
		}
	}
	is.True(count["told done, ran 1"] > 0)
	t.Log(count)
}

// fail brings failures, one after the other, until ended.
func (f *floor) fail(is *is.I, rng *rand.Rand, ended <-chan struct{}) {
	var floors []*deployment.Service
	f.floors(func(s *deployment.Service) { floors = append(floors, s) })
	failures := []service.Failure{service.CrashBefore, service.CrashDuring, service.CrashAfter, service.DropReply, service.Refuse}
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		s := floors[rng.IntN(len(floors))]
		switch rng.IntN(5) {
		case 0:
			s.StandIn.FailNext(failures[rng.IntN(len(failures))])
		case 1:
			s.Kill()
			is.NoErr(s.Restart())
		case 2:
			is.NoErr(f.store.SetOutage(true))
			time.Sleep(30 * time.Millisecond)
			is.NoErr(f.store.SetOutage(false))
		case 3:
			f.claims.lose(1+rng.IntN(3), 0)
		case 4:
			f.claims.lose(0, 1+rng.IntN(3))
		}
		is.NoErr(s.StandIn.Restart())
	}
}
