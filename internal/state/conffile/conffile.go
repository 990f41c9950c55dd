// Package conffile reads and writes the files that operators edit: contracts
// and the deployment's configuration in TOML. Each error names the file, the
// line, the key and what was expected.
//
// A file that the command line wrote says in a comment at which revision it
// was read, so that a change by somebody else is noticed when it is put back.
//
// # Usage
//
//	c, err := conffile.DecodeContract("staplerdienst.toml", data)
//	revision, ok := conffile.Based(data)
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

// Kind is the kind of this package's errors. Errors about what a file says are
// package tomlfile's.
type Kind string

// EncodingFailed means that a value has no form in TOML.
const EncodingFailed Kind = "unwritable"

// Error is this package's error.
type Error = fault.Error[Kind]

// DecodeContract reads a contract and checks it.
func DecodeContract(path string, data []byte) (*contract.Contract, error) {
	c := &contract.Contract{}
	return c, decode(path, data, c, c.SetDefaults, c.Validate)
}

// DecodeDeployment reads a deployment's configuration and checks it.
func DecodeDeployment(path string, data []byte) (*conf.Deployment, error) {
	d := &conf.Deployment{}
	return d, decode(path, data, d, d.SetDefaults, d.Validate)
}

func decode(path string, data []byte, into any, defaults func(), validate func() error) error {
	if err := tomlfile.Decode(path, data, into); err != nil {
		return err
	}
	before, err := tree(into)
	if err != nil {
		return err
	}
	defaults()
	after, err := tree(into)
	if err != nil {
		return err
	}
	if err := refuseReplaced(path, data, before, after); err != nil {
		return err
	}
	return locate(path, data, validate())
}

// tree returns v as the maps of its JSON form, which has the same keys.
func tree(v any) (map[string]any, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap("conffile.tree", EncodingFailed, err)
	}
	var out map[string]any
	return out, fault.Wrap("conffile.tree", EncodingFailed, json.Unmarshal(encoded, &out))
}

// refuseReplaced refuses a value that a file states and a default would
// replace, such as a limit of 0: the operator would get what nobody wrote.
func refuseReplaced(path string, data []byte, before, after map[string]any) error {
	var meta toml.MetaData
	var raw map[string]any
	meta, err := toml.Decode(string(data), &raw)
	if err != nil {
		return fault.New("conffile.refuseReplaced", tomlfile.Syntax, "%s: %v", path, err)
	}
	return walkReplaced(path, data, &meta, nil, before, after)
}

func walkReplaced(path string, data []byte, meta *toml.MetaData, key toml.Key, before, after map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		value := before[name]
		here := append(key[:len(key):len(key)], name)
		if table, ok := value.(map[string]any); ok {
			inner, _ := after[name].(map[string]any)
			if err := walkReplaced(path, data, meta, here, table, inner); err != nil {
				return err
			}
			continue
		}
		if !meta.IsDefined(here...) || fmt.Sprint(value) == fmt.Sprint(after[name]) {
			continue
		}
		return tomlfile.NewValueError(path, data, here.String(), fmt.Sprintf(
			"is %v, which the default %v would replace; want another value, or leave it out", value, after[name]))
	}
	return nil
}

// elementPattern takes apart the key of an element of an array of tables.
var elementPattern = regexp.MustCompile(`^(\w+)\[(\d+)\]\.(\w+)$`)

// locate adds file, line and key to an error of Validate, whose message begins
// with the key.
func locate(path string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	key, detail, _ := strings.Cut(eris.Cause(err).Error(), " ")
	m := elementPattern.FindStringSubmatch(key)
	if m == nil {
		return tomlfile.NewValueError(path, data, key, detail)
	}
	index, _ := strconv.Atoi(m[2])
	return fault.New("conffile.locate", tomlfile.InvalidValue, "%s:%d: %s: %s",
		path, elementLine(data, m[1], index, m[3]), key, detail)
}

// elementLine returns the line of a key in an element of an array of tables,
// or that of the element's head when it does not have the key.
func elementLine(data []byte, array string, index int, key string) int {
	head, element := 0, -1
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			if element == index {
				return head
			}
			if strings.HasPrefix(line, "[["+array+"]]") {
				element++
				head = i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(line, "=")
		if element == index && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return max(head, 1)
}

// basedPattern finds the revision that a file was read at.
var basedPattern = regexp.MustCompile(`(?m)^# revision (\d+)\s*$`)

// BaseRevision returns the revision that a file was read at, when the file says so.
func BaseRevision(data []byte) (id.Revision, bool) {
	m := basedPattern.FindSubmatch(data)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(string(m[1]), 10, 64)
	return id.Revision(n), err == nil
}

// EncodeContract returns the file of a contract that was read at a revision.
func EncodeContract(c *contract.Contract, revision id.Revision) ([]byte, error) {
	return encode(c, revision)
}

// EncodeDeployment returns the file of a deployment that was read at a
// revision.
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
