package direct

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/fault"
)

// MaxStoreCopyBytes limits the size of a StoreCopy before its compression.
const MaxStoreCopyBytes = 16 << 20

// StoreCopy holds items of the key-value service as an entry last read them. Entries
// read it from each other. It is encoded as compressed JSON, in which the value of
// each item is not encoded again.
type StoreCopy struct {
	Era   store.Era
	Items []store.Item
}

// storeCopyHead precedes the values.
type storeCopyHead struct {
	Era   store.Era    `json:"era"`
	Items []copiedItem `json:"items"`
}

type copiedItem struct {
	Key      string        `json:"key"`
	Revision int64         `json:"revision"`
	Lease    store.LeaseID `json:"lease,omitempty"`
	// Bytes is the length of the value.
	Bytes int `json:"bytes"`
}

// Encode encodes the copy.
func (c *StoreCopy) Encode() ([]byte, error) {
	const op = "StoreCopy.Encode"
	head := storeCopyHead{Era: c.Era}
	for i := range c.Items {
		item := &c.Items[i]
		head.Items = append(head.Items, copiedItem{item.Key, item.ModRevision, item.Lease, len(item.Value)})
	}
	data, err := compress(func(w io.Writer) error {
		if err := json.NewEncoder(w).Encode(head); err != nil {
			return err
		}
		for i := range c.Items {
			if _, err := w.Write(c.Items[i].Value); err != nil {
				return err
			}
		}
		return nil
	})
	return data, fault.Wrap(op, Malformed, err)
}

// DecodeStoreCopy decodes and validates a copy.
func DecodeStoreCopy(data []byte) (*StoreCopy, error) {
	const op = "direct.DecodeStoreCopy"
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	// Resetting a flate reader can't fail.
	_ = r.(flate.Resetter).Reset(bytes.NewReader(data), nil)
	plain, err := io.ReadAll(io.LimitReader(r, MaxStoreCopyBytes+1))
	if err != nil {
		return nil, fault.Wrap(op, Malformed, err)
	}
	if len(plain) > MaxStoreCopyBytes {
		return nil, fault.New(op, Malformed, "copy exceeds %d bytes", MaxStoreCopyBytes)
	}
	line, values, found := bytes.Cut(plain, []byte("\n"))
	var head storeCopyHead
	if err := json.Unmarshal(line, &head); err != nil || !found {
		return nil, fault.New(op, Malformed, "head of %d bytes: %v", len(line), err)
	}
	c := &StoreCopy{Era: head.Era}
	for _, item := range head.Items {
		if item.Bytes < 0 || item.Bytes > len(values) || item.Revision <= 0 {
			return nil, fault.New(op, Malformed, "item %q: %d of %d bytes at revision %d", item.Key, item.Bytes, len(values), item.Revision)
		}
		c.Items = append(c.Items, store.Item{Key: item.Key, Value: values[:item.Bytes:item.Bytes], ModRevision: item.Revision, Lease: item.Lease})
		values = values[item.Bytes:]
	}
	return c, nil
}
