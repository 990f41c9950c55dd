package entry_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/standin/service"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/settings"
	"foxtailward.example/foxtailward/internal/transport/entry"
	"foxtailward.example/foxtailward/internal/transport/target"
)

const anyPort = "127.0.0.1:0"

// faultProxy is a proxy between an entry and a target process. It forwards all
// messages, but handles a Call as the test requires.
type faultProxy struct {
	peerpb.UnimplementedTargetServer
	peerpb.UnimplementedExchangeServer

	address        string
	targetClient   peerpb.TargetClient
	exchangeClient peerpb.ExchangeClient
	// onCall handles a call.
	onCall func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error)
	// delayed counts the messages that are still to be forwarded.
	delayed sync.WaitGroup
	// beforeFence is called before a fence is forwarded.
	beforeFence func(proxy *faultProxy)
}

func (proxy *faultProxy) Swap(ctx context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	reply, err := proxy.exchangeClient.Swap(ctx, m)
	for _, l := range reply.GetLoads() {
		l.Address = proxy.address
	}
	return reply, err
}

func (proxy *faultProxy) Call(_ context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return proxy.onCall(proxy, m)
}

func (proxy *faultProxy) FenceCall(ctx context.Context, m *peerpb.FenceCallRequest) (*peerpb.CallReply, error) {
	if proxy.beforeFence != nil {
		proxy.beforeFence(proxy)
	}
	return proxy.replaceAddress(proxy.targetClient.FenceCall(ctx, m))
}

// forward sends a call to the target process.
func (proxy *faultProxy) forward(m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return proxy.replaceAddress(proxy.targetClient.Call(context.Background(), m))
}

// replaceAddress replaces the target's address in a reply by the proxy's.
func (proxy *faultProxy) replaceAddress(reply *peerpb.CallReply, err error) (*peerpb.CallReply, error) {
	if l := reply.GetLoad(); l != nil {
		l.Address = proxy.address
	}
	return reply, err
}

func startProxy(t *testing.T, is *is.I, proxy *faultProxy, to string) {
	conn, err := grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	proxy.targetClient, proxy.exchangeClient = peerpb.NewTargetClient(conn), peerpb.NewExchangeClient(conn)
	listener, err := net.Listen("tcp", anyPort)
	is.NoErr(err)
	proxy.address = listener.Addr().String()
	server := grpc.NewServer()
	peerpb.RegisterTargetServer(server, proxy)
	peerpb.RegisterExchangeServer(server, proxy)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		proxy.delayed.Wait()
		_ = conn.Close()
	})
}

// runProcess runs a process until the test ends.
func runProcess(t *testing.T, run func(context.Context) error, abort func() []string) {
	done := make(chan struct{})
	go func() {
		_ = run(context.Background())
		close(done)
	}()
	t.Cleanup(func() {
		abort()
		<-done
	})
}

// startEntry starts a service, its target process, the proxy in front of that,
// and an entry. It returns the entry's base URL and the service.
func startEntry(t *testing.T, is *is.I, proxy *faultProxy) (string, *service.Server) {
	clock := clockwork.NewRealClock()
	svc, err := service.Listen(anyPort, service.Options{Name: "floor"})
	is.NoErr(err)
	t.Cleanup(svc.Close)
	s := settings.Target{
		Name: "floor-1", PeerAddress: anyPort, OperatorAddress: anyPort, Place: settings.Place{Host: "h", Zone: "z", Region: "r"},
		Service: &settings.Service{Name: "floor", URL: svc.URL()},
	}
	s.SetDefaults()
	process := target.New(s, target.Deps{Clock: clock})
	is.NoErr(process.Listen())
	runProcess(t, process.Run, process.Abort)
	startProxy(t, is, proxy, process.Address())

	keys := store.New(store.Options{})
	t.Cleanup(keys.Close)
	direct := keys.Direct()
	e := settings.Entry{Name: "e", CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort, Place: s.Place}
	e.SetDefaults()
	p := entry.New(e, entry.Deps{
		Clock: clock, Current: newConfig(is), Seeds: func() []string { return []string{proxy.address} },
		Random: rand.New(rand.NewPCG(1, 1)), Store: &direct,
	})
	is.NoErr(p.Listen())
	runProcess(t, p.Run, p.Abort)
	for end := time.Now().Add(30 * time.Second); p.AvailableTargets() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the entry must see the target in time
	}
	return "http://" + p.CallerAddress(), svc
}

func newConfig(is *is.I) *conf.Current {
	c := contract.Contract{
		Name: "staplerdienst", Keys: []contract.KeyHash{contract.HashKey("k")}, Services: contract.Services{{Name: "floor"}},
	}
	c.SetDefaults()
	value, err := json.Marshal(&c)
	is.NoErr(err)
	s, err := conf.Empty().Apply(conf.Change{Revision: 1, Object: conf.ContractObject, Name: "staplerdienst", Value: value, At: time.Now()})
	is.NoErr(err)
	current := conf.NewCurrent()
	current.Update(s)
	return current
}

func sendOrder(is *is.I, url string) string {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/services/floor/orders", strings.NewReader("part"))
	is.NoErr(err)
	r.Close = true
	r.Header.Set("Authorization", "Bearer k")
	r.Header.Set("Idempotency-Key", "order")
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	var message struct{ Outcome string }
	is.NoErr(json.NewDecoder(resp.Body).Decode(&message))
	if resp.StatusCode == http.StatusOK {
		return "done"
	}
	return message.Outcome
}

var errConnectionLost = status.Error(codes.Unavailable, "connection lost")

// TestAtMostOnceOverFaultyNetwork checks that a call runs at most once, and that
// its outcome is right, when its message or reply is lost, delayed or duplicated.
func TestAtMostOnceOverFaultyNetwork(t *testing.T) {
	tests := []struct {
		name        string
		onCall      func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error)
		beforeFence func(proxy *faultProxy)
		want        string
		runs        int
	}{
		{"no fault", func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error) { return proxy.forward(m) }, nil, "done", 1},
		{"message lost", func(*faultProxy, *peerpb.CallRequest) (*peerpb.CallReply, error) {
			return nil, errConnectionLost
		}, nil, "notRun", 0},
		{"reply lost", func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			_, _ = proxy.forward(m)
			return nil, errConnectionLost
		}, nil, "done", 1},
		{"message arrives after the fence", func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			proxy.delayed.Go(func() {
				time.Sleep(100 * time.Millisecond)
				_, _ = proxy.forward(m)
			})
			return nil, errConnectionLost
		}, nil, "notRun", 0},
		{"message arrives before the fence", func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			proxy.delayed.Go(func() { _, _ = proxy.forward(m) })
			return nil, errConnectionLost
		}, func(proxy *faultProxy) { proxy.delayed.Wait() }, "done", 1},
		{"message duplicated", func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			proxy.delayed.Go(func() { _, _ = proxy.forward(m) })
			return proxy.forward(m)
		}, nil, "done", 1},
		{"claimed for another incarnation", func(proxy *faultProxy, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			m.ClaimedIncarnation--
			return proxy.forward(m)
		}, nil, "notRun", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			proxy := &faultProxy{onCall: tt.onCall, beforeFence: tt.beforeFence}
			url, svc := startEntry(t, is, proxy)
			for range 2 {
				is.Equal(sendOrder(is, url), tt.want)
			}
			proxy.delayed.Wait()
			is.Equal(svc.RunsOfBody("part"), tt.runs)
			is.Equal(svc.RunsOfRequest(id.RequestForKey("staplerdienst", "call/floor/order")), tt.runs)
		})
	}
}
