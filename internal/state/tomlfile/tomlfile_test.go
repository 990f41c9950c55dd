package tomlfile_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/tomlfile"
)

type model struct {
	Name     string `toml:"name"`
	Replicas int    `toml:"replicas"`
}

type sample struct {
	Name   string        `toml:"name"`
	Every  conf.Duration `toml:"every"`
	Share  float64       `toml:"share"`
	Inner  *model        `toml:"inner"`
	Models []model       `toml:"models"`
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name, text string
		kind       tomlfile.Kind
		want       string
	}{
		{"syntax", "name = \"a\"\nevery\n", tomlfile.Syntax, "f.toml:2: "},
		{"string for number", "name = \"a\"\nshare = \"x\"\n", tomlfile.WrongType, "f.toml:2: share: is of type string, want float"},
		{"number for string", "\n\nname = 3\n", tomlfile.WrongType, "f.toml:3: name: is of type integer, want string"},
		{"duration", "name = \"a\"\n\nevery = \"6 parsecs\"\n", tomlfile.WrongType, "f.toml:3: every: "},
		{"unknown key", "nmae = \"a\"\n", tomlfile.UnknownKey, "f.toml:1: nmae: unknown key, want one of every, inner, models, name, share"},
		{"unknown key in a table", "[inner]\nname = \"a\"\nport = 3\n", tomlfile.UnknownKey, "f.toml:3: inner.port: unknown key, want one of name, replicas"},
		{"unknown table", "name = \"a\"\n[outer]\nx = 1\n", tomlfile.UnknownKey, "f.toml:2: outer: unknown key"},
		{"first of an array", "[[models]]\nreplicas = \"x\"\n[[models]]\nreplicas = 2\n", tomlfile.WrongType, "f.toml:2: models.replicas: is of type string, want integer"},
		{"last of an array", "[[models]]\nreplicas = 1\n[[models]]\nreplicas = \"x\"\n", tomlfile.WrongType, "f.toml:4: models.replicas: is of type string, want integer"},
		{"unknown key in an array", "[[models]]\nname = \"a\"\n[[models]]\nport = 2\n", tomlfile.UnknownKey, "f.toml:4: models.port: unknown key, want one of name, replicas"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := tomlfile.Decode("f.toml", []byte(tt.text), &sample{})
			is.True(err != nil)
			t.Log(err)
			is.True(fault.Is(err, tt.kind))                 // the kind says what is wrong
			is.True(strings.Contains(err.Error(), tt.want)) // names file, line, key and what was expected
		})
	}
}

func TestDecodeValid(t *testing.T) {
	is := is.New(t)
	var s sample
	text := "name = \"a\"\nevery = \"6s\"\n[[models]]\nname = \"report\"\nreplicas = 3\n"
	is.NoErr(tomlfile.Decode("f.toml", []byte(text), &s))
	is.Equal(s.Models, []model{{Name: "report", Replicas: 3}})
	is.Equal(s.Every.Std().Seconds(), 6.0)
}

func TestNewValueError(t *testing.T) {
	is := is.New(t)
	text := []byte("name = \"a\"\n\n[inner]\nname = \"\"\n")
	err := tomlfile.NewValueError("f.toml", text, "inner.name", "is empty, want a name")
	is.True(strings.Contains(err.Error(), "f.toml:4: inner.name: is empty, want a name"))
	err = tomlfile.NewValueError("f.toml", text, "inner.replicas", "is missing")
	is.True(strings.Contains(err.Error(), "f.toml:3: inner.replicas: is missing"))
}
