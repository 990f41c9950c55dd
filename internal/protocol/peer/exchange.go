package peer

import (
	"encoding/json"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Units of the figures in digests.
const (
	ageUnit     = 100 * time.Millisecond
	paceUnit    = 100 * time.Microsecond
	prefillUnit = 64
)

// FromSender returns the stamp of a message.
func FromSender(s spread.Sender) *peerpb.Stamp {
	return &peerpb.Stamp{Sender: s.Name, ConfigRevision: int64(s.Revision), Incarnation: int64(s.Incarnation)}
}

// ToSender returns the sender in m.
func ToSender(m *peerpb.Stamp) spread.Sender {
	return spread.Sender{
		Name:        m.GetSender(),
		Revision:    id.Revision(m.GetConfigRevision()),
		Incarnation: id.Incarnation(m.GetIncarnation()),
	}
}

// FromUpdate returns the request for an update that is sent at now.
func FromUpdate(u *spread.Update, now time.Time) (*peerpb.ExchangeRequest, error) {
	changes, err := fromChanges(u.Changes)
	if err != nil {
		return nil, err
	}
	return &peerpb.ExchangeRequest{
		Stamp:        FromSender(u.From),
		Self:         fromSelf(u.Self, now),
		Loads:        fromLoads(u.Loads, now),
		Entries:      fromEntries(u.Entries, now),
		LoadDigests:  fromLoadDigests(u.LoadDigests, now),
		EntryDigests: fromEntryDigests(u.EntryDigests, u.From.Revision, now),
		Quarantines:  fromQuarantines(u.Quarantines, now),
		Changes:      changes,
		Wants:        fromKeys(u.Wants),
		WantConfig:   u.WantConfig,
		WantMembers:  uint32(u.WantMembers),
		WantEntries:  u.WantEntries,
	}, nil
}

// ToUpdate returns the update in a request that was received at now, if it is
// valid.
func ToUpdate(m *peerpb.ExchangeRequest, now time.Time) (*spread.Update, error) {
	u := &spread.Update{
		From:        ToSender(m.GetStamp()),
		Quarantines: toQuarantines(m.GetQuarantines(), now),
		Wants:       toKeys(m.GetWants()),
		WantConfig:  m.GetWantConfig(),
		WantMembers: int(m.GetWantMembers()),
		WantEntries: m.GetWantEntries(),
	}
	err := toMembers(u, m, now)
	return u, err
}

// FromReplyUpdate returns the reply for an update that is sent at now.
func FromReplyUpdate(u *spread.Update, now time.Time) (*peerpb.ExchangeReply, error) {
	changes, err := fromChanges(u.Changes)
	if err != nil {
		return nil, err
	}
	m := &peerpb.ExchangeReply{
		Stamp:        FromSender(u.From),
		Self:         fromSelf(u.Self, now),
		Loads:        fromLoads(u.Loads, now),
		Entries:      fromEntries(u.Entries, now),
		LoadDigests:  fromLoadDigests(u.LoadDigests, now),
		EntryDigests: fromEntryDigests(u.EntryDigests, u.From.Revision, now),
		Quarantines:  fromQuarantines(u.Quarantines, now),
		Changes:      changes,
		Wants:        fromKeys(u.Wants),
		MoreMembers:  uint32(u.MoreMembers),
		HostLeaving:  u.HostLeaving,
		KnownLoads:   fromLoads(u.KnownLoads, now),
		KnownEntries: fromEntries(u.KnownEntries, now),
	}
	if u.Snapshot != nil {
		if m.Snapshot, err = json.Marshal(u.Snapshot); err != nil {
			return nil, fault.Wrap("peer.FromReplyUpdate", Invalid, err)
		}
	}
	return m, nil
}

// ToReplyUpdate returns the update in a reply if it is valid. sent is the
// time when the request was sent; ages count from it, so that they include
// the duration of the exchange.
func ToReplyUpdate(m *peerpb.ExchangeReply, sent time.Time) (*spread.Update, error) {
	u := &spread.Update{
		From:        ToSender(m.GetStamp()),
		Quarantines: toQuarantines(m.GetQuarantines(), sent),
		Wants:       toKeys(m.GetWants()),
		MoreMembers: int(m.GetMoreMembers()),
		HostLeaving: m.GetHostLeaving(),
	}
	if len(m.GetSnapshot()) > 0 {
		snapshot, err := conf.Decode(m.GetSnapshot())
		if err != nil {
			return nil, fault.Wrap("peer.ToReplyUpdate", Invalid, err)
		}
		u.Snapshot = snapshot
	}
	var err error
	if u.KnownLoads, err = toLoads(m.GetKnownLoads(), sent); err != nil {
		return nil, err
	}
	if u.KnownEntries, err = toEntries(m.GetKnownEntries(), sent); err != nil {
		return nil, err
	}
	err = toMembers(u, m, sent)
	return u, err
}

// memberUpdate is the part of requests and replies that toMembers reads.
type memberUpdate interface {
	GetSelf() *peerpb.EntryReport
	GetLoads() []*peerpb.Load
	GetEntries() []*peerpb.EntryReport
	GetLoadDigests() *peerpb.LoadDigests
	GetEntryDigests() *peerpb.EntryDigests
	GetChanges() []*peerpb.Change
}

func toMembers(u *spread.Update, m memberUpdate, now time.Time) error {
	if m.GetSelf() != nil {
		self, err := ToEntry(m.GetSelf(), now)
		if err != nil {
			return fault.Wrap("peer.toMembers", Invalid, err)
		}
		u.Self = self
	}
	var err error
	if u.Loads, err = toLoads(m.GetLoads(), now); err != nil {
		return err
	}
	if u.Entries, err = toEntries(m.GetEntries(), now); err != nil {
		return err
	}
	if u.LoadDigests, err = toLoadDigests(m.GetLoadDigests(), now); err != nil {
		return err
	}
	if u.EntryDigests, err = toEntryDigests(m.GetEntryDigests(), u.From.Revision, now); err != nil {
		return err
	}
	u.Changes, err = toChanges(m.GetChanges())
	return err
}

func toLoads(m []*peerpb.Load, now time.Time) ([]member.TargetReport, error) {
	return toReports(m, now, ToLoad)
}

func toEntries(m []*peerpb.EntryReport, now time.Time) ([]member.EntryReport, error) {
	return toReports(m, now, ToEntry)
}

// toReports converts messages that were received at now.
func toReports[M, R any](m []*M, now time.Time, convert func(*M, time.Time) (*R, error)) ([]R, error) {
	out := make([]R, len(m))
	for i := range m {
		r, err := convert(m[i], now)
		if err != nil {
			return nil, fault.Wrap("peer.toReports", Invalid, err)
		}
		out[i] = *r
	}
	return out, nil
}

func fromSelf(r *member.EntryReport, now time.Time) *peerpb.EntryReport {
	if r == nil {
		return nil
	}
	return FromEntry(r, now)
}

func fromLoads(reports []member.TargetReport, now time.Time) []*peerpb.Load {
	out := make([]*peerpb.Load, len(reports))
	for i := range reports {
		out[i] = FromLoad(&reports[i], now)
	}
	return out
}

func fromEntries(reports []member.EntryReport, now time.Time) []*peerpb.EntryReport {
	out := make([]*peerpb.EntryReport, len(reports))
	for i := range reports {
		out[i] = FromEntry(&reports[i], now)
	}
	return out
}

func fromChanges(changes []conf.Change) ([]*peerpb.Change, error) {
	out := make([]*peerpb.Change, len(changes))
	for i := range changes {
		data, err := json.Marshal(&changes[i])
		if err != nil {
			return nil, fault.Wrap("peer.fromChanges", Invalid, err)
		}
		out[i] = &peerpb.Change{Revision: int64(changes[i].Revision), Json: data}
	}
	return out, nil
}

func toChanges(m []*peerpb.Change) ([]conf.Change, error) {
	out := make([]conf.Change, len(m))
	for i, c := range m {
		if err := json.Unmarshal(c.GetJson(), &out[i]); err != nil {
			return nil, fault.Wrap("peer.toChanges", Invalid, err)
		}
		if out[i].Revision != id.Revision(c.GetRevision()) {
			return nil, fault.New("peer.toChanges", Invalid, "change says revision %d in a message of %d", out[i].Revision, c.GetRevision())
		}
	}
	return out, nil
}

func fromQuarantines(list []spread.Quarantine, now time.Time) []*peerpb.Quarantine {
	out := make([]*peerpb.Quarantine, len(list))
	for i, q := range list {
		deaths := make([]string, len(q.Deaths))
		for j, d := range q.Deaths {
			deaths[j] = string(d)
		}
		out[i] = &peerpb.Quarantine{Fingerprint: uint64(q.Fingerprint), RemainingMs: age(now, q.Until), Deaths: deaths}
	}
	return out
}

func toQuarantines(m []*peerpb.Quarantine, now time.Time) []spread.Quarantine {
	out := make([]spread.Quarantine, len(m))
	for i, q := range m {
		out[i].Fingerprint = id.Fingerprint(q.GetFingerprint())
		out[i].Until = now.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond)
		for _, d := range q.GetDeaths() {
			out[i].Deaths = append(out[i].Deaths, id.Target(d))
		}
	}
	return out
}

func fromKeys(keys []spread.Key) []uint64 {
	out := make([]uint64, len(keys))
	for i, k := range keys {
		out[i] = uint64(k)
	}
	return out
}

func toKeys(m []uint64) []spread.Key {
	out := make([]spread.Key, len(m))
	for i, k := range m {
		out[i] = spread.Key(k)
	}
	return out
}
