package entry

import (
	"sync"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/state/id"
)

// history remembers the entries that were live of late, so that an entry that
// becomes a request's home knows who was it before.
type history struct {
	self id.Entry

	mu   sync.Mutex
	seen map[id.Entry]sighting
}

// sighting is when an entry was live last, and when it started.
type sighting struct {
	started time.Time
	live    time.Time
}

func newHistory(self id.Entry) *history {
	return &history{self: self, seen: map[id.Entry]sighting{}}
}

// note takes over the entries of a view.
func (h *history) note(entries []member.Entry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range entries {
		if e := &entries[i]; e.Live() {
			started := time.UnixMilli(int64(e.Report.Incarnation))
			h.seen[e.Report.Entry] = sighting{started: started, live: now}
		}
	}
}

// previous returns the home of r among the entries that started longer than
// retention ago and were live within it. It is "" when there was none.
func (h *history) previous(r id.Request, now time.Time, retention time.Duration) id.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var old []id.Entry
	for name, s := range h.seen {
		switch {
		case now.Sub(s.live) > retention:
			delete(h.seen, name)
		case now.Sub(s.started) > retention || now.Sub(s.live) > liveSlack:
			old = append(old, name)
		}
	}
	return id.HomeEntry(r, old)
}

// liveSlack is the age of a sighting from which an entry counts as gone.
const liveSlack = 2 * time.Second
