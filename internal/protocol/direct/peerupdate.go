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
	"foxtailward.example/foxtailward/internal/coordination/origin"
	"foxtailward.example/foxtailward/internal/coordination/overload"
	"foxtailward.example/foxtailward/internal/coordination/quarantine"
	"foxtailward.example/foxtailward/internal/coordination/retry"
	"foxtailward.example/foxtailward/internal/coordination/rollout"
	"foxtailward.example/foxtailward/internal/coordination/store"
	"foxtailward.example/foxtailward/internal/coordination/targetlimit"
	"foxtailward.example/foxtailward/internal/coordination/withdrawal"
	"foxtailward.example/foxtailward/internal/state/catalog"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Kind classifies the errors of this package.
type Kind string

// Malformed means that a message of another entry can't be decoded.
const Malformed Kind = "malformed"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MaxPeerUpdateBytes limits the size of an encoded PeerUpdate.
const MaxPeerUpdateBytes = 60 << 10

// PeerUpdate is the message that an entry periodically sends to the others. Each
// one contains the complete state, so that lost datagrams do no harm.
type PeerUpdate struct {
	From id.Entry `json:"from"`
	// Incarnation and Sequence order the messages of an entry.
	Incarnation id.Incarnation `json:"incarnation"`
	Sequence    id.Sequence    `json:"sequence"`
	// Address is the IP:PORT at which the entry receives updates.
	Address string `json:"address"`
	// Zone is the entry's availability zone.
	Zone id.Zone `json:"zone,omitempty"`
	// Version is the version of the entry's current configuration; 0 for none.
	Version catalog.Version `json:"version"`
	// Announcement is set if the message reports only that Version is in force, and what
	// Streams, Asks and Versions say. It says nothing about what is left out.
	Announcement bool `json:"announcement,omitempty"`
	// Notice is set if the message reports what has just changed. It says nothing about
	// KnownPeers, Runs, and the loads of targets that LoadChanges leaves out.
	Notice bool `json:"notice,omitempty"`
	// StopsInMS is the time in milliseconds until a draining entry stops; 0 if it
	// is not draining.
	StopsInMS int64 `json:"stopsInMs,omitempty"`
	// Away is set if the entry takes no new connections, because it has no room.
	Away bool `json:"away,omitempty"`
	// StoreReachable is set if the entry can reach the key-value service.
	StoreReachable bool `json:"reachesStore,omitempty"`
	// KnownPeers holds the addresses of the other entries that the sender receives
	// updates from, or some of them if there are many.
	KnownPeers []string `json:"known,omitempty"`
	// Loads is what the entry has in flight at each target.
	Loads map[id.Target]balance.Load `json:"loads,omitempty"`
	// LoadChanges is what the entry has in flight at the targets where that has changed
	// since the last message.
	LoadChanges map[id.Target]balance.Load `json:"loadChanges,omitempty"`
	// Paces are the targets' words about their pace that the entry has heard since the last
	// message.
	Paces map[id.Target]balance.PaceReport `json:"paces,omitempty"`
	// Runs are the runs of unfinished streams that are copied to another engine.
	Runs []handover.Run `json:"runs,omitempty"`
	// Retries counts the recent requests and retries to each service.
	Retries map[id.Service]retry.Counts `json:"retries,omitempty"`
	// Waiting counts the requests that wait for room at each service's targets, by rank.
	Waiting map[id.Service]map[overload.Rank]int `json:"waiting,omitempty"`
	// Losses are the targets that the entry recently lost.
	Losses []Loss `json:"losses,omitempty"`
	// Successors are the targets that the entry recently found at the addresses of
	// others.
	Successors []Successor `json:"successors,omitempty"`
	// Failures are the target failures that the entry recently observed, grouped by
	// the requests that ran there.
	Failures []quarantine.Record `json:"deaths,omitempty"`
	// Leaving are the targets that have reported to the entry that they are leaving.
	Leaving []withdrawal.Report `json:"leaving,omitempty"`
	// Limits are the limits that targets have named.
	Limits []targetlimit.Report `json:"limits,omitempty"`
	// Turns are the requests suspected of crashing targets that run at the entry, or
	// are about to.
	Turns []quarantine.Turn `json:"turns,omitempty"`
	// Streams say at which version of a target's software streams began, and Asks are the
	// attempts for which the entry requests that. Both hold whatever the order of messages.
	Streams []origin.Stream `json:"streams,omitempty"`
	Asks    []id.Request    `json:"asks,omitempty"`
	// Unheard are the attempts that the receiver has asked for and of which the sender does not know
	// where they began.
	Unheard []id.Request `json:"unheard,omitempty"`
	// TargetChanges are changes of targets' items in the key-value service, in an era of
	// it. They hold whatever the order of messages.
	TargetChanges []TargetChange `json:"targetChanges,omitempty"`
	Era           store.Era      `json:"era,omitempty"`
	// Versions are the software versions that have served recently, unless it is one alone.
	Versions *origin.Report `json:"versions,omitempty"`
	// Rollouts is what the entry knows of services whose traffic moves to another version, if
	// it serves roll-outs. A service that is not named says nothing.
	Rollouts map[id.Service]rollout.Report `json:"rollouts,omitempty"`
}

// StopsIn returns the time until a draining entry stops; 0 if it is not
// draining.
func (u *PeerUpdate) StopsIn() time.Duration { return time.Duration(u.StopsInMS) * time.Millisecond }

// TargetChange is a change of a target's item in the key-value service.
type TargetChange struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Successor is a target that answers at the address of one that has ended.
type Successor struct {
	Target      id.Target `json:"target"`
	Predecessor id.Target `json:"of"`
	// Incarnation is that of the predecessor; 0 if it is not known.
	Incarnation id.Incarnation `json:"ofIncarnation,omitempty"`
}

// Loss is the loss of a target.
type Loss struct {
	Target      id.Target      `json:"target"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	// Replaced is set if another target answers at its address.
	Replaced bool `json:"replaced,omitempty"`
	// Evidence says what showed the loss; omitted if that is not known.
	Evidence balance.Evidence `json:"evidence,omitempty"`
	// AgeMS is the age of the loss when the message was sent, in milliseconds.
	AgeMS int64 `json:"agoMs"`
}

// Of reports whether the loss is that of a target's incarnation.
func (l *Loss) Of(t *catalog.Target) bool {
	return t.Key() == id.TargetIncarnation{Target: l.Target, Incarnation: l.Incarnation}
}

// Age returns the age of the loss when the message was sent.
func (l *Loss) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Omitted counts what was left out of a message that would have been too long.
type Omitted struct {
	Runs     int
	Failures int
}

// Encode encodes the message. If it would be too long, it leaves out the runs, which
// are needed only if a client comes back to another entry, and then the last of the
// failures, which are in the order of their weight.
func (u *PeerUpdate) Encode() ([]byte, Omitted, error) {
	const op = "PeerUpdate.Encode"
	var omitted Omitted
	short := *u
	for {
		data, err := short.compressed()
		if err != nil {
			return nil, omitted, fault.Wrap(op, Malformed, err)
		}
		if len(data) <= MaxPeerUpdateBytes {
			return data, omitted, nil
		}
		if len(short.Runs)+len(short.Failures) == 0 {
			return nil, omitted, fault.New(op, Malformed, "message of %d bytes exceeds the size limit", len(data))
		}
		if len(short.Runs) > 0 {
			short.Runs = nil
		} else {
			short.Failures = short.Failures[:len(short.Failures)/2]
		}
		omitted = Omitted{len(u.Runs) - len(short.Runs), len(u.Failures) - len(short.Failures)}
	}
}

// compressors are pooled because each takes much memory.
var compressors = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// compress returns what write writes, compressed.
func compress(write func(io.Writer) error) ([]byte, error) {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if err := write(w); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// compressed returns the message as compressed JSON. With many entries, these
// messages are most of the traffic between zones.
func (u *PeerUpdate) compressed() ([]byte, error) {
	return compress(func(w io.Writer) error { return json.NewEncoder(w).Encode(u) })
}

// decompressors are pooled for the same reason as compressors.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// maxUpdateJSONBytes limits the size of a decompressed message.
const maxUpdateJSONBytes = 16 * MaxPeerUpdateBytes

// DecodePeerUpdate decodes and validates a message.
func DecodePeerUpdate(data []byte) (*PeerUpdate, error) {
	const op = "direct.DecodePeerUpdate"
	u := &PeerUpdate{}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	// Resetting a flate reader can't fail.
	_ = r.(flate.Resetter).Reset(bytes.NewReader(data), nil)
	limited := io.LimitReader(r, maxUpdateJSONBytes)
	if err := json.NewDecoder(limited).Decode(u); err != nil {
		return nil, fault.Wrap(op, Malformed, err)
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return nil, fault.New(op, Malformed, "address %q: want IP:PORT", u.Address)
	}
	if u.From == "" {
		return nil, fault.New(op, Malformed, "missing sender name")
	}
	return u, fault.Wrap(op, Malformed, u.validate())
}
