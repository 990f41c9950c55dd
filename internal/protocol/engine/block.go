package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Units of the prefix cache.
const (
	// BytesPerToken is the number of bytes of prompt text per token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens per block.
	BlockTokens = 16
)

// BlockHasher computes the hashes of the prefix cache's blocks for a prompt
// and an answer. The hash of a block covers all blocks before it. The zero
// value is not usable; use NewBlockHasher.
type BlockHasher struct {
	parent uint64
	// pending holds the tokens of the block that is not yet full.
	pending [BlockTokens]uint32
	count   int
}

// NewBlockHasher returns a hasher for a model's version with an adapter. The
// hashes depend on all three, so that blocks of different weights never have
// the same hash.
func NewBlockHasher(model, version, adapter string) BlockHasher {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, version, adapter} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return BlockHasher{parent: d.Sum64()}
}

// Add adds a token of the answer. If the token fills a block, Add returns the
// hash of the block and true.
func (b *BlockHasher) Add(token uint32) (uint64, bool) {
	b.pending[b.count] = token
	b.count++
	if b.count < BlockTokens {
		return 0, false
	}
	var buf [8 + 4*BlockTokens]byte
	binary.LittleEndian.PutUint64(buf[:], b.parent)
	for i, t := range b.pending {
		binary.LittleEndian.PutUint32(buf[8+4*i:], t)
	}
	b.parent, b.count = xxhash.Sum64(buf[:]), 0
	return b.parent, true
}

// AddPrompt adds a complete prompt and appends the hashes of the blocks that
// it filled to hashes.
func (b *BlockHasher) AddPrompt(hashes []uint64, prompt string) []uint64 {
	for len(prompt) > 0 {
		var unit [BytesPerToken]byte
		prompt = prompt[copy(unit[:], prompt):]
		if hash, full := b.Add(binary.LittleEndian.Uint32(unit[:])); full {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// PromptTokens returns the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}
