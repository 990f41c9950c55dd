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

// claimStrategy writes a claim and reports whether it considers the claim made,
// which can be wrong.
type claimStrategy func(b *testing.B, s store.Store, txn store.Txn) (held bool)

// sendAgain sends a write again after a lost answer, like a client that goes on
// to the next endpoint.
func sendAgain(b *testing.B, s store.Store, txn store.Txn) bool {
	for {
		result, err := s.Commit(b.Context(), txn)
		if err == nil {
			return result.Succeeded
		}
	}
}

// takeAsNotRun assumes that a write with a lost answer had no effect.
func takeAsNotRun(b *testing.B, s store.Store, txn store.Txn) bool {
	result, err := s.Commit(b.Context(), txn)
	return err == nil && result.Succeeded
}

// readBack reads the key after a lost answer, as documented for store.Unknown.
func readBack(b *testing.B, s store.Store, txn store.Txn) bool {
	result, err := s.Commit(b.Context(), txn)
	if !fault.Is(err, store.Unknown) {
		return err == nil && result.Succeeded
	}
	item, err := s.Get(b.Context(), txn.Puts[0].Key)
	return err == nil && string(item.Value) == string(txn.Puts[0].Value)
}

// seal reads the key after a lost answer. If the key does not exist, seal creates
// it with the value givenUp, so that the compare of a claim that is still in
// flight fails.
func seal(b *testing.B, s store.Store, txn store.Txn) bool {
	if readBack(b, s, txn) {
		return true
	}
	key := txn.Puts[0].Key
	result, err := s.Commit(b.Context(), create(key, givenUp))
	is.New(b).NoErr(err)
	return !result.Succeeded && string(result.Current[0].Value) == string(txn.Puts[0].Value)
}

// givenUp is the value of a key whose claim was abandoned.
const givenUp = "given up"

// BenchmarkLostAnswers makes claims. One answer in ten is lost, one request in ten
// is lost, and one write in ten is delayed until the strategy has returned its
// result. It counts the claims for which that result was wrong.
func BenchmarkLostAnswers(b *testing.B) {
	strategies := []struct {
		name  string
		claim claimStrategy
	}{{"sendAgain", sendAgain}, {"takeAsNotRun", takeAsNotRun}, {"readBack", readBack}, {"seal", seal}}
	for _, strategy := range strategies {
		b.Run(strategy.name, func(b *testing.B) {
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
				held := strategy.claim(b, s, create(key, "mine"))
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
