package event_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/event"
)

const pagePath = "../../../docs/EVENTS.md"

var update = flag.Bool("update", false, "write docs/EVENTS.md")

func TestAll(t *testing.T) {
	is := is.New(t)
	last := 0
	names := map[string]bool{}
	for _, e := range event.All() {
		is.True(e.Number > last) // numbers are ascending and unique
		is.True(!names[e.Name])  // names are unique
		is.True(e.Meaning != "") // each event has a meaning
		is.True(e.Action != "")  // and an action, which may be "none"
		last, names[e.Name] = e.Number, true
	}
}

func TestPage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(pagePath, []byte(event.MarkdownPage()), 0o644))
	}
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.Equal(string(page), event.MarkdownPage()) // run go test ./internal/state/event -update
}
