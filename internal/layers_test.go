package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const module = "foxtailward.example/foxtailward/internal/"

// layers lists, for each area, the areas whose packages its packages may import,
// as described in docs/ARCHITECTURE.md.
var layers = map[string]string{
	"state":        "state",
	"coordination": "state coordination",
	"protocol":     "state coordination protocol",
	"transport":    "state coordination protocol transport",
	"standin":      "state coordination protocol transport standin",
}

// TestLayers checks that imports between the areas go only in the allowed
// direction.
func TestLayers(t *testing.T) {
	is := is.New(t)
	checked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		area, _, inArea := strings.Cut(filepath.ToSlash(path), "/")
		if !inArea {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			imported, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			rest, isInternal := strings.CutPrefix(imported, module)
			if !isInternal {
				continue
			}
			importedArea, _, _ := strings.Cut(rest, "/")
			if !strings.Contains(" "+layers[area]+" ", " "+importedArea+" ") {
				t.Errorf("%s imports %s: area %s may import %q", path, imported, area, layers[area])
			}
			checked++
		}
		return nil
	})
	is.NoErr(err)
	is.True(checked > 100) // the walk found the source files
}
