package engine_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/protocol/engine"
)

func TestBlocks(t *testing.T) {
	is := is.New(t)
	prompt := strings.Repeat("abcd", 3*engine.BlockTokens) + "rest"
	hasher := engine.NewBlockHasher("report", "v1", "")
	hashes := hasher.AddPrompt(nil, prompt)
	is.Equal(len(hashes), 3)
	is.True(hashes[0] != hashes[1]) // a block's hash covers the blocks before it

	other := engine.NewBlockHasher("report", "v2", "")
	is.True(other.AddPrompt(nil, prompt)[0] != hashes[0])

	filled := 0
	for token := range uint32(engine.BlockTokens) {
		if _, full := hasher.Add(token); full {
			filled++
			is.Equal(token, uint32(engine.BlockTokens-2)) // "rest" is the first token of the block
		}
	}
	is.Equal(filled, 1)
	is.Equal(engine.PromptTokens("abcde"), 2)
}
