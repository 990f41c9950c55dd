package direct

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"net/netip"
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/coordination/handover"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind is the kind of this package's errors.
type Kind string

// Malformed means that a message of another entry can't be used.
const Malformed Kind = "malformed"

// Error is this package's error.
type Error = fault.Error[Kind]

// MaxPeerUpdateBytes bounds one message of news.
const MaxPeerUpdateBytes = 60 << 10

// PeerUpdate is what an entry tells the others, again and again: the whole of it each
// time, so that a lost datagram does no harm.
type PeerUpdate struct {
	From id.Entry `json:"from"`
	// Incarnation and Sequence order the messages of an entry.
	Incarnation id.Incarnation `json:"incarnation"`
	Sequence    id.Sequence    `json:"sequence"`
	// Address is where the entry takes news, as IP:PORT.
	Address string `json:"address"`
	// Version is the configuration that is in force there; 0 for none.
	Version catalog.Version `json:"version"`
	// StopsInMS is how long the entry still finishes its work, in milliseconds; 0
	// while it serves.
	StopsInMS int64 `json:"stopsInMs,omitempty"`
	// StoreReachable says that the key-value service answers the entry.
	StoreReachable bool `json:"reachesStore,omitempty"`
	// KnownPeers holds the addresses of the other entries that it hears.
	KnownPeers []string `json:"known,omitempty"`
	// Loads is what the entry has in flight at each target.
	Loads map[id.Target]balance.Load `json:"loads,omitempty"`
	// Runs are its unfinished streams' runs that are copied elsewhere.
	Runs []handover.Run `json:"runs,omitempty"`
	// Retries is what the entry sent to each service lately, first and again.
	Retries map[id.Service]retry.Counts `json:"retries,omitempty"`
	// Losses are the targets that it lost a moment ago.
	Losses []Loss `json:"losses,omitempty"`
	// Successors are the targets that it found a moment ago at the addresses of
	// others.
	Successors []Successor `json:"successors,omitempty"`
	// Deaths are the deaths of targets that it learned of a moment ago, by the
	// requests that ran there.
	Deaths []quarantine.Record `json:"deaths,omitempty"`
}

// StopsIn returns how long the entry still finishes its work.
func (n *PeerUpdate) StopsIn() time.Duration { return time.Duration(n.StopsInMS) * time.Millisecond }

// Successor is a target that answers at the address of one that has ended.
type Successor struct {
	Target      id.Target `json:"target"`
	Predecessor id.Target `json:"of"`
}

// Loss is the loss of a target.
type Loss struct {
	Target id.Target `json:"target"`
	// Replaced says that its address answers for another target.
	Replaced bool `json:"replaced,omitempty"`
	// AgoMS is how long ago it was when the message was sent, in milliseconds.
	AgoMS int64 `json:"agoMs"`
}

// Age returns how long ago the loss was when the message was sent.
func (l *Loss) Age() time.Duration { return time.Duration(l.AgoMS) * time.Millisecond }

// Encode returns the message's bytes. One that would be too long is told without
// its deaths and runs, which matter least.
func (n *PeerUpdate) Encode() ([]byte, error) {
	const op = "News.Encode"
	data, err := n.compressed()
	if err == nil && len(data) > MaxPeerUpdateBytes {
		short := *n
		short.Runs, short.Deaths = nil, nil
		data, err = short.compressed()
	}
	if err == nil && len(data) > MaxPeerUpdateBytes {
		return nil, fault.New(op, Malformed, "%d bytes are too many for one message", len(data))
	}
	return data, fault.Wrap(op, Malformed, err)
}

// compressors are used again, since each takes much memory.
var compressors = sync.Pool{New: func() any {
	// The level is one that exists.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// compressed returns the message as compressed JSON. With many entries news is
// most of what goes between zones.
func (n *PeerUpdate) compressed() ([]byte, error) {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if err := json.NewEncoder(w).Encode(n); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// expanders are used again like the compressors.
var expanders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// maxNewsText bounds the text of a message.
const maxNewsText = 16 * MaxPeerUpdateBytes

// DecodePeerUpdate decodes a message and checks it.
func DecodePeerUpdate(data []byte) (*PeerUpdate, error) {
	const op = "direct.DecodeNews"
	n := &PeerUpdate{}
	r := expanders.Get().(io.ReadCloser)
	defer expanders.Put(r)
	// A reset of a reader of this kind can't fail.
	_ = r.(flate.Resetter).Reset(bytes.NewReader(data), nil)
	text := io.LimitReader(r, maxNewsText)
	if err := json.NewDecoder(text).Decode(n); err != nil {
		return nil, fault.Wrap(op, Malformed, err)
	}
	if _, err := netip.ParseAddrPort(n.Address); err != nil {
		return nil, fault.New(op, Malformed, "address %q: want IP:PORT", n.Address)
	}
	if n.From == "" {
		return nil, fault.New(op, Malformed, "the sender has no name")
	}
	return n, nil
}

// StoreSnapshot is what an entry knows from the key-value service, for one that can't
// reach the service: the items as they were read.
type StoreSnapshot struct {
	Config  store.Item   `json:"config"`
	Targets []store.Item `json:"targets"`
}
