package etcd_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	standin "foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// claimWay makes a claim and says whether it holds.
type claimWay func(b *testing.B, s store.Store, txn store.Txn) (held bool)

// sendAgain sends a write whose answer was lost again, as a client that tries
// the next endpoint does.
func sendAgain(b *testing.B, s store.Store, txn store.Txn) bool {
	for {
		result, err := s.Commit(b.Context(), txn)
		if err == nil {
			return result.Succeeded
		}
	}
}

// takeAsNotRun takes a lost answer for a write without effect.
func takeAsNotRun(b *testing.B, s store.Store, txn store.Txn) bool {
	result, err := s.Commit(b.Context(), txn)
	return err == nil && result.Succeeded
}

// readBack reads the key after a lost answer, as the errors of Store ask for.
func readBack(b *testing.B, s store.Store, txn store.Txn) bool {
	result, err := s.Commit(b.Context(), txn)
	if !fault.Is(err, store.Unknown) {
		return err == nil && result.Succeeded
	}
	item, err := s.Get(b.Context(), txn.Puts[0].Key)
	return err == nil && string(item.Value) == string(txn.Puts[0].Value)
}

// seal reads the key after a lost answer and, when it does not exist, creates
// it as given up. A claim that is still on its way fails its own compare then.
func seal(b *testing.B, s store.Store, txn store.Txn) bool {
	if readBack(b, s, txn) {
		return true
	}
	key := txn.Puts[0].Key
	result, err := s.Commit(b.Context(), create(key, givenUp))
	is.New(b).NoErr(err)
	return !result.Succeeded && string(result.Current[0].Value) == string(txn.Puts[0].Value)
}

// givenUp is the value of a key whose claim was given up.
const givenUp = "given up"

// BenchmarkLostAnswers makes claims while one answer in ten is lost, one
// request in ten, and one in ten is stuck until its maker has been told. It
// counts the claims whose maker was told wrong.
func BenchmarkLostAnswers(b *testing.B) {
	ways := []struct {
		name string
		way  claimWay
	}{{"sendAgain", sendAgain}, {"takeAsNotRun", takeAsNotRun}, {"readBack", readBack}, {"seal", seal}}
	for _, w := range ways {
		b.Run(w.name, func(b *testing.B) {
			service := standin.New(standin.Options{})
			defer service.Close()
			s := service.Direct()
			random := rand.New(rand.NewPCG(1, 2))
			wrong, claims := 0, 0
			for b.Loop() {
				switch random.IntN(10) {
				case 0:
					service.DropResponses(1)
				case 1:
					service.DropRequests(1)
				case 2:
					service.HoldWrites(1)
				}
				key := fmt.Sprintf("claim/%d", claims)
				held := w.way(b, s, create(key, "mine"))
				service.ReleaseWrites()
				item, err := s.Get(b.Context(), key)
				is.New(b).NoErr(err)
				if held != (string(item.Value) == "mine") {
					wrong++
				}
				claims++
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(wrong)*1_000/float64(claims), "wrong/1000")
			b.ReportMetric(float64(service.Calls().Txns)/float64(claims), "writes/claim")
		})
	}
}
