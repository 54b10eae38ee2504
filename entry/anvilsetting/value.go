package anvilsetting

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// key is one setting: its name, its documentation, and the value that it is read into.
type key struct {
	name     string
	doc      string
	required bool
	value    value
	example  any
}

// fileValue returns the value in the default file: the example if there is one.
func (k key) fileValue() any {
	if k.example != nil {
		return k.example
	}
	return k.value.defaultValue()
}

type setResult int

const (
	valid setResult = iota
	wrongType
	outOfRange
)

// value checks what a settings file gives for a key and stores it. Each type of setting implements it.
type value interface {
	set(any) setResult
	accepted() string
	defaultValue() any
}

func optional(name string, v value, doc string) key { return key{name: name, doc: doc, value: v} }

func required(name string, v value, doc string) key {
	return key{name: name, doc: doc, value: v, required: true}
}

// intValue is a whole number from low to high. The unit is only documentation.
type intValue struct {
	dst            *int64
	unit           string
	def, low, high int64
}

func (v intValue) set(x any) setResult {
	n, ok := x.(int64)
	switch {
	case !ok:
		return wrongType
	case n < v.low || n > v.high:
		return outOfRange
	}
	*v.dst = n
	return valid
}

func (v intValue) accepted() string {
	return fmt.Sprintf("a whole number from %d to %d (%s)", v.low, v.high, v.unit)
}
func (v intValue) defaultValue() any { return v.def }

type boolValue struct {
	dst *bool
	def bool
}

func (v boolValue) set(x any) setResult {
	b, ok := x.(bool)
	if !ok {
		return wrongType
	}
	*v.dst = b
	return valid
}

func (v boolValue) accepted() string  { return "true or false" }
func (v boolValue) defaultValue() any { return v.def }

// stringValue is a string that passes check; description says which strings do.
type stringValue struct {
	dst         *string
	def         string
	description string
	check       func(string) bool
}

func (v stringValue) set(x any) setResult {
	s, ok := x.(string)
	switch {
	case !ok:
		return wrongType
	case !v.check(s):
		return outOfRange
	}
	*v.dst = s
	return valid
}

func (v stringValue) accepted() string  { return v.description }
func (v stringValue) defaultValue() any { return v.def }

const (
	maxName   = 40
	nameRunes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

func name(dst *string, def string) stringValue {
	return stringValue{dst: dst, def: def, check: isName, description: fmt.Sprintf("a name of 1 to %d letters, digits, - and _", maxName)}
}

// isName reports whether s may be used in shard names and row keys, whose parts are separated by dots and slashes.
func isName(s string) bool {
	return s != "" && len(s) <= maxName && strings.Trim(s, nameRunes) == ""
}

func address(dst *string, def string, check func(netip.AddrPort) bool, description string) stringValue {
	return stringValue{dst: dst, def: def, description: description, check: func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && a.Port() != 0 && check(a)
	}}
}

func oneOf(dst *string, def string, words ...string) stringValue {
	return stringValue{dst: dst, def: def, description: "one of " + strings.Join(words, ", "),
		check: func(s string) bool { return slices.Contains(words, s) }}
}

func hash(dst *string) stringValue {
	return stringValue{dst: dst, description: `a SHA-256 in 64 lower-case hexadecimal digits, or ""`, check: func(s string) bool {
		b, err := hex.DecodeString(s)
		return s == "" || err == nil && len(b) == 32 && hex.EncodeToString(b) == s
	}}
}

const maxPath = 4096

func path(dst *string) stringValue {
	return stringValue{dst: dst, description: `a path of a file, or ""`, check: func(s string) bool {
		return len(s) <= maxPath && !strings.ContainsRune(s, 0)
	}}
}

// literal formats a value as TOML.
func literal(x any) string {
	if s, ok := x.(string); ok {
		return strconv.Quote(s)
	}
	return fmt.Sprint(x)
}
