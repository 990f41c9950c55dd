package request

import (
	"crypto/rand"
	"encoding/hex"

	"foxtailward.example/foxtailward/internal/state/id"
)

// lineageBytes is the length of a lineage's random part.
const lineageBytes = 8

// newLineage names a new generation.
func newLineage() id.Lineage {
	var random [lineageBytes]byte
	// crypto/rand.Read never fails since Go 1.24.
	_, _ = rand.Read(random[:])
	return id.Lineage(hex.EncodeToString(random[:]))
}
