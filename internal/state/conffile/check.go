package conffile

import (
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/settings"
)

// FileType is the type of a file, given by what the file configures: a contract,
// the deployment or a process.
type FileType string

// Types of files.
const (
	ContractFile   FileType = "contract"
	DeploymentFile FileType = "config"
	EntryFile      FileType = "entry"
	TargetFile     FileType = "target"
	DirectFile     FileType = "direct"
)

// fileTypes lists the Go type into which each type of file is decoded. If a file
// fits two of them equally well, it is taken for the first.
var fileTypes = []struct {
	fileType FileType
	goType   reflect.Type
}{
	{ContractFile, reflect.TypeFor[contract.Contract]()},
	{DeploymentFile, reflect.TypeFor[conf.Deployment]()},
	{EntryFile, reflect.TypeFor[settings.Entry]()},
	{TargetFile, reflect.TypeFor[settings.Target]()},
	{DirectFile, reflect.TypeFor[settings.Direct]()},
}

// DetectFileType guesses the type of a file from the keys in it. It returns
// ContractFile if no type of file has any of the keys.
func DetectFileType(data []byte) FileType {
	var raw map[string]any
	// A syntax error is ignored: the keys before it are enough for a guess.
	_, _ = toml.Decode(string(data), &raw)
	best, bestCount := ContractFile, 0
	for _, f := range fileTypes {
		count := countKnownKeys(f.goType, raw)
		if count > bestCount {
			best, bestCount = f.fileType, count
		}
	}
	return best
}

// countKnownKeys counts the keys of a table, and of the tables in it, for which t
// has a field of the same broad type.
func countKnownKeys(t reflect.Type, table map[string]any) int {
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
			count += countKnownKeys(t.Field(i).Type, inner)
		}
	}
	return count
}

// broadType returns whether values of t are tables, arrays of tables, other
// arrays or single values.
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

// Check checks a file of any type. It returns the type that it detected.
func Check(path string, data []byte) (FileType, error) {
	fileType := DetectFileType(data)
	return fileType, CheckAs(fileType, path, data)
}

// CheckAs checks a file of a given type.
func CheckAs(fileType FileType, path string, data []byte) error {
	var err error
	switch fileType {
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

// Valid reports whether f is a known type of file.
func (f FileType) Valid() bool {
	for i := range fileTypes {
		if fileTypes[i].fileType == f {
			return true
		}
	}
	return false
}
