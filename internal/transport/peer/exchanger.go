package peer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/protocol/peer"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
)

// Timing of the exchange.
const (
	// lookEvery is the time between two looks for messages that are due.
	lookEvery = 100 * time.Millisecond
	// swapTimeout bounds one swap; member.DefaultReportLife reckons with it.
	swapTimeout = 500 * time.Millisecond
	// swapsAtOnce bounds the swaps on the way.
	swapsAtOnce = 16
)

// Exchanger swaps a process's news with other processes, as its spreader says.
type Exchanger struct {
	Spreader *spread.Spreader
	Pool     *Pool
	Clock    clockwork.Clock
	// BeforeRound is called before each look, to bring the own report up to date.
	BeforeRound func()
	// OnUpdate is called when news came in.
	OnUpdate func()
}

// Run swaps news until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	ticker := x.Clock.NewTicker(lookEvery)
	defer ticker.Stop()
	room := make(chan struct{}, swapsAtOnce)
	var swaps sync.WaitGroup
	defer swaps.Wait()
	for {
		x.BeforeRound()
		for _, m := range x.Spreader.Round(x.Clock.Now()) {
			select {
			case room <- struct{}{}:
			case <-ctx.Done():
				return
			}
			swaps.Go(func() {
				x.swap(ctx, &m)
				<-room
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Flush sends the messages that are due now and waits for their answers, so
// that urgent news is with other processes before anybody acts on it.
func (x *Exchanger) Flush(ctx context.Context) {
	x.BeforeRound()
	var swaps sync.WaitGroup
	for _, m := range x.Spreader.Round(x.Clock.Now()) {
		swaps.Go(func() { x.swap(ctx, &m) })
	}
	swaps.Wait()
}

// swap sends one message and takes the answer.
func (x *Exchanger) swap(ctx context.Context, m *spread.Message) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	reply, sent, err := x.send(ctx, m)
	if err != nil {
		x.Spreader.HandleFailure(m.To, x.Clock.Now())
		return
	}
	x.Spreader.HandleReply(m.To, *reply, sent)
	x.OnUpdate()
}

func (x *Exchanger) send(ctx context.Context, m *spread.Message) (*spread.Update, time.Time, error) {
	sent := x.Clock.Now()
	conn, err := x.Pool.Conn(m.To.Address)
	if err != nil {
		return nil, sent, err
	}
	news, err := peer.FromUpdate(&m.Update, sent)
	if err != nil {
		return nil, sent, err
	}
	reply, err := peerpb.NewExchangeClient(conn).Swap(ctx, news)
	if err != nil {
		return nil, sent, err
	}
	back, err := peer.ToReplyUpdate(reply, sent)
	return back, sent, err
}

// Serve answers another process's swap.
func (x *Exchanger) Serve(_ context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := x.Clock.Now()
	news, err := peer.ToUpdate(m, now)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := x.Spreader.Receive(*news, now)
	x.OnUpdate()
	return peer.FromReplyUpdate(&reply, now)
}
