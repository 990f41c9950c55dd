// Package tomlfile decodes TOML files strictly: a wrong type, a broken line and
// a key that nobody reads are errors, and each names the file, the line, the
// key and what was expected.
//
// # Usage
//
//	var s settings.Entry
//	if err := tomlfile.Decode("entry.toml", data, &s); err != nil {
//		// entry.toml:3: calers: unknown key, want one of callers, name, …
//	}
//	if s.Callers == "" {
//		return tomlfile.Refuse("entry.toml", data, "callers", "is empty, want host:port")
//	}
package tomlfile

import (
	"bytes"
	"errors"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"foxtailward.example/foxtailward/internal/state/fault"
)

// Kind is the kind of this package's errors.
type Kind string

// Kinds of errors.
const (
	// Syntax means that the text is not TOML.
	Syntax Kind = "syntax"
	// WrongType means that a value has the wrong type.
	WrongType Kind = "type"
	// UnknownKey means that the file holds a key that nobody reads.
	UnknownKey Kind = "unknownKey"
	// InvalidValue means that a value of the right type breaks a rule.
	InvalidValue Kind = "value"
)

// Error is this package's error. Its cause begins with "path:line: key: ".
type Error = fault.Error[Kind]

// Decode reads data, the content of the file at path, into the struct that
// into points to. It returns an *Error for the first fault in the file.
func Decode(path string, data []byte, into any) error {
	meta, err := toml.Decode(string(data), into)
	if err != nil {
		return describe(path, earliest(data, into, err))
	}
	unknown := meta.Undecoded()
	if len(unknown) == 0 {
		return nil
	}
	key := unknown[0]
	known := knownKeys(reflect.TypeOf(into), key[:len(key)-1])
	return fault.New("tomlfile.Decode", UnknownKey, "%s:%d: %s: unknown key, want one of %s",
		path, Line(data, key.String()), key, strings.Join(known, ", "))
}

// NewValueError returns an *Error of kind Value about a key, dotted, of a file whose
// values have the right types. The detail says what was expected.
func NewValueError(path string, data []byte, key, detail string) error {
	return fault.New("tomlfile.Refuse", InvalidValue, "%s:%d: %s: %s", path, Line(data, key), key, detail)
}

// earliest returns the error of the first element of an array of tables that
// has one. The decoder knows only the last line of a key that each element
// has, so the text is decoded again up to the head of each element.
func earliest(data []byte, into any, err error) error {
	for at := range data {
		if !startsElement(data, at) {
			continue
		}
		copied := reflect.New(reflect.TypeOf(into).Elem()).Interface()
		_, early := toml.Decode(string(data[:at]), copied)
		if early != nil && kindOf(early) == WrongType {
			return early
		}
	}
	return err
}

func startsElement(data []byte, at int) bool {
	return bytes.HasPrefix(data[at:], []byte("[[")) && (at == 0 || data[at-1] == '\n')
}

// typePattern takes apart the decoder's message about a wrong type.
var typePattern = regexp.MustCompile(`^toml: (?:line (\d+) )?\(last key "(.*)"\): (.*)$`)

func describe(path string, err error) error {
	const op = "tomlfile.Decode"
	kind := kindOf(err)
	var parse toml.ParseError
	if errors.As(err, &parse) {
		if parse.LastKey == "" {
			return fault.New(op, kind, "%s:%d: %s", path, parse.Position.Line, parse.Message)
		}
		return fault.New(op, kind, "%s:%d: %s: %s", path, parse.Position.Line, parse.LastKey, parse.Message)
	}
	m := typePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return fault.New(op, kind, "%s: %v", path, err)
	}
	line, _ := strconv.Atoi(m[1])
	return fault.New(op, kind, "%s:%d: %s: %s", path, line, m[2], expected(m[3]))
}

var incompatiblePattern = regexp.MustCompile(`^incompatible types: TOML value has type (.*); destination has type (.*)$`)

func expected(message string) string {
	m := incompatiblePattern.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	return "is of type " + tomlName(m[1]) + ", want " + tomlName(m[2])
}

// tomlName returns TOML's name for a type that the decoder names as Go does.
func tomlName(name string) string {
	switch name {
	case "int64":
		return "integer"
	case "float64":
		return "float"
	case "bool":
		return "boolean"
	case "map", "map[string]interface {}":
		return "table"
	case "slice", "[]interface {}":
		return "array"
	}
	return name
}

// kindOf tells text that is not TOML from values of the wrong type. Errors of
// UnmarshalText come as parse errors too, but have a cause.
func kindOf(err error) Kind {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return WrongType
	}
	if parse.LastKey != "" && strings.Contains(parse.Message, "UnmarshalText") {
		return WrongType
	}
	return Syntax
}

// Line returns the line of a dotted key, counted from 1. For a key that is not
// there it returns the line of the nearest table around it, and 1 when there
// is none.
func Line(data []byte, key string) int {
	var root map[string]toml.Primitive
	meta, err := toml.Decode(string(data), &root)
	if err != nil {
		return 1
	}
	line := 1
	table := root
	for _, part := range strings.Split(key, ".") {
		value, ok := table[part]
		if !ok {
			return line
		}
		line = lineOf(&meta, value, line)
		table = tableOf(&meta, value)
	}
	return line
}

func lineOf(meta *toml.MetaData, value toml.Primitive, otherwise int) int {
	var parse toml.ParseError
	err := meta.PrimitiveDecode(value, &refuser{})
	if errors.As(err, &parse) && parse.Position.Line > 0 {
		return parse.Position.Line
	}
	return otherwise
}

// tableOf returns the keys of a table, or of all tables of an array.
func tableOf(meta *toml.MetaData, value toml.Primitive) map[string]toml.Primitive {
	var table map[string]toml.Primitive
	// What is not a table leaves the map nil, without an error.
	if meta.PrimitiveDecode(value, &table) == nil && table != nil {
		return table
	}
	var array []map[string]toml.Primitive
	if meta.PrimitiveDecode(value, &array) != nil {
		return nil
	}
	all := map[string]toml.Primitive{}
	for _, element := range array {
		for k, v := range element {
			all[k] = v
		}
	}
	return all
}

// refuser makes the decoder say where a value is.
type refuser struct{}

// UnmarshalTOML always fails.
func (*refuser) UnmarshalTOML(any) error { return errors.New("refused") }

// knownKeys returns the keys of the struct at path below t, sorted.
func knownKeys(t reflect.Type, path []string) []string {
	t = element(t)
	if t.Kind() != reflect.Struct {
		return nil
	}
	if len(path) > 0 {
		for f := range fields(t) {
			if f.key == path[0] {
				return knownKeys(f.t, path[1:])
			}
		}
		return nil
	}
	var keys []string
	for f := range fields(t) {
		keys = append(keys, f.key)
	}
	slices.Sort(keys)
	return keys
}

type field struct {
	key string
	t   reflect.Type
}

func fields(t reflect.Type) func(yield func(field) bool) {
	return func(yield func(field) bool) {
		for i := range t.NumField() {
			key, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
			if key == "" || key == "-" {
				continue
			}
			if !yield(field{key: key, t: t.Field(i).Type}) {
				return
			}
		}
	}
}

// element returns what pointers, slices and maps hold in the end.
func element(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}
