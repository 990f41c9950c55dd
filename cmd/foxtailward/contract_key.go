package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/contract"
)

const usageContractKey = `Print a fresh key once, and its hash.

Give the key to the customer and write the hash into the contract's keys. The
key itself is kept nowhere and cannot be shown again.`

// keyBytes is the length of a key's random part.
const keyBytes = 32

// freshKey is a new key with its hash.
type freshKey struct {
	Key  string           `json:"key"`
	Hash contract.KeyHash `json:"hash"`
}

func newContractKey(o *cli) *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Print a fresh key once, and its hash",
		Long:  usageContractKey,
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var random [keyBytes]byte
			// crypto/rand.Read never fails since Go 1.24.
			_, _ = rand.Read(random[:])
			k := freshKey{Key: "fxw-" + base64.RawURLEncoding.EncodeToString(random[:])}
			k.Hash = contract.HashKey(k.Key)
			return o.print(cmd.OutOrStdout(), &k, func(w io.Writer) {
				fmt.Fprintf(w, "key\t%s\nhash\t%s\n", k.Key, k.Hash)
			})
		},
	}
}
