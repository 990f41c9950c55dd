package deployment_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/standin/deployment"
	"foxtailward.example/foxtailward/internal/standin/store"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// Tests that recovery from an engine crash works while the key-value service is
// down, and that an entry on a new host gets contracts and configuration from the
// other entries.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	keyStore := store.New(store.Options{})
	t.Cleanup(keyStore.Close)
	direct := keyStore.Direct()
	opts := options(3, 2)
	opts.Store = &direct
	d := start(t, opts)
	is.NoErr(keyStore.SetOutage(true))
	c := &caller{url: d.Entries[0].URL(), prompt: "p", tokens: 200}
	body, err := c.open(t.Context(), false)
	is.NoErr(err)
	defer body.Close()
	_, err = c.read(5)
	is.NoErr(err)
	runningEngine(d).StandIn.Engine.Crash()
	done, err := c.read(untilEnd)
	is.NoErr(err)
	is.True(done)
	is.Equal(c.text.String(), expect("p", 200))

	fresh, err := d.AddEntry(deployment.EntryOptions{Name: "entry-new", Place: settings.Place{Host: "n", Zone: "z1", Region: "ch"}})
	is.NoErr(err)
	for end := time.Now().Add(30 * time.Second); fresh.Process.AvailableTargets() < 2; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the new entry must see the targets within 30 s
	}
	for i := range 4 {
		text, err := complete(t.Context(), fresh.URL(), fmt.Sprint("new ", i), 20, true)
		for err != nil && strings.Contains(err.Error(), "starting") {
			// The refusal says that nothing ran and when to retry.
			is.True(strings.Contains(err.Error(), `"outcome":"notRun"`))
			time.Sleep(50 * time.Millisecond)
			text, err = complete(t.Context(), fresh.URL(), fmt.Sprint("new ", i), 20, true)
		}
		is.NoErr(err)
		is.Equal(text, expect(fmt.Sprint("new ", i), 20))
	}
}
