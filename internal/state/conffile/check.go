package conffile

import (
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// FileType is what a file describes.
type FileType string

// Forms of files.
const (
	ContractFile   FileType = "contract"
	DeploymentFile FileType = "config"
	EntryFile      FileType = "entry"
	TargetFile     FileType = "target"
	DirectFile     FileType = "direct"
)

// forms lists the types of all forms; of two that fit equally well the first
// is taken.
var forms = []struct {
	form FileType
	t    reflect.Type
}{
	{ContractFile, reflect.TypeFor[contract.Contract]()},
	{DeploymentFile, reflect.TypeFor[conf.Deployment]()},
	{EntryFile, reflect.TypeFor[settings.Entry]()},
	{TargetFile, reflect.TypeFor[settings.Target]()},
	{DirectFile, reflect.TypeFor[settings.Direct]()},
}

// DetectFileType guesses what a file describes by the keys that it has.
func DetectFileType(data []byte) FileType {
	var raw map[string]any
	// What could be read before an error is enough for a guess.
	_, _ = toml.Decode(string(data), &raw)
	best, bestFit := ContractFile, 0
	for _, f := range forms {
		fit := known(f.t, raw)
		if fit > bestFit {
			best, bestFit = f.form, fit
		}
	}
	return best
}

// known counts the keys of a table, and of the tables in it, for which t has a
// field of the same broad type.
func known(t reflect.Type, table map[string]any) int {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return 0
	}
	count := 0
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		value, ok := table[name]
		if !ok || broadType(t.Field(i).Type) != broadType(reflect.TypeOf(value)) {
			continue
		}
		count++
		if inner, ok := value.(map[string]any); ok {
			count += known(t.Field(i).Type, inner)
		}
	}
	return count
}

// broadType tells tables, arrays of tables, arrays and single values apart.
func broadType(t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "table"
	case reflect.Slice:
		if broadType(t.Elem()) == "table" {
			return "tables"
		}
		return "array"
	default:
		return "value"
	}
}

// Check checks a file of any form. It returns the form that it was taken for.
func Check(path string, data []byte) (FileType, error) {
	form := DetectFileType(data)
	return form, CheckAs(form, path, data)
}

// CheckAs checks a file of a given form.
func CheckAs(form FileType, path string, data []byte) error {
	var err error
	switch form {
	case DeploymentFile:
		_, err = DecodeDeployment(path, data)
	case EntryFile:
		_, err = settings.LoadEntry(path)
	case TargetFile:
		_, err = settings.LoadTarget(path)
	case DirectFile:
		_, err = settings.LoadDirect(path)
	default:
		_, err = DecodeContract(path, data)
	}
	return err
}

// Valid reports whether f is a known form.
func (f FileType) Valid() bool {
	for i := range forms {
		if forms[i].form == f {
			return true
		}
	}
	return false
}
