package confstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"foxtailward.example/foxtailward/internal/state/conf"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Clash is an edit of an object that somebody else has changed.
type Clash struct {
	Object conf.Object
	Name   id.Contract
	// Based is the revision that was edited, and From its value if the history
	// still holds it.
	Based id.Revision
	From  json.RawMessage
	// Now is the object's last change; its revision is 0 when there is none.
	Now conf.Change
	// Wanted is the value that was asked for; nil for a deletion.
	Wanted json.RawMessage
}

// Error says what is there now and who wrote it.
func (c *Clash) Error() string {
	what := describe(c.Object, c.Name)
	if c.Now.Revision == 0 {
		return fmt.Sprintf("the %s was edited from revision %d and is not there any more", what, c.Based)
	}
	return fmt.Sprintf("the %s was edited from revision %d and is at revision %d, written by %s at %s",
		what, c.Based, c.Now.Revision, c.Now.Author, c.Now.At.Format("2006-01-02T15:04:05Z"))
}

// Difference is one key that is not the same in the value that was edited, the
// one there now and the one wanted. An empty text means that the key is not
// there.
type Difference struct {
	Key    string `json:"key"`
	From   string `json:"from"`
	Now    string `json:"now"`
	Wanted string `json:"wanted"`
}

// Differences returns the keys that are not the same everywhere, by name.
func (c *Clash) Differences() []Difference {
	from, now, wanted := flatten(c.From), flatten(c.Now.Value), flatten(c.Wanted)
	keys := map[string]bool{}
	for _, m := range []map[string]string{from, now, wanted} {
		for k := range m {
			keys[k] = true
		}
	}
	var out []Difference
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		d := Difference{Key: k, From: from[k], Now: now[k], Wanted: wanted[k]}
		known := len(c.From) > 0
		if d.Now != d.Wanted || (known && d.From != d.Now) {
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
