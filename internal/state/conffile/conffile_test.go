package conffile_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/conffile"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/generation"
	"foxtailward.example/foxtailward/internal/state/id"
)

const hash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

const contractHead = `name = "a"
models = ["report"]
keys = ["` + hash + `"]
`

const entryFile = `name = "e1"
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"
[place]
host = "h"
zone = "z"
region = "r"
`

func TestCheck(t *testing.T) {
	tests := []struct {
		name, text string
		fileType   conffile.FileType
		want       string
	}{
		{"contract", contractHead, conffile.ContractFile, ""},
		{"deployment", "retention = \"5m\"\n[[models]]\nname = \"report\"\nreplicas = 2\n", conffile.DeploymentFile, ""},
		{"entry", entryFile, conffile.EntryFile, ""},
		{"entry unknown key", strings.Replace(entryFile, "callers", "calers", 1), conffile.EntryFile, ":2: calers: unknown key, want one of "},
		{"unknown key", contractHead + "colour = 1\n", conffile.ContractFile, ":4: colour: unknown key, want one of "},
		{"unknown key in a table", contractHead + "\n[limits]\nconcurency = 4\n", conffile.ContractFile, ":6: limits.concurency: unknown key, want one of answerTokens, concurrency"},
		{"wrong type", contractHead + "weight = \"heavy\"\n", conffile.ContractFile, ":4: weight: is of type string, want integer"},
		{"syntax", contractHead + "weight = \n", conffile.ContractFile, ":4: weight: "},
		{"class", contractHead + "class = \"fast\"\n", conffile.ContractFile, `:4: class: is "fast", want short, standard or long`},
		{"limit", contractHead + "[limits]\nconcurrency = -4\n", conffile.ContractFile, ":5: limits.concurrency: is -4, want at least 1"},
		{"limit of 0", contractHead + "[limits]\nconcurrency = 0\n", conffile.ContractFile, ":5: limits.concurrency: is 0, which the default 64 would replace"},
		{"plain key", strings.Replace(contractHead, hash, "secret", 1), conffile.ContractFile, ":3: keys: contains a value that is not a SHA-256 sum"},
		{"no key", "name = \"a\"\nmodels = [\"report\"]\n", conffile.ContractFile, ":1: keys: is empty"},
		{"name", strings.Replace(contractHead, `"a"`, `"A b"`, 1), conffile.ContractFile, `:1: name: is "A b", want 1 to 63`},
		{"second model", "retention = \"5m\"\n[[models]]\nname = \"report\"\n[[models]]\nversion = \"2\"\nname = \"report\"\n", conffile.DeploymentFile, `:6: models[1].name: "report" is listed twice`},
		{"model without name", "[[models]]\nname = \"report\"\n\n[[models]]\nversion = \"2\"\n\n[routing]\n", conffile.DeploymentFile, ":4: models[1].name: is empty"},
		{"duration", "retention = \"soon\"\n[recovery]\nmaxAttempts = 3\n", conffile.DeploymentFile, ":1: retention: "},
		{"share", "[recovery]\nmaxAttempts = 3\nretryShare = 1.5\n", conffile.DeploymentFile, ":3: recovery.retryShare: is 1.5, want 0 to 1"},
		{"share of 0", "[recovery]\nhedgeShare = 0.0\n[routing]\n", conffile.DeploymentFile, ":2: recovery.hedgeShare: is 0, which the default 0.05 would replace"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "f.toml")
			is.NoErr(os.WriteFile(path, []byte(tt.text), 0o600))
			fileType, err := conffile.Check(path, []byte(tt.text))
			is.Equal(fileType, tt.fileType)
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			got := eris.Cause(err).Error()
			t.Log(got)
			is.True(strings.HasPrefix(got, path+tt.want))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	c := &contract.Contract{
		Name: "a", Class: generation.Long, Models: []id.Model{"report"},
		Services: contract.Services{{Name: "orders"}, {Name: "parts", Repeatable: true}},
		Keys:     []contract.KeyHash{hash},
	}
	c.SetDefaults()
	data, err := conffile.EncodeContract(c, 17)
	is.NoErr(err)
	got, err := conffile.DecodeContract("a.toml", data)
	is.NoErr(err)
	is.Equal(got, c)
	revision, ok := conffile.BaseRevision(data)
	is.True(ok)
	is.Equal(revision, id.Revision(17))

	d := &conf.Deployment{Models: conf.Models{{Name: "report", Version: "1", Replicas: 3}}, Retention: conf.Duration(time.Hour)}
	d.SetDefaults()
	data, err = conffile.EncodeDeployment(d, 0)
	is.NoErr(err)
	gotDeployment, err := conffile.DecodeDeployment("d.toml", data)
	is.NoErr(err)
	is.Equal(gotDeployment, d)
	_, ok = conffile.BaseRevision([]byte("name = \"a\" # revision 3\n"))
	is.True(!ok)
}
