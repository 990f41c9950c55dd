package peer

import (
	"time"

	"foxtailward.example/foxtailward/internal/coordination/spread"
	"foxtailward.example/foxtailward/internal/protocol/peer/peerpb"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// ageUnits returns the age in units of ageUnit. It rounds up so that
// forwarding never makes a report appear younger.
func ageUnits(at, now time.Time) uint32 {
	return uint32((max(0, now.Sub(at)) + ageUnit - 1) / ageUnit)
}

func fromLoadDigests(list []spread.LoadDigest, now time.Time) *peerpb.LoadDigests {
	if len(list) == 0 {
		return nil
	}
	m := &peerpb.LoadDigests{}
	for i := range list {
		d := &list[i]
		m.Keys = append(m.Keys, uint64(d.Key))
		m.Sequences = append(m.Sequences, uint32(d.Sequence))
		m.Ages_100Ms = append(m.Ages_100Ms, ageUnits(d.At, now))
		m.Running = append(m.Running, uint32(d.Running))
		m.Queued = append(m.Queued, uint32(d.Queued))
		m.ShortRunning = append(m.ShortRunning, uint32(d.ShortRunning))
		m.Pace_100Us = append(m.Pace_100Us, uint32(d.Pace/paceUnit))
		m.QueuedPrefill_64 = append(m.QueuedPrefill_64, uint32((d.QueuedPrefill+prefillUnit-1)/prefillUnit))
	}
	return m
}

func toLoadDigests(m *peerpb.LoadDigests, now time.Time) ([]spread.LoadDigest, error) {
	n := len(m.GetKeys())
	for _, field := range [][]uint32{m.GetSequences(), m.GetAges_100Ms(), m.GetRunning(), m.GetQueued(),
		m.GetShortRunning(), m.GetPace_100Us(), m.GetQueuedPrefill_64()} {
		if len(field) != n {
			return nil, fault.New("peer.toLoadDigests", Invalid, "a field has %d values for %d keys", len(field), n)
		}
	}
	out := make([]spread.LoadDigest, n)
	for i := range out {
		out[i] = spread.LoadDigest{
			Key:           spread.Key(m.Keys[i]),
			Sequence:      id.Sequence(m.Sequences[i]),
			At:            now.Add(-time.Duration(m.Ages_100Ms[i]) * ageUnit),
			Running:       int(m.Running[i]),
			Queued:        int(m.Queued[i]),
			ShortRunning:  int(m.ShortRunning[i]),
			Pace:          time.Duration(m.Pace_100Us[i]) * paceUnit,
			QueuedPrefill: int(m.QueuedPrefill_64[i]) * prefillUnit,
		}
	}
	return out, nil
}

func fromEntryDigests(list []spread.EntryDigest, revision id.Revision, now time.Time) *peerpb.EntryDigests {
	if len(list) == 0 {
		return nil
	}
	m := &peerpb.EntryDigests{}
	for i := range list {
		m.Keys = append(m.Keys, uint64(list[i].Key))
		m.Sequences = append(m.Sequences, uint32(list[i].Sequence))
		m.Ages_100Ms = append(m.Ages_100Ms, ageUnits(list[i].At, now))
		m.Behind = append(m.Behind, uint32(max(0, revision-list[i].Revision)))
	}
	return m
}

func toEntryDigests(m *peerpb.EntryDigests, revision id.Revision, now time.Time) ([]spread.EntryDigest, error) {
	n := len(m.GetKeys())
	if len(m.GetSequences()) != n || len(m.GetAges_100Ms()) != n || len(m.GetBehind()) != n {
		return nil, fault.New("peer.toEntryDigests", Invalid, "a field does not have %d values", n)
	}
	out := make([]spread.EntryDigest, n)
	for i := range out {
		out[i] = spread.EntryDigest{
			Key:      spread.Key(m.Keys[i]),
			Sequence: id.Sequence(m.Sequences[i]),
			At:       now.Add(-time.Duration(m.Ages_100Ms[i]) * ageUnit),
			Revision: max(0, revision-id.Revision(m.Behind[i])),
		}
	}
	return out, nil
}
