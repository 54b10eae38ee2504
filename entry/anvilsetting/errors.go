package anvilsetting

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

type positionError interface {
	error
	File() string
	Line() int
}

// position is the place of an error in a file.
type position struct {
	file string
	line int
}

// File returns the name of the file as it was given to Load or Parse.
func (p position) File() string { return p.file }

// Line returns the line number, counted from 1.
func (p position) Line() int { return p.line }

func (p position) prefix() string { return fmt.Sprintf("%s:%d: ", p.file, p.line) }

// SyntaxError reports a file that is not valid TOML.
type SyntaxError struct {
	position
	reason string
}

// Error formats e as file:line: reason.
func (e *SyntaxError) Error() string { return e.prefix() + e.reason }

// UnknownKeyError reports a key or section that doesn't exist.
type UnknownKeyError struct {
	position
	key string
}

// Key returns the section and the key, separated by a dot, or only the section if that is unknown.
func (e *UnknownKeyError) Key() string { return e.key }

// Error formats e as file:line: reason.
func (e *UnknownKeyError) Error() string { return e.prefix() + "unknown key " + e.key }

// MissingError reports that a required key is missing.
type MissingError struct {
	position
	key      string
	accepted string
}

// Key returns the section and the key, separated by a dot.
func (e *MissingError) Key() string { return e.key }

// Accepted describes the accepted values, to be read after "must be".
func (e *MissingError) Accepted() string { return e.accepted }

// Error formats e as file:line: reason.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%s%s is missing; it must be %s", e.prefix(), e.key, e.accepted)
}

// TypeError reports a value of the wrong type.
type TypeError struct {
	position
	key      string
	value    any
	accepted string
}

// Key returns the section and the key, separated by a dot, or only the section if its value isn't a table.
func (e *TypeError) Key() string { return e.key }

// Accepted describes the accepted values, to be read after "must be".
func (e *TypeError) Accepted() string { return e.accepted }

// Error formats e as file:line: reason.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%s%s has the wrong type (%v); it must be %s", e.prefix(), e.key, e.value, e.accepted)
}

// RangeError reports a value of the right type that is not accepted.
type RangeError struct {
	position
	key      string
	value    any
	accepted string
}

// Key returns the section and the key, separated by a dot.
func (e *RangeError) Key() string { return e.key }

// Accepted describes the accepted values, to be read after "must be".
func (e *RangeError) Accepted() string { return e.accepted }

// Error formats e as file:line: reason.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s%s is out of range (%s); it must be %s", e.prefix(), e.key, literal(e.value), e.accepted)
}

// CombinationError reports values that are accepted on their own but not together.
type CombinationError struct {
	position
	keys     []string
	accepted string
}

// Keys returns the keys, each with its section. The caller must not change the slice.
func (e *CombinationError) Keys() []string { return e.keys }

// Accepted states the condition that the values must meet, for instance "notice must be at most drain".
func (e *CombinationError) Accepted() string { return e.accepted }

// Error formats e as file:line: reason.
func (e *CombinationError) Error() string {
	return fmt.Sprintf("%s%s can't be combined; %s", e.prefix(), strings.Join(e.keys, " and "), e.accepted)
}

func syntaxError(file string, err error) error {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return &SyntaxError{position: position{file: file, line: pe.Position.Line}, reason: pe.Message}
	}
	return &SyntaxError{position: position{file: file, line: 1}, reason: err.Error()}
}

// source finds the lines of keys, which the decoder doesn't report.
type source struct {
	file  string
	lines []string
}

func newSource(file, text string) *source {
	return &source{file: file, lines: strings.Split(text, "\n")}
}

// find returns the position of a key in a section. If the key is not there, it is that of the section, or else line 1.
// The empty section is the top of the file.
func (s *source) find(section, key string) position {
	at := position{file: s.file, line: 1}
	header := regexp.MustCompile(`^\s*\[+\s*"?([^\]."]*)"?`)
	assign := regexp.MustCompile(`^\s*"?` + regexp.QuoteMeta(key) + `"?\s*[=.]`)
	dotted := regexp.MustCompile(`^\s*"?` + regexp.QuoteMeta(section) + `"?\s*[.=]`)
	current := ""
	for i, line := range s.lines {
		if m := header.FindStringSubmatch(line); m != nil {
			current = strings.TrimSpace(m[1])
			if current == section && at.line == 1 {
				at.line = i + 1
			}
			continue
		}
		if key != "" && current == section && assign.MatchString(line) {
			return position{file: s.file, line: i + 1}
		}
		if current == "" && section != "" && dotted.MatchString(line) && (key == "" || strings.Contains(line, key)) {
			return position{file: s.file, line: i + 1}
		}
	}
	return at
}
