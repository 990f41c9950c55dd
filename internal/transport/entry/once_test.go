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

// network is what lies between an entry and a target process. It hands on all
// messages, and does to a Call what the test says.
type network struct {
	peerpb.UnimplementedTargetServer
	peerpb.UnimplementedExchangeServer

	address string
	target  peerpb.TargetClient
	news    peerpb.ExchangeClient
	// pass hands on a call.
	pass func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error)
	// late are the messages on their way.
	late sync.WaitGroup
	// before is called before a fence is handed on.
	before func(n *network)
}

func (n *network) Swap(ctx context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	reply, err := n.news.Swap(ctx, m)
	for _, l := range reply.GetLoads() {
		l.Address = n.address
	}
	return reply, err
}

func (n *network) Call(_ context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return n.pass(n, m)
}

func (n *network) FenceCall(ctx context.Context, m *peerpb.FenceCallRequest) (*peerpb.CallReply, error) {
	if n.before != nil {
		n.before(n)
	}
	return n.whole(n.target.FenceCall(ctx, m))
}

// arrive gives a call to the target process.
func (n *network) arrive(m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return n.whole(n.target.Call(context.Background(), m))
}

func (n *network) whole(reply *peerpb.CallReply, err error) (*peerpb.CallReply, error) {
	if l := reply.GetLoad(); l != nil {
		l.Address = n.address
	}
	return reply, err
}

func startNetwork(t *testing.T, is *is.I, n *network, to string) {
	conn, err := grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	n.target, n.news = peerpb.NewTargetClient(conn), peerpb.NewExchangeClient(conn)
	listener, err := net.Listen("tcp", anyPort)
	is.NoErr(err)
	n.address = listener.Addr().String()
	server := grpc.NewServer()
	peerpb.RegisterTargetServer(server, n)
	peerpb.RegisterExchangeServer(server, n)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		n.late.Wait()
		_ = conn.Close()
	})
}

// runProcess runs a process until the test ends.
func runProcess(t *testing.T, run func(context.Context) error, cut func() []string) {
	done := make(chan struct{})
	go func() {
		_ = run(context.Background())
		close(done)
	}()
	t.Cleanup(func() {
		cut()
		<-done
	})
}

// startOnce starts a service, the process beside it, n before that, and an
// entry; it returns the entry's base URL.
func startOnce(t *testing.T, is *is.I, n *network) (string, *service.Server) {
	clock := clockwork.NewRealClock()
	stand, err := service.Listen(anyPort, service.Options{Name: "floor"})
	is.NoErr(err)
	t.Cleanup(stand.Close)
	s := settings.Target{
		Name: "floor-1", PeerAddress: anyPort, OperatorAddress: anyPort, Place: settings.Place{Host: "h", Zone: "z", Region: "r"},
		Service: &settings.Service{Name: "floor", URL: stand.URL()},
	}
	s.SetDefaults()
	beside := target.New(s, target.Deps{Clock: clock})
	is.NoErr(beside.Listen())
	runProcess(t, beside.Run, beside.Abort)
	startNetwork(t, is, n, beside.Address())

	keys := store.New(store.Options{})
	t.Cleanup(keys.Close)
	direct := keys.Direct()
	e := settings.Entry{Name: "e", CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort, Place: s.Place}
	e.SetDefaults()
	p := entry.New(e, entry.Deps{
		Clock: clock, Current: configured(is), Seeds: func() []string { return []string{n.address} },
		Random: rand.New(rand.NewPCG(1, 1)), Store: &direct,
	})
	is.NoErr(p.Listen())
	runProcess(t, p.Run, p.Abort)
	for end := time.Now().Add(30 * time.Second); p.AvailableTargets() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the entry sees the target some time
	}
	return "http://" + p.CallerAddress(), stand
}

func configured(is *is.I) *conf.Current {
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

var errBroken = status.Error(codes.Unavailable, "the connection broke")

// TestOnceOverNetwork loses, delays and doubles the message of a call, and its
// reply.
func TestOnceOverNetwork(t *testing.T) {
	tests := []struct {
		name   string
		pass   func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error)
		before func(n *network)
		want   string
		runs   int
	}{
		{"whole", func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error) { return n.arrive(m) }, nil, "done", 1},
		{"message lost", func(*network, *peerpb.CallRequest) (*peerpb.CallReply, error) {
			return nil, errBroken
		}, nil, "notRun", 0},
		{"reply lost", func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			_, _ = n.arrive(m)
			return nil, errBroken
		}, nil, "done", 1},
		{"message arrives after the fence", func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			n.late.Go(func() {
				time.Sleep(100 * time.Millisecond)
				_, _ = n.arrive(m)
			})
			return nil, errBroken
		}, nil, "notRun", 0},
		{"message arrives before the fence", func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			n.late.Go(func() { _, _ = n.arrive(m) })
			return nil, errBroken
		}, func(n *network) { n.late.Wait() }, "done", 1},
		{"message doubled", func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			n.late.Go(func() { _, _ = n.arrive(m) })
			return n.arrive(m)
		}, nil, "done", 1},
		{"claimed for another incarnation", func(n *network, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
			m.ClaimedIncarnation--
			return n.arrive(m)
		}, nil, "notRun", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			n := &network{pass: tt.pass, before: tt.before}
			url, stand := startOnce(t, is, n)
			for range 2 {
				is.Equal(sendOrder(is, url), tt.want)
			}
			n.late.Wait()
			is.Equal(stand.RunsOfBody("part"), tt.runs)
			is.Equal(stand.RunsOfRequest(id.RequestForKey("staplerdienst", "call/floor/order")), tt.runs)
		})
	}
}
