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

// Timing and concurrency of the exchange.
const (
	// roundInterval is the interval at which messages are requested from the spreader
	// that are due.
	roundInterval = 100 * time.Millisecond
	// swapTimeout limits the duration of a swap. member.DefaultReportTTL leaves
	// this much time for a target's last report to arrive.
	swapTimeout = 500 * time.Millisecond
	// maxConcurrentSwaps limits the number of swaps in flight.
	maxConcurrentSwaps = 16
)

// Exchanger exchanges the updates of a process with other processes. The
// spreader decides what is sent to whom.
type Exchanger struct {
	Spreader *spread.Spreader
	Pool     *Pool
	Clock    clockwork.Clock
	// BeforeRound is called before each round to update the process's own
	// report.
	BeforeRound func()
	// OnUpdate is called after each update from another process.
	OnUpdate func()
}

// Run exchanges updates until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	ticker := x.Clock.NewTicker(roundInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentSwaps)
	var swaps sync.WaitGroup
	defer swaps.Wait()
	for {
		x.BeforeRound()
		for _, m := range x.Spreader.Round(x.Clock.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			swaps.Go(func() {
				x.swap(ctx, &m)
				<-slots
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Flush sends the messages that are due now and waits for the replies, so
// that other processes have an urgent update before this one acts on it.
func (x *Exchanger) Flush(ctx context.Context) {
	x.BeforeRound()
	var swaps sync.WaitGroup
	for _, m := range x.Spreader.Round(x.Clock.Now()) {
		swaps.Go(func() { x.swap(ctx, &m) })
	}
	swaps.Wait()
}

// swap sends one message and handles the reply.
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
	request, err := peer.FromUpdate(&m.Update, sent)
	if err != nil {
		return nil, sent, err
	}
	reply, err := peerpb.NewExchangeClient(conn).Swap(ctx, request)
	if err != nil {
		return nil, sent, err
	}
	update, err := peer.ToReplyUpdate(reply, sent)
	return update, sent, err
}

// Serve handles a swap of another process.
func (x *Exchanger) Serve(_ context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := x.Clock.Now()
	update, err := peer.ToUpdate(m, now)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := x.Spreader.Receive(*update, now)
	x.OnUpdate()
	return peer.FromReplyUpdate(&reply, now)
}
