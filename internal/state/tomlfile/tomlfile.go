// Package tomlfile decodes TOML files strictly: syntax errors, wrong types and
// unknown keys are errors. Each error names the file, the line, the key and what
// was expected.
//
// # Usage
//
//	var s settings.Entry
//	if err := tomlfile.Decode("entry.toml", data, &s); err != nil {
//		// entry.toml:3: calers: unknown key, want one of callers, name, …
//	}
//	if s.CallerAddress == "" {
//		return tomlfile.NewValueError("entry.toml", data, "callers", "is empty, want host:port")
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
	// Syntax means that the text is not valid TOML.
	Syntax Kind = "syntax"
	// WrongType means that a value has the wrong type.
	WrongType Kind = "type"
	// UnknownKey means that the file contains a key that is not a setting.
	UnknownKey Kind = "unknownKey"
	// InvalidValue means that a value of the right type violates a rule.
	InvalidValue Kind = "value"
)

// Error is this package's error. Its cause begins with "path:line: key: ".
type Error = fault.Error[Kind]

// Decode reads data, the content of the file at path, into the struct that into
// points to. It returns an *Error for the first error in the file.
func Decode(path string, data []byte, into any) error {
	meta, err := toml.Decode(string(data), into)
	if err != nil {
		return describeError(path, earliestTypeError(data, into, err))
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

// NewValueError returns an *Error of kind InvalidValue for a dotted key of a file
// whose values have the right types. The detail says what was expected.
func NewValueError(path string, data []byte, key, detail string) error {
	return fault.New("tomlfile.NewValueError", InvalidValue, "%s:%d: %s: %s", path, Line(data, key), key, detail)
}

// earliestTypeError returns the type error of the first element of an array of
// tables that has one, and otherwise err. If several elements have the same key,
// the decoder reports the line of the last one. The text is therefore decoded
// again up to the header of each element.
func earliestTypeError(data []byte, into any, err error) error {
	for at := range data {
		if !startsArrayElement(data, at) {
			continue
		}
		discarded := reflect.New(reflect.TypeOf(into).Elem()).Interface()
		_, early := toml.Decode(string(data[:at]), discarded)
		if early != nil && kindOf(early) == WrongType {
			return early
		}
	}
	return err
}

func startsArrayElement(data []byte, at int) bool {
	return bytes.HasPrefix(data[at:], []byte("[[")) && (at == 0 || data[at-1] == '\n')
}

// typePattern splits the decoder's message about a wrong type.
var typePattern = regexp.MustCompile(`^toml: (?:line (\d+) )?\(last key "(.*)"\): (.*)$`)

func describeError(path string, err error) error {
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
	return fault.New(op, kind, "%s:%d: %s: %s", path, line, m[2], expectedType(m[3]))
}

var incompatiblePattern = regexp.MustCompile(`^incompatible types: TOML value has type (.*); destination has type (.*)$`)

func expectedType(message string) string {
	m := incompatiblePattern.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	return "is of type " + tomlTypeName(m[1]) + ", want " + tomlTypeName(m[2])
}

// tomlTypeName returns TOML's name for a type, given the Go name that the decoder
// uses.
func tomlTypeName(name string) string {
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

// kindOf distinguishes syntax errors from values of the wrong type. The decoder
// also returns errors of UnmarshalText as parse errors, with the message of the
// cause. They are recognized by the operation in it, such as
// "Duration.UnmarshalText".
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

// Line returns the line of a dotted key, counted from 1. If the file does not have
// the key, it returns the line of the innermost enclosing table that the file has,
// or 1 if there is none.
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

func lineOf(meta *toml.MetaData, value toml.Primitive, fallback int) int {
	var parse toml.ParseError
	err := meta.PrimitiveDecode(value, &failingUnmarshaler{})
	if errors.As(err, &parse) && parse.Position.Line > 0 {
		return parse.Position.Line
	}
	return fallback
}

// tableOf returns the keys and values of a table, or of all tables of an array.
func tableOf(meta *toml.MetaData, value toml.Primitive) map[string]toml.Primitive {
	var table map[string]toml.Primitive
	// For a value that is not a table, PrimitiveDecode leaves the map nil and
	// returns no error.
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

// failingUnmarshaler makes the decoder return an error with the line of a value.
type failingUnmarshaler struct{}

// UnmarshalTOML always fails.
func (*failingUnmarshaler) UnmarshalTOML(any) error { return errors.New("always fails") }

// knownKeys returns the keys of the struct at path below t, sorted.
func knownKeys(t reflect.Type, path []string) []string {
	t = elementType(t)
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

// elementType returns t without its pointers, slices and maps: the type of the
// innermost elements.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}
