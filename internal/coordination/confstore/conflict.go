package confstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

// ConflictError is the conflict of an edit with another change of the same
// object.
type ConflictError struct {
	Object conf.Object
	Name   id.Contract
	// BaseRevision is the revision that was edited, and Base its value if the
	// history still holds it.
	BaseRevision id.Revision
	Base         json.RawMessage
	// Current is the object's last change; its revision is 0 if the object does
	// not exist.
	Current conf.Change
	// Wanted is the requested value; nil for a deletion.
	Wanted json.RawMessage
}

// Error describes the current state of the object and who wrote it.
func (c *ConflictError) Error() string {
	what := describe(c.Object, c.Name)
	if c.Current.Revision == 0 {
		return fmt.Sprintf("the %s was edited from revision %d and no longer exists", what, c.BaseRevision)
	}
	return fmt.Sprintf("the %s was edited from revision %d and is at revision %d, written by %s at %s",
		what, c.BaseRevision, c.Current.Revision, c.Current.Author, c.Current.At.Format("2006-01-02T15:04:05Z"))
}

// Difference is one key whose value differs between the edited, the current and
// the requested version. An empty string means that the version does not
// contain the key.
type Difference struct {
	Key     string `json:"key"`
	Base    string `json:"from"`
	Current string `json:"now"`
	Wanted  string `json:"wanted"`
}

// Differences returns the keys whose values differ, sorted by name.
func (c *ConflictError) Differences() []Difference {
	base, current, wanted := flatten(c.Base), flatten(c.Current.Value), flatten(c.Wanted)
	keys := map[string]bool{}
	for _, m := range []map[string]string{base, current, wanted} {
		for k := range m {
			keys[k] = true
		}
	}
	var out []Difference
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		d := Difference{Key: k, Base: base[k], Current: current[k], Wanted: wanted[k]}
		known := len(c.Base) > 0
		if d.Current != d.Wanted || (known && d.Base != d.Current) {
			out = append(out, d)
		}
	}
	return out
}

// flatten returns the leaves of a JSON value by dotted key.
func flatten(value json.RawMessage) map[string]string {
	leaves := map[string]string{}
	var v any
	if len(value) == 0 || json.Unmarshal(value, &v) != nil {
		return leaves
	}
	addLeaves(leaves, "", v)
	return leaves
}

func addLeaves(leaves map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, member := range v {
			addLeaves(leaves, join(key, k), member)
		}
	case []any:
		for i, element := range v {
			addLeaves(leaves, fmt.Sprintf("%s[%d]", key, i), element)
		}
	case nil:
	default:
		data, _ := json.Marshal(v)
		leaves[key] = string(data)
	}
}

func join(key, member string) string {
	if key == "" {
		return member
	}
	return key + "." + member
}
