// Package anvilcontract parses, checks, formats and compares contract files. A contract file contains one team's
// contract in TOML.
package anvilcontract

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
)

// MistakeError is one mistake in a contract file.
type MistakeError struct {
	file     string
	line     int
	reason   string
	accepted string
}

// File returns the name of the file as it was passed to Load or Parse.
func (e *MistakeError) File() string { return e.file }

// Line returns the line number, counted from 1. Mistakes without a position, such as a missing key, are at line 1.
func (e *MistakeError) Line() int { return e.line }

// Accepted describes the values that the key accepts. It is empty for unknown keys and for syntax errors.
func (e *MistakeError) Accepted() string { return e.accepted }

// Error returns "file:line: reason", followed by the accepted values if there are any.
func (e *MistakeError) Error() string {
	text := fmt.Sprintf("%s:%d: %s", e.file, e.line, e.reason)
	if e.accepted != "" {
		text += "; it must be " + e.accepted
	}
	return text
}

const nameRunes = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_."

// Bounds that entry instances enforce: bytes of a name, value of a number and number of pools.
const (
	maxName   = 64
	maxNumber = 1_000_000
	maxPools  = 64
)

// key is a key of contract files. parse returns the option that sets a decoded TOML value, and false if the value is
// not accepted. The option is nil for the team, which is a parameter of anvilconfig.NewContract.
type key struct {
	name     string
	accepted string
	required bool
	parse    func(value any) (anvilconfig.ContractOption, bool)
}

// keys returns the keys in the order in which Diff and FormatLine list them.
func keys() []key {
	return []key{
		{"team", nameFormat, true, func(v any) (anvilconfig.ContractOption, bool) { return nil, IsName(v) }},
		{"limit", limitFormat, true, parseLimit},
		{"weight", fmt.Sprintf("a whole number from 1 to %d", maxNumber), false, parseNumber(1, anvilconfig.WithWeight)},
		{"rate", fmt.Sprintf("a whole number from 0 (no limit) to %d", maxNumber), false, parseNumber(0, anvilconfig.WithRate)},
		{"flight", fmt.Sprintf("a whole number from 0 (no limit) to %d", maxNumber), false, parseNumber(0, anvilconfig.WithMaxInFlight)},
		{"pools", fmt.Sprintf("a list of at most %d names", maxPools), false, parsePools},
	}
}

const limitFormat = `"CPU,MEMORY,ACCEL": cores (0 to 1000000) or millicores (0m to 1000000000m), MiB and accelerators (0 to 1000000000)`

const nameFormat = "a name of 1 to 64 letters, digits, -, _ and ."

// IsName reports whether v is a string with the form of a name of a team, pool, worker or entry instance: 1 to 64
// letters, digits, "-", "_" and ".".
func IsName(v any) bool {
	text, ok := v.(string)
	return ok && text != "" && len(text) <= maxName && strings.Trim(text, nameRunes) == ""
}

func parseLimit(v any) (anvilconfig.ContractOption, bool) {
	text, ok := v.(string)
	if !ok {
		return nil, false
	}
	s, err := anvilsize.Parse(text)
	return anvilconfig.WithLimit(s), err == nil
}

// parseNumber returns a parser of whole numbers from minValue to maxNumber.
func parseNumber(minValue int64, opt func(int64) anvilconfig.ContractOption) func(any) (anvilconfig.ContractOption, bool) {
	return func(v any) (anvilconfig.ContractOption, bool) {
		n, ok := v.(int64)
		return opt(n), ok && n >= minValue && n <= maxNumber
	}
}

func parsePools(v any) (anvilconfig.ContractOption, bool) {
	list, ok := v.([]any)
	if !ok || len(list) > maxPools || slices.ContainsFunc(list, func(p any) bool { return !IsName(p) }) {
		return nil, false
	}
	pools := make([]string, 0, len(list))
	for _, p := range list {
		pools = append(pools, fmt.Sprint(p))
	}
	return anvilconfig.WithPools(pools...), true
}

// Load reads and parses a contract file. Its error is that of reading the file or that of Parse.
func Load(file string) (anvilconfig.Contract, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return anvilconfig.Contract{}, err
	}
	return Parse(file, string(text))
}

// Parse parses the text of a contract file; file is used in errors only. If the TOML syntax is valid, the error joins
// a MistakeError for every mistake, sorted by line; otherwise it is a MistakeError for the first syntax error.
func Parse(file, text string) (anvilconfig.Contract, error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return anvilconfig.Contract{}, syntaxMistake(file, err)
	}
	team, _ := tree["team"].(string)
	var mistakes []*MistakeError
	var opts []anvilconfig.ContractOption
	fail := func(name, accepted, format string, args ...any) {
		mistakes = append(mistakes, &MistakeError{file: file, line: lineOf(text, name), reason: fmt.Sprintf(format, args...), accepted: accepted})
	}
	for _, k := range keys() {
		value, given := tree[k.name]
		delete(tree, k.name)
		switch {
		case given:
			opt, ok := k.parse(value)
			if !ok {
				fail(k.name, k.accepted, "%s is not accepted (%#v)", k.name, value)
			} else if opt != nil {
				opts = append(opts, opt)
			}
		case k.required:
			fail("", k.accepted, "%s is missing", k.name)
		}
	}
	for name := range tree {
		fail(name, "", "unknown key %s; the keys are team, limit, weight, rate, flight and pools", name)
	}
	if len(mistakes) > 0 {
		return anvilconfig.Contract{}, joinMistakes(mistakes)
	}
	return anvilconfig.NewContract(team, opts...), nil
}

// joinMistakes joins mistakes in the order of their lines.
func joinMistakes(mistakes []*MistakeError) error {
	sort.SliceStable(mistakes, func(i, j int) bool { return mistakes[i].line < mistakes[j].line })
	list := make([]error, 0, len(mistakes))
	for _, m := range mistakes {
		list = append(list, m)
	}
	return errors.Join(list...)
}

func syntaxMistake(file string, err error) error {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return &MistakeError{file: file, line: pe.Position.Line, reason: pe.Message}
	}
	return &MistakeError{file: file, line: 1, reason: err.Error()}
}

// lineOf returns the line of a top-level key or table, which the decoder doesn't report. It returns 1 if name is empty
// or not found.
func lineOf(text, name string) int {
	if name == "" {
		return 1
	}
	pattern := regexp.MustCompile(`^\s*\[*\s*"?` + regexp.QuoteMeta(name) + `"?\s*[=.\]]`)
	for i, line := range strings.Split(text, "\n") {
		if pattern.MatchString(line) {
			return i + 1
		}
	}
	return 1
}

// Format returns the text of a contract file with every key. Parse of it returns an equal contract.
func Format(c anvilconfig.Contract) string {
	pools := make([]string, 0, len(c.Pools()))
	for _, p := range c.Pools() {
		pools = append(pools, fmt.Sprintf("%q", p))
	}
	return fmt.Sprintf("team   = %q\nlimit  = %q\nweight = %d\nrate   = %d\nflight = %d\npools  = [%s]\n",
		c.Team(), c.Limit().String(), c.Weight(), c.Rate(), c.MaxInFlight(), strings.Join(pools, ", "))
}
