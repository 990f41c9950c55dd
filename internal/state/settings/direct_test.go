package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/settings"
)

const directFile = `name = "edge-1"
clients = "10.1.0.19:8740"
readiness = "10.1.0.19:8749"
operators = "10.1.0.19:8748"
peers = "10.1.0.19:7200"
seeds = ["10.1.0.20:8748"]
store = "10.200.1.7:8742"

[place]
host = "edge-1"
zone = "olten"
region = "mittelland"

[limits]
memoryMB = 284
graceSeconds = 8
addressReuseSeconds = 2

[retries]
ratio = 0.8
slack = 150
windowSeconds = 10
`

func writeDirect(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "direct.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadDirect(t *testing.T) {
	is := is.New(t)
	s, err := settings.LoadDirect(writeDirect(t, directFile))
	is.NoErr(err)
	is.Equal(s.Limits.Grace(), 8*time.Second)
	is.Equal(s.Limits.AddressReuse(), 2*time.Second)
	is.Equal(s.Retries.MinRetries, 150.0)
	is.Equal(s.SeedAddresses, []string{"10.1.0.20:8748"})
}

func TestLoadDirectInvalid(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"no name", `name = "edge-1"`, ``, "name: is empty"},
		{"a negative time", "addressReuseSeconds = 2", "addressReuseSeconds = -2", "limits.addressReuseSeconds: is -2"},
		{"no store", `store = "10.200.1.7:8742"`, ``, "store: is empty"},
		{"an invalid address", "10.1.0.19:8740", "nowhere", "clients: is \"nowhere\""},
		{"an invalid seed address", "10.1.0.20:8748", "nowhere", "seeds: element 0"},
		{"an invalid ratio", "ratio = 0.8", "ratio = -1", "retries.ratio"},
		{"an unknown key", "ratio = 0.8", "ration = 0.8", "ration: unknown key"},
		{"no table", "[place]", "[plaice]", "plaice"},
		{"not TOML", "name =", "name", "direct.toml"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.LoadDirect(writeDirect(t, strings.Replace(directFile, tt.old, tt.new, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want)) // the message says what is wrong
		})
	}
}
