package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/coordination/balance"
	"foxtailward.example/foxtailward/internal/state/id"
)

// mostPerTarget returns the largest number of copies that one target holds.
func mostPerTarget(holders map[id.Target]int) int {
	most := 0
	for _, n := range holders {
		most = max(most, n)
	}
	return most
}

// TestMovedBackupsSpread guards against all runs of an entry being copied to one engine
// after the engines that held their copies were lost.
func TestMovedBackupsSpread(t *testing.T) {
	is := is.New(t)
	ts := targets("m", 10, "a", "b", "c")
	b := newBalancer()
	holders := map[id.Target]int{}
	for i := range 20 {
		// The run's first copy was in zone b, which is lost.
		run := b.Start(start, balance.Choice{Target: ts[i%10], Backup: ts[10+i%10]}, request(), nil)
		holder := b.BackupFor(start, request(), ts[20:], ts[i%10], nil)
		run.MoveBackup(start, holder)
		holders[holder.ID]++
	}
	is.True(mostPerTarget(holders) <= 4) // 2 each if they were spread evenly
}

// TestBackupsSpreadOverEntries guards against many entries, which do not know yet what the
// others do, copying their runs to the few engines that have just started.
func TestBackupsSpreadOverEntries(t *testing.T) {
	is := is.New(t)
	const entries, copies = 30, 60
	ts := targets("m", 30, "a", "b")
	random := rand.New(rand.NewPCG(1, 2))
	holders := map[id.Target]int{}
	for range entries {
		b := balance.New("a", random.Float64)
		// All but 3 of zone b's engines run one generation.
		loads := map[id.Target]balance.Load{}
		for _, target := range ts[33:] {
			loads[target.ID] = balance.Load{Running: 1, MemoryTokens: 9000}
		}
		b.ApplyPeerLoads(start, "other", loads, reportValid)
		for range copies / entries {
			holder := b.BackupFor(start, request(), ts, ts[0], nil)
			b.Start(start, balance.Choice{Target: ts[0], Backup: holder}, request(), nil)
			holders[holder.ID]++
		}
	}
	is.True(mostPerTarget(holders) <= 8) // 20 if only the 3 were used
}

// An engine that had no room for a copy must get no further ones for a while.
func TestRefuseBackup(t *testing.T) {
	is := is.New(t)
	ts := targets("m", 1, "a", "b", "c")
	b := newBalancer()
	run := b.Start(start, balance.Choice{Target: ts[0]}, request(), nil)
	run.MoveBackup(start, ts[1])
	run.RefuseBackup(start, ts[1])
	is.Equal(b.BackupFor(start, request(), ts, ts[0], nil).ID, ts[2].ID)
	is.Equal(b.BackupFor(start.Add(2*time.Second), request(), ts[:2], ts[0], nil).ID, ts[1].ID)
	run.MoveBackup(start, ts[2])
	run.RefuseBackup(start, ts[1]) // an answer that arrives late
	run.End(start, balance.Succeeded)
	is.Equal(len(b.Loads()), 0)
	run.MoveBackup(start, ts[2]) // the run has ended
	is.Equal(len(b.Loads()), 0)
}
