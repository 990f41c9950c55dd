package conffile_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"foxtailward.example/foxtailward/internal/state/conffile"
)

// FuzzDecodeContract checks that every error names the file, and that a valid
// contract is unchanged after it is encoded and decoded.
func FuzzDecodeContract(f *testing.F) {
	f.Add(contractHead)
	f.Add(contractHead + "[limits]\nconcurrency = 0\n")
	f.Add(contractHead + "[[services]]\nname = \"orders\"\n[[services]]\nnam = 1\n")
	f.Add("[limits]\n[limits]\n")
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		c, err := conffile.DecodeContract("f.toml", []byte(text))
		if err != nil {
			is.True(strings.HasPrefix(eris.Cause(err).Error(), "f.toml:"))
			return
		}
		data, err := conffile.EncodeContract(c, 3)
		is.NoErr(err)
		again, err := conffile.DecodeContract("f.toml", data)
		is.NoErr(err)
		second, err := conffile.EncodeContract(again, 3)
		is.NoErr(err)
		is.Equal(string(second), string(data))
	})
}
