package direct_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/protocol/direct"
	"foxtailward.example/foxtailward/internal/state/fault"
)

func TestStoreCopy(t *testing.T) {
	is := is.New(t)
	want := &direct.StoreCopy{Era: 3, Items: []store.Item{
		{Key: "a", Value: bytes.Repeat([]byte("route\n"), 10_000), ModRevision: 7},
		{Key: "b", Value: []byte{}, ModRevision: 8, Lease: 2},
	}}
	data, err := want.Encode()
	is.NoErr(err)
	is.True(len(data) < 1000) // it is compressed
	got, err := direct.DecodeStoreCopy(data)
	is.NoErr(err)
	is.Equal(got, want)
}

func TestDecodeStoreCopyMalformed(t *testing.T) {
	whole := &direct.StoreCopy{Items: []store.Item{{Key: "a", Value: []byte("value"), ModRevision: 1}}}
	good, err := whole.Encode()
	is.New(t).NoErr(err)
	unwritten := &direct.StoreCopy{Items: []store.Item{{Key: "a"}}}
	zeroRevision, err := unwritten.Encode()
	is.New(t).NoErr(err)
	for name, data := range map[string][]byte{
		"empty": {}, "cut": good[:len(good)-8], "other": []byte("no flate"), "no revision": zeroRevision,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := direct.DecodeStoreCopy(data)
			is.New(t).True(fault.Is(err, direct.Malformed))
		})
	}
}
