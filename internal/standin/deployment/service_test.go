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

// limit is above what the tests send, both as requests per second and as concurrent
// requests. An entry still refuses a sudden burst until its share of the limit has
// grown.
const limit = 1_000_000

// orderDeployment is a deployment with two kinds of services: "floor" takes
// orders, whose calls run at most once, and "kiosk" takes repeatable calls.
type orderDeployment struct {
	*deployment.Deployment
	t           *testing.T
	store       *store.Service
	claimFaults claimFaults
}

// claimFaults counts the writes of claims to the key-value service and drops some
// of them. The faults of store.Service can't be used for this, as they would also
// hit other writes.
type claimFaults struct {
	mu    sync.Mutex
	count int
	// dropResponses and dropRequests are the numbers of writes that are still to be
	// dropped after and before they take effect.
	dropResponses, dropRequests int
}

func (c *claimFaults) next() (dropResponse, dropRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	dropResponse, dropRequest = c.dropResponses > 0, c.dropRequests > 0
	c.dropResponses, c.dropRequests = max(0, c.dropResponses-1), max(0, c.dropRequests-1)
	return dropResponse, dropRequest
}

// drop sets how many of the next writes of claims lose their response and how many
// lose their request.
func (c *claimFaults) drop(responses, requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropResponses, c.dropRequests = responses, requests
}

func (c *claimFaults) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// wrap returns commit with these faults.
func (c *claimFaults) wrap(commit claim.CommitFunc) claim.CommitFunc {
	return func(ctx context.Context, txn kv.Txn) (kv.Result, error) {
		if !strings.HasPrefix(txn.Puts[0].Key, kv.ClaimPrefix) {
			return commit(ctx, txn)
		}
		dropResponse, dropRequest := c.next()
		if dropRequest {
			return kv.Result{}, fault.New("claimFaults", kv.Unknown, "claim write dropped before it took effect")
		}
		result, err := commit(ctx, txn)
		if dropResponse && err == nil {
			return kv.Result{}, fault.New("claimFaults", kv.Unknown, "response of claim write dropped after it took effect")
		}
		return result, err
	}
}

func startOrderDeployment(t *testing.T, services, entries int) *orderDeployment {
	t.Helper()
	keyStore := store.New(store.Options{})
	t.Cleanup(keyStore.Close)
	d := &orderDeployment{t: t, store: keyStore}
	direct := keyStore.Direct()
	direct.Commit = d.claimFaults.wrap(direct.Commit)
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
	d.Deployment = start(t, opts)
	// The first claim makes the entry request a lease. An order is sent here, so that
	// the faults of the tests hit writes of claims.
	d.sendOrder(0, "warm", "warm")
	return d
}

// callOutcome is the outcome of a call as reported to its caller: done, notRun,
// unknown or failed.
type callOutcome struct {
	outcome    string
	cause      string
	detail     string
	result     string
	retryAfter string
	id         id.Request
}

// send sends a call through an entry. It uses a new connection, because net/http
// may resend a request on a reused connection.
func send(url, serviceName, key, body string) (callOutcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/"+serviceName+"/orders", strings.NewReader(body))
	if err != nil {
		return callOutcome{}, err
	}
	r.Close = true
	r.Header.Set("Authorization", "Bearer dev-staplerdienst")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return callOutcome{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return callOutcome{}, err
	}
	var message struct{ Outcome, Cause, Detail, Result string }
	err = json.Unmarshal(data, &message)
	o := callOutcome{
		outcome: message.Outcome, cause: message.Cause, detail: message.Detail, result: message.Result,
		retryAfter: resp.Header.Get("Retry-After"), id: id.Request(resp.Header.Get("Foxtailward-Request")),
	}
	if resp.StatusCode == http.StatusOK {
		o.outcome = "done"
	}
	return o, err
}

// sendOrder sends an order through an entry and returns the reported outcome. The
// outcome of a broken connection is unknown.
func (d *orderDeployment) sendOrder(entry int, key, body string) callOutcome {
	d.t.Helper()
	o, err := send(d.Entries[entry].URL(), "floor", key, body)
	if err != nil {
		return callOutcome{outcome: "unknown", detail: err.Error()}
	}
	return o
}

// homeEntry returns the index of the entry that owns a key.
func (d *orderDeployment) homeEntry(key string) int {
	var names []id.Entry
	for i := range d.Entries {
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

func (d *orderDeployment) runCount(body string) int {
	n := 0
	for _, s := range d.Services {
		n += s.StandIn.RunsOfBody(body)
	}
	return n
}

// waitForRun waits until a run of a call with this body has begun.
func (d *orderDeployment) waitForRun(body string) {
	d.waitUntil(func() bool { return d.runCount(body) > 0 })
}

// waitUntil waits for a condition and fails the test if it is not met within 30 s.
func (d *orderDeployment) waitUntil(condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatal("condition not met within 30 s")
		}
	}
}

// eachOrderService calls each for every service that takes orders.
func (d *orderDeployment) eachOrderService(each func(s *deployment.Service)) {
	for _, s := range d.Services {
		if strings.HasPrefix(string(s.Process.Report().Target), "floor") {
			each(s)
		}
	}
}

// restartTargets restarts the target processes of the services that take orders.
func (d *orderDeployment) restartTargets(is *is.I) {
	d.eachOrderService(func(s *deployment.Service) { is.NoErr(s.Restart()) })
}

// checkOutcomes compares the reported outcomes of one order with its number of runs.
func checkOutcomes(is *is.I, runs int, outcomes []callOutcome) {
	is.Helper()
	is.True(runs <= 1) // never twice
	for _, o := range outcomes {
		switch o.outcome {
		case "done":
			is.Equal(runs, 1)
		case "notRun":
			is.Equal(runs, 0)
		}
	}
}

const orderKey, order = "order-1", "part 17"

// failureCases are failures during an order. Each case causes the failure, sends
// the order and returns the outcome reported to the first caller.
var failureCases = []struct {
	name string
	run  func(d *orderDeployment, is *is.I) callOutcome
	// want is the outcome reported to callers who repeat the order with the same
	// key; empty accepts any.
	want string
}{
	{"no failure", func(d *orderDeployment, _ *is.I) callOutcome { return d.sendOrder(0, orderKey, order) }, "done"},
	{"service crashes before", func(d *orderDeployment, _ *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.FailNext(service.CrashBefore) })
		return d.sendOrder(0, orderKey, order)
	}, "unknown"},
	{"service crashes during", func(d *orderDeployment, _ *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.FailNext(service.CrashDuring) })
		return d.sendOrder(0, orderKey, order)
	}, "unknown"},
	{"service crashes after", func(d *orderDeployment, _ *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.FailNext(service.CrashAfter) })
		return d.sendOrder(0, orderKey, order)
	}, "unknown"},
	{"service's reply dropped", func(d *orderDeployment, _ *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.FailNext(service.DropReply) })
		return d.sendOrder(0, orderKey, order)
	}, "unknown"},
	{"service refuses connections", func(d *orderDeployment, _ *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.Crash() })
		return d.sendOrder(0, orderKey, order)
	}, "notRun"},
	{"target processes killed before", func(d *orderDeployment, is *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.Kill() })
		o := d.sendOrder(0, orderKey, order)
		d.restartTargets(is)
		return o
	}, "notRun"},
	{"target processes killed during", func(d *orderDeployment, is *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.SetCallDuration(300 * time.Millisecond) })
		result := make(chan callOutcome)
		go func() { result <- d.sendOrder(0, orderKey, order) }()
		d.waitForRun(order)
		d.eachOrderService(func(s *deployment.Service) { s.Kill() })
		o := <-result
		d.restartTargets(is)
		return o
	}, "unknown"},
	{"target processes killed after", func(d *orderDeployment, is *is.I) callOutcome {
		o := d.sendOrder(0, orderKey, order)
		d.eachOrderService(func(s *deployment.Service) { s.Kill() })
		d.restartTargets(is)
		return o
	}, "done"},
	{"entry killed before its claim", func(d *orderDeployment, _ *is.I) callOutcome {
		d.store.SetHang(true)
		before := d.claimFaults.writeCount()
		return d.killOwner(func() { d.waitUntil(func() bool { return d.claimFaults.writeCount() > before }) },
			func() { d.store.SetHang(false) })
	}, ""},
	{"entry killed between its claim and its call", func(d *orderDeployment, is *is.I) callOutcome {
		d.writeAbandonedClaim(is)
		return callOutcome{outcome: "unknown"}
	}, "notRun"},
	{"entry killed after its call", func(d *orderDeployment, _ *is.I) callOutcome {
		d.eachOrderService(func(s *deployment.Service) { s.StandIn.SetCallDuration(4 * time.Second) })
		return d.killOwner(func() { d.waitForRun(order) }, func() {})
	}, "done"},
	{"claim applied and its response dropped", func(d *orderDeployment, _ *is.I) callOutcome {
		d.claimFaults.drop(1, 0)
		return d.sendOrder(0, orderKey, order)
	}, "done"},
	{"claim request dropped", func(d *orderDeployment, _ *is.I) callOutcome {
		d.claimFaults.drop(0, 1)
		return d.sendOrder(0, orderKey, order)
	}, "done"},
	{"store down", func(d *orderDeployment, is *is.I) callOutcome {
		is.NoErr(d.store.SetOutage(true))
		o := d.sendOrder(0, orderKey, order)
		is.Equal(o.outcome, "unknown")
		is.Equal(o.cause, "storeDown")
		is.True(o.retryAfter != "")
		is.Equal(d.runCount(order), 0)
		is.NoErr(d.store.SetOutage(false))
		// The entry requests a lease again after a pause.
		return o
	}, "done"},
	{"store's leases expired", func(d *orderDeployment, _ *is.I) callOutcome {
		d.store.ExpireLeases()
		return d.sendOrder(0, orderKey, order)
	}, "done"},
}

// killOwner sends the order to its home entry, calls ready, which waits for the moment
// of the failure, kills the entry, and calls after.
func (d *orderDeployment) killOwner(ready, after func()) callOutcome {
	home := d.homeEntry(orderKey)
	result := make(chan callOutcome)
	go func() { result <- d.sendOrder(home, orderKey, order) }()
	ready()
	killed := make(chan struct{})
	go func() {
		d.Entries[home].Kill()
		close(killed)
	}()
	<-killed
	after()
	return <-result
}

// writeAbandonedClaim writes the claim of an entry that ended before it sent the call.
func (d *orderDeployment) writeAbandonedClaim(is *is.I) {
	r := claim.Record{Claim: claim.Claim{
		Request: id.RequestForKey("staplerdienst", "call/floor/"+orderKey), Owner: "entry-gone", Nonce: 1, State: claim.Claimed,
		Target: d.Services[0].Process.Report().Target, Incarnation: d.Services[0].Process.Incarnation(),
	}}
	direct := d.store.Direct()
	result, err := direct.Commit(d.t.Context(), kv.Txn{Puts: []kv.Put{{Key: r.Key(), Value: r.Encode()}}})
	is.NoErr(err)
	is.True(result.Succeeded)
}

// Tests that an order runs at most once under each failure. After the failure the
// caller repeats the order with the same key through all remaining entries, and the
// reported outcomes must agree with the number of runs.
func TestOrderRunsOnce(t *testing.T) {
	for _, tt := range failureCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startOrderDeployment(t, 2, 3)
			outcomes := []callOutcome{tt.run(d, is)}
			var last callOutcome
			for i := range d.Entries {
				last = d.sendOrder(i, orderKey, order)
				outcomes = append(outcomes, last)
			}
			checkOutcomes(is, d.runCount(order), outcomes)
			is.True(tt.want == "" || last.outcome == tt.want)
			t.Logf("%d runs, outcome at first %s, at last %s: %s", d.runCount(order), outcomes[0].outcome, last.outcome, last.detail)
		})
	}
}

// Tests that an order that is sent through all entries concurrently, and once more
// after its end, runs once and has the same result for all callers. Another body
// under the same key must be refused.
func TestOrderSentConcurrently(t *testing.T) {
	is := is.New(t)
	d := startOrderDeployment(t, 2, 3)
	var mu sync.Mutex
	var outcomes []callOutcome
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			o := d.sendOrder(i%3, orderKey, order)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wait.Wait()
	outcomes = append(outcomes, d.sendOrder(1, orderKey, order))
	is.Equal(d.runCount(order), 1)
	for _, o := range outcomes {
		is.Equal(o.outcome, "done")
		is.Equal(o.result, service.ExpectedResult(http.MethodPost, "/orders", order))
	}
	other := d.sendOrder(2, orderKey, "another part")
	is.Equal(other.cause, "conflict")
	is.Equal(d.runCount("another part"), 0)
}

// Tests that running orders finish, each once, when an entry and a target are
// drained.
func TestOrdersFinishDuringDrain(t *testing.T) {
	is := is.New(t)
	d := startOrderDeployment(t, 2, 3)
	d.eachOrderService(func(s *deployment.Service) { s.StandIn.SetCallDuration(time.Second) })
	var wait sync.WaitGroup
	for i := range 12 {
		body := fmt.Sprint("part ", i)
		wait.Go(func() {
			o := d.sendOrder(i%3, fmt.Sprint("order-", i), body)
			is.Equal(o.outcome+o.detail, "done")
		})
	}
	for i := range 12 {
		d.waitForRun(fmt.Sprint("part ", i))
	}
	wait.Go(func() { is.NoErr(d.Entries[0].Stop()) })
	wait.Go(func() { is.NoErr(d.Services[0].Stop()) })
	wait.Wait()
	for i := range 12 {
		is.Equal(d.runCount(fmt.Sprint("part ", i)), 1)
	}
	is.Equal(d.sendOrder(1, "after", "after").outcome, "done")
}

// Tests calls that need no claim, while the key-value service is down: a repeatable
// call whose reply was dropped is sent to another target, and an order without a
// key runs.
func TestCallsWithoutClaim(t *testing.T) {
	is := is.New(t)
	d := startOrderDeployment(t, 2, 2)
	is.NoErr(d.store.SetOutage(true))
	kiosk := d.Services[1]
	for _, formKey := range []string{"", "form"} {
		kiosk.StandIn.FailNext(service.DropReply)
		body := ""
		for i := 0; kiosk.StandIn.RunsOfBody(body) == 0; i++ {
			is.True(i < 100) // routing must choose the target at some point
			body = fmt.Sprint("flat ", formKey, i)
			o, err := send(d.Entries[i%2].URL(), "kiosk", keyOf(formKey, i), body)
			is.NoErr(err)
			is.Equal(o.outcome, "done")
		}
		is.Equal(d.runCount(body), 2)
	}
	is.Equal(d.sendOrder(0, "", order).outcome, "done")
	is.Equal(d.runCount(order), 1)
}

// keyOf appends a number to a key; calls without a key stay without one.
func keyOf(name string, i int) string {
	if name == "" {
		return ""
	}
	return fmt.Sprint(name, i)
}

// Tests that 200 concurrent orders run once each and that their claims share writes.
// A caller whose outcome is notRun sends its order again under a new key.
func TestManyOrders(t *testing.T) {
	is := is.New(t)
	d := startOrderDeployment(t, 2, 2)
	d.store.SetLatency(5 * time.Millisecond)
	before := d.claimFaults.writeCount()
	const orders = 200
	sent := make([]int, orders)
	var wait sync.WaitGroup
	for i := range orders {
		wait.Go(func() {
			for outcome := ""; outcome != "done" && sent[i] < 100; sent[i]++ {
				name := fmt.Sprint("order-", i, "-", sent[i])
				outcome = d.sendOrder(i%2, name, name).outcome
				is.True(outcome == "done" || outcome == "notRun")
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
			is.Equal(d.runCount(fmt.Sprint("order-", i, "-", n)), runs)
		}
		claims += sent[i]
	}
	writes := d.claimFaults.writeCount() - before
	t.Logf("%d orders, %d claims of which %d were refused, %d writes", orders, claims, claims-orders, writes)
	is.True(writes < claims) // without batching an order takes two writes and a refusal one
}

// Tests that orders run at most once, and that reported outcomes agree with the
// runs and don't change, while orders are repeated through random entries, services
// fail, target processes restart, and the key-value service is down or loses writes.
func TestOrdersUnderFailures(t *testing.T) {
	is := is.New(t)
	d := startOrderDeployment(t, 3, 3)
	d.eachOrderService(func(s *deployment.Service) { s.StandIn.SetCallDuration(5 * time.Millisecond) })
	const callers, sends = 150, 12
	outcomes := make([]map[string][]callOutcome, callers)
	var wait sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(11, uint64(i)))
		outcomes[i] = map[string][]callOutcome{}
		wait.Go(func() {
			key := fmt.Sprint("order-", i)
			for range sends {
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
				o := d.sendOrder(rng.IntN(3), key, key)
				outcomes[i][key] = append(outcomes[i][key], o)
				if o.outcome == "notRun" && rng.IntN(2) == 0 {
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
	d.injectFailures(is, rand.New(rand.NewPCG(11, 0)), ended)
	count := map[string]int{}
	for _, orders := range outcomes {
		for body, callOutcomes := range orders {
			runs := d.runCount(body)
			checkOutcomes(is, runs, callOutcomes)
			count[fmt.Sprintf("outcome %s, ran %d", callOutcomes[len(callOutcomes)-1].outcome, runs)]++
			for j, o := range callOutcomes[1:] {
				if first := callOutcomes[j].outcome; first == "done" || first == "notRun" {
					is.True(o.outcome == first || o.outcome == "unknown") // a definite outcome never changes
				}
			}
		}
	}
	is.True(count["outcome done, ran 1"] > 0)
	t.Log(count)
}

// injectFailures causes random failures one after the other until ended is closed.
func (d *orderDeployment) injectFailures(is *is.I, rng *rand.Rand, ended <-chan struct{}) {
	var orderServices []*deployment.Service
	d.eachOrderService(func(s *deployment.Service) { orderServices = append(orderServices, s) })
	failures := []service.Failure{service.CrashBefore, service.CrashDuring, service.CrashAfter, service.DropReply, service.Refuse}
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		s := orderServices[rng.IntN(len(orderServices))]
		switch rng.IntN(5) {
		case 0:
			s.StandIn.FailNext(failures[rng.IntN(len(failures))])
		case 1:
			s.Kill()
			is.NoErr(s.Restart())
		case 2:
			is.NoErr(d.store.SetOutage(true))
			time.Sleep(30 * time.Millisecond)
			is.NoErr(d.store.SetOutage(false))
		case 3:
			d.claimFaults.drop(1+rng.IntN(3), 0)
		case 4:
			d.claimFaults.drop(0, 1+rng.IntN(3))
		}
		is.NoErr(s.StandIn.Restart())
	}
}
