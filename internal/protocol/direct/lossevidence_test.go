package direct_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/protocol/direct"
)

// TestLossEvidence checks that what showed a loss is told, and that its absence means that
// nothing is known, as in the messages of earlier builds.
func TestLossEvidence(t *testing.T) {
	for _, evidence := range []balance.Evidence{balance.Untyped, balance.Connection} {
		is := is.New(t)
		u := direct.PeerUpdate{From: "e", Address: "10.0.0.1:7200", Losses: []direct.Loss{{Target: "t", Evidence: evidence}}}
		loss, err := json.Marshal(u.Losses[0])
		is.NoErr(err)
		is.Equal(strings.Contains(string(loss), "evidence"), evidence != balance.Untyped)
		data, _, err := u.Encode()
		is.NoErr(err)
		decoded, err := direct.DecodePeerUpdate(data)
		is.NoErr(err)
		is.Equal(decoded.Losses[0].Evidence, evidence)
	}
}
