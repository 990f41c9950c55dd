package deployment_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A request that ends each engine that runs it is sent twenty times under new
// keys through both entries. At most three engines die of it, all entries
// refuse it then, and other requests go on.
func TestKiller(t *testing.T) {
	is := is.New(t)
	d := start(t, options(6, 2))
	for _, e := range d.Engines {
		e.StandIn.Engine.CrashOnPrompt("mast chain")
	}
	for i := range 20 {
		c := &caller{url: d.Entries[i%2].URL(), key: fmt.Sprint("new-", i), prompt: "the mast chain", tokens: 20}
		if body, err := c.open(t.Context(), false); err == nil {
			done, _ := c.read(all)
			body.Close()
			is.True(!done)
		}
	}
	deaths := 0
	for _, e := range d.Engines {
		deaths += int(e.StandIn.Engine.Stats().Crashes)
	}
	t.Logf("%d engines died", deaths)
	is.True(deaths <= 3)
	for i := range 6 {
		text, err := ask(t.Context(), d.Entries[i%2].URL(), fmt.Sprint("truck ", i), 30, true)
		is.NoErr(err)
		is.Equal(text, expect(fmt.Sprint("truck ", i), 30))
	}
}
