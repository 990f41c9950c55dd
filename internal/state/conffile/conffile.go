// Package conffile reads and writes the TOML files that operators edit: contracts
// and the deployment's configuration. It also checks the settings files of
// processes. Each error names the file, the line, the key and what was expected.
//
// A file that the command line wrote has a comment with the revision at which it
// was read. The comment allows the command line to detect, when the file is put
// back, that somebody else made a change in the meantime.
//
// # Usage
//
//	c, err := conffile.DecodeContract("staplerdienst.toml", data)
//	revision, ok := conffile.BaseRevision(data)
//	text, err := conffile.EncodeContract(c, revision)
package conffile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/contract"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
	"foxtailward.example/foxtailward/internal/state/tomlfile"
)

// Kind is the kind of this package's errors. Errors in the content of a file are
// reported with the kinds of package tomlfile.
type Kind string

// EncodingFailed means that a value cannot be encoded.
const EncodingFailed Kind = "unwritable"

// Error is this package's error.
type Error = fault.Error[Kind]

// DecodeContract reads a contract, fills in its defaults and validates it.
func DecodeContract(path string, data []byte) (*contract.Contract, error) {
	c := &contract.Contract{}
	return c, decode(path, data, c, c.SetDefaults, c.Validate)
}

// DecodeDeployment reads a deployment's configuration, fills in its defaults and
// validates it.
func DecodeDeployment(path string, data []byte) (*conf.Deployment, error) {
	d := &conf.Deployment{}
	return d, decode(path, data, d, d.SetDefaults, d.Validate)
}

func decode(path string, data []byte, into any, defaults func(), validate func() error) error {
	if err := tomlfile.Decode(path, data, into); err != nil {
		return err
	}
	before, err := toMap(into)
	if err != nil {
		return err
	}
	defaults()
	after, err := toMap(into)
	if err != nil {
		return err
	}
	if err := checkReplacedByDefaults(path, data, before, after); err != nil {
		return err
	}
	return addLocation(path, data, validate())
}

// toMap returns v as nested maps by way of its JSON encoding, which has the same
// keys as its TOML encoding.
func toMap(v any) (map[string]any, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap("conffile.toMap", EncodingFailed, err)
	}
	var out map[string]any
	return out, fault.Wrap("conffile.toMap", EncodingFailed, json.Unmarshal(encoded, &out))
}

// checkReplacedByDefaults returns an error if the file sets a value that a default
// would replace, such as a limit of 0, because the operator would get a value that
// nobody wrote.
func checkReplacedByDefaults(path string, data []byte, before, after map[string]any) error {
	var meta toml.MetaData
	var raw map[string]any
	meta, err := toml.Decode(string(data), &raw)
	if err != nil {
		return fault.New("conffile.checkReplacedByDefaults", tomlfile.Syntax, "%s: %v", path, err)
	}
	return compareWithDefaults(path, data, &meta, nil, before, after)
}

func compareWithDefaults(path string, data []byte, meta *toml.MetaData, key toml.Key, before, after map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		value := before[name]
		fullKey := append(key[:len(key):len(key)], name)
		if table, ok := value.(map[string]any); ok {
			inner, _ := after[name].(map[string]any)
			if err := compareWithDefaults(path, data, meta, fullKey, table, inner); err != nil {
				return err
			}
			continue
		}
		if !meta.IsDefined(fullKey...) || fmt.Sprint(value) == fmt.Sprint(after[name]) {
			continue
		}
		return tomlfile.NewValueError(path, data, fullKey.String(), fmt.Sprintf(
			"is %v, which the default %v would replace; set another value or remove the key", value, after[name]))
	}
	return nil
}

// elementPattern splits the key of a field in an element of an array of tables,
// such as models[1].name.
var elementPattern = regexp.MustCompile(`^(\w+)\[(\d+)\]\.(\w+)$`)

// addLocation adds the file, line and key to an error of Validate. The message of
// such an error begins with the key.
func addLocation(path string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	key, detail, _ := strings.Cut(eris.Cause(err).Error(), " ")
	m := elementPattern.FindStringSubmatch(key)
	if m == nil {
		return tomlfile.NewValueError(path, data, key, detail)
	}
	index, _ := strconv.Atoi(m[2])
	return fault.New("conffile.addLocation", tomlfile.InvalidValue, "%s:%d: %s: %s",
		path, elementLine(data, m[1], index, m[3]), key, detail)
}

// elementLine returns the line of a key in an element of an array of tables, or
// the line of the element's header if the element does not have the key.
func elementLine(data []byte, array string, index int, key string) int {
	header, element := 0, -1
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			if element == index {
				return header
			}
			if strings.HasPrefix(line, "[["+array+"]]") {
				element++
				header = i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(line, "=")
		if element == index && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return max(header, 1)
}

// baseRevisionPattern matches the comment with the revision at which a file was
// read.
var baseRevisionPattern = regexp.MustCompile(`(?m)^# revision (\d+)\s*$`)

// BaseRevision returns the revision at which a file was read, if the file has a
// comment with it.
func BaseRevision(data []byte) (id.Revision, bool) {
	m := baseRevisionPattern.FindSubmatch(data)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(string(m[1]), 10, 64)
	return id.Revision(n), err == nil
}

// EncodeContract returns the content of a file for a contract that was read at a
// revision.
func EncodeContract(c *contract.Contract, revision id.Revision) ([]byte, error) {
	return encode(c, revision)
}

// EncodeDeployment returns the content of a file for a deployment that was read
// at a revision.
func EncodeDeployment(d *conf.Deployment, revision id.Revision) ([]byte, error) {
	return encode(d, revision)
}

func encode(v any, revision id.Revision) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "# revision %d\n", revision)
	encoder := toml.NewEncoder(&out)
	encoder.Indent = ""
	if err := encoder.Encode(v); err != nil {
		return nil, fault.Wrap("conffile.encode", EncodingFailed, err)
	}
	return out.Bytes(), nil
}
