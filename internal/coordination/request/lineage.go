package request

import (
	"crypto/rand"
	"encoding/hex"

	"foxtailward.example/foxtailward/internal/state/id"
)

// lineageBytes is the number of random bytes in a lineage.
const lineageBytes = 8

// newLineage returns a random lineage for a newly generated text.
func newLineage() id.Lineage {
	var random [lineageBytes]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(random[:])
	return id.Lineage(hex.EncodeToString(random[:]))
}
