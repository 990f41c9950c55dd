package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/settings"
)

const validTarget = `name = "report-1"
peers = "127.0.0.1:8710"
operators = "127.0.0.1:8711"

[place]
host = "olten-7"
zone = "olten"
region = "ch-mittelland"

[engine]
url = "http://127.0.0.1:8000"
model = "report"
version = "v1"
`

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "f.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadTarget(t *testing.T) {
	is := is.New(t)
	s, err := settings.LoadTarget(write(t, validTarget))
	is.NoErr(err)
	is.Equal(s.Engine.Slots, 64)
	is.Equal(s.Engine.QueueSize, 64)
	is.Equal(s.Engine.Role, "mixed")
	is.Equal(s.Platform.HostListInterval.Std(), 2*time.Second)
}

func TestLoadTargetInvalid(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"no name", `name = "report-1"`, ``, "f.toml:1: name: is empty, want the target's name"},
		{"misspelled key", `region =`, `regoin =`, "f.toml:8: place.regoin: unknown key, want one of host, region, zone"},
		{"no zone", `zone = "olten"`, ``, "f.toml:5: place.zone: is empty, want the availability zone's name"},
		{"invalid address", `peers = "127.0.0.1:8710"`, `peers = "8710"`, `f.toml:2: peers: is "8710", want host:port`},
		{"invalid port", `127.0.0.1:8711`, `127.0.0.1:http`, `f.toml:3: operators: has port "http", want 0 to 65535`},
		{"invalid URL", `http://127.0.0.1:8000`, `127.0.0.1:8000`, "f.toml:11: engine.url: is "},
		{"wrong type", `model = "report"`, `model = 3`, "f.toml:12: engine.model: is of type integer, want string"},
		{"invalid role", `version = "v1"`, "version = \"v1\"\nrole = \"all\"", `f.toml:14: engine.role: is "all", want mixed, prefill or decode`},
		{"invalid slots", `version = "v1"`, "version = \"v1\"\nslots = -1", "f.toml:14: engine.slots: is -1, want 1 to 4096"},
		{"engine and service", `[engine]`, "[service]\nname = \"a\"\nurl = \"http://a\"\n[engine]", "f.toml:10: service: is set as well as engine"},
		{"neither engine nor service", validTarget[strings.Index(validTarget, "[engine]"):], "", "engine: is missing, want either"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.LoadTarget(write(t, strings.Replace(validTarget, tt.old, tt.new, 1)))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
	_, err := settings.LoadTarget(filepath.Join(t.TempDir(), "none.toml"))
	is.New(t).True(fault.Is(err, settings.Unreadable))
}

func TestLoadEntry(t *testing.T) {
	is := is.New(t)
	text := validTarget[:strings.Index(validTarget, "[engine]")] + "[platform]\nstores = [\"http://127.0.0.1:2379\"]\n"
	_, err := settings.LoadEntry(write(t, text))
	is.True(strings.Contains(err.Error(), "f.toml:1: callers: is empty, want host:port"))
	s, err := settings.LoadEntry(write(t, "callers = \"127.0.0.1:8700\"\n"+text))
	is.NoErr(err)
	is.Equal(s.CallerAddress, "127.0.0.1:8700")
	_, err = settings.LoadEntry(write(t, "callers = \"127.0.0.1:8700\"\n"+strings.Replace(text, "http://127.0.0.1:2379", "x", 1)))
	is.True(strings.Contains(err.Error(), "platform.stores: element 0: is \"x\", want a URL"))
}
