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
		is.True(e.Number > last) // numbers rise and are unique
		is.True(!names[e.Name])  // names are unique
		is.True(e.Meaning != "") // each event is explained
		is.True(e.Action != "")  // and says what to do
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
