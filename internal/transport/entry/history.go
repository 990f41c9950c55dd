package entry

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// history records which entries were live recently, so that an entry that becomes
// a request's home knows the previous home.
type history struct {
	self id.Entry

	mu       sync.Mutex
	lastLive map[id.Entry]liveRecord
}

// liveRecord holds when an entry started and when it was last live.
type liveRecord struct {
	started time.Time
	live    time.Time
}

func newHistory(self id.Entry) *history {
	return &history{self: self, lastLive: map[id.Entry]liveRecord{}}
}

// record records the live entries of a view.
func (h *history) record(entries []member.Entry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range entries {
		if e := &entries[i]; e.Live() {
			started := time.UnixMilli(int64(e.Report.Incarnation))
			h.lastLive[e.Report.Entry] = liveRecord{started: started, live: now}
		}
	}
}

// previousOwner returns the home of r among the entries that were live within the
// retention period and either started before it or are gone by now. It returns ""
// if there are none.
func (h *history) previousOwner(r id.Request, now time.Time, retention time.Duration) id.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var old []id.Entry
	for name, record := range h.lastLive {
		switch {
		case now.Sub(record.live) > retention:
			delete(h.lastLive, name)
		case now.Sub(record.started) > retention || now.Sub(record.live) > goneAfter:
			old = append(old, name)
		}
	}
	return id.HomeEntry(r, old)
}

// goneAfter is the time after which an entry that is no longer live counts as gone.
const goneAfter = 2 * time.Second
