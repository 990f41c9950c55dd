package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/contract"
)

const usageContractKey = `Generate a key, and print it and its hash.

Give the key to the customer and add the hash to the contract's keys. The key
itself is not stored and cannot be shown again.`

// keyBytes is the number of random bytes in a key.
const keyBytes = 32

// generatedKey is a new key and its hash.
type generatedKey struct {
	Key  string           `json:"key"`
	Hash contract.KeyHash `json:"hash"`
}

func newContractKey(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Generate a key, and print it and its hash",
		Long:  usageContractKey,
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var random [keyBytes]byte
			// crypto/rand.Read never fails since Go 1.24.
			_, _ = rand.Read(random[:])
			k := generatedKey{Key: "fxw-" + base64.RawURLEncoding.EncodeToString(random[:])}
			k.Hash = contract.HashKey(k.Key)
			return o.print(cmd.OutOrStdout(), &k, func(w io.Writer) {
				fmt.Fprintf(w, "key\t%s\nhash\t%s\n", k.Key, k.Hash)
			})
		},
	}
}
