package deployment_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Tests that a request that crashes every engine it runs on is quarantined: it is
// sent 20 times under new keys through both entries, at most three engines crash,
// then all entries refuse it, and other requests are still served.
func TestRequestThatCrashesEngines(t *testing.T) {
	is := is.New(t)
	d := start(t, options(6, 2))
	for _, e := range d.Engines {
		e.StandIn.Engine.CrashOnPrompt("mast chain")
	}
	for i := range 20 {
		c := &caller{url: d.Entries[i%2].URL(), key: fmt.Sprint("new-", i), prompt: "the mast chain", tokens: 20}
		if body, err := c.open(t.Context(), false); err == nil {
			done, _ := c.read(untilEnd)
			body.Close()
			is.True(!done)
		}
	}
	crashes := 0
	for _, e := range d.Engines {
		crashes += int(e.StandIn.Engine.Stats().Crashes)
	}
	t.Logf("%d engines crashed", crashes)
	is.True(crashes <= 3)
	for i := range 6 {
		text, err := complete(t.Context(), d.Entries[i%2].URL(), fmt.Sprint("truck ", i), 30, true)
		is.NoErr(err)
		is.Equal(text, expect(fmt.Sprint("truck ", i), 30))
	}
}
