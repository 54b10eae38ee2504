// Package anvilcontract reads and writes contract files: one team's contract in TOML.
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

// MistakeError is a mistake in a contract file.
type MistakeError struct {
	file     string
	line     int
	reason   string
	accepted string
}

// File returns the file's name.
func (e *MistakeError) File() string { return e.file }

// Line returns the line, counted from 1.
func (e *MistakeError) Line() int { return e.line }

// Accepted describes the accepted values, empty when there are none.
func (e *MistakeError) Accepted() string { return e.accepted }

// Error formats e as file:line: reason.
func (e *MistakeError) Error() string {
	text := fmt.Sprintf("%s:%d: %s", e.file, e.line, e.reason)
	if e.accepted != "" {
		text += "; it must be " + e.accepted
	}
	return text
}

const nameRunes = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_."

// The bounds of entry instances.
const (
	maxName   = 64
	maxNumber = 1_000_000
	maxPools  = 64
)

// key is a key of the file. add returns the option that a value stands for, or false when the value
// is not accepted.
type key struct {
	name     string
	accepted string
	required bool
	add      func(value any) (anvilconfig.ContractOption, bool)
}

func keys() []key {
	return []key{
		{"team", nameRange, true, func(v any) (anvilconfig.ContractOption, bool) { return nil, IsName(v) }},
		{"limit", limitRange, true, parseLimit},
		{"weight", fmt.Sprintf("a whole number from 1 to %d", maxNumber), false, number(1, anvilconfig.WithWeight)},
		{"rate", fmt.Sprintf("a whole number from 0 (no limit) to %d", maxNumber), false, number(0, anvilconfig.WithRate)},
		{"flight", fmt.Sprintf("a whole number from 0 (no limit) to %d", maxNumber), false, number(0, anvilconfig.WithMaxInFlight)},
		{"pools", fmt.Sprintf("a list of at most %d names", maxPools), false, parsePools},
	}
}

const limitRange = `"CPU,MEMORY,ACCEL": cores (0 to 1000000) or millicores (0m to 1000000000m), MiB and accelerators (0 to 1000000000)`

const nameRange = "a name of 1 to 64 letters, digits, -, _ and ."

// IsName reports whether a value is the name of a team, a pool or an instance.
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

func number(least int64, opt func(int64) anvilconfig.ContractOption) func(any) (anvilconfig.ContractOption, bool) {
	return func(v any) (anvilconfig.ContractOption, bool) {
		n, ok := v.(int64)
		return opt(n), ok && n >= least && n <= maxNumber
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

// Load reads a contract file. The error joins every mistake in it, in order of the lines.
func Load(file string) (anvilconfig.Contract, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return anvilconfig.Contract{}, err
	}
	return Parse(file, string(text))
}

// Parse reads the text of a contract file.
func Parse(file, text string) (anvilconfig.Contract, error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return anvilconfig.Contract{}, syntaxMistake(file, err)
	}
	team, _ := tree["team"].(string)
	var mistakes []*MistakeError
	var opts []anvilconfig.ContractOption
	fail := func(name, accepted, format string, args ...any) {
		mistakes = append(mistakes, &MistakeError{file: file, line: find(text, name), reason: fmt.Sprintf(format, args...), accepted: accepted})
	}
	for _, k := range keys() {
		value, given := tree[k.name]
		delete(tree, k.name)
		switch {
		case given:
			opt, ok := k.add(value)
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
		return anvilconfig.Contract{}, join(mistakes)
	}
	return anvilconfig.NewContract(team, opts...), nil
}

func join(mistakes []*MistakeError) error {
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

// find returns the line of a key or table at the top of the file, which the decoder doesn't tell.
func find(text, name string) int {
	if name == "" {
		return 1
	}
	at := regexp.MustCompile(`^\s*\[*\s*"?` + regexp.QuoteMeta(name) + `"?\s*[=.\]]`)
	for i, line := range strings.Split(text, "\n") {
		if at.MatchString(line) {
			return i + 1
		}
	}
	return 1
}

// Format returns a contract as a contract file.
func Format(c anvilconfig.Contract) string {
	pools := make([]string, 0, len(c.Pools()))
	for _, p := range c.Pools() {
		pools = append(pools, fmt.Sprintf("%q", p))
	}
	return fmt.Sprintf("team   = %q\nlimit  = %q\nweight = %d\nrate   = %d\nflight = %d\npools  = [%s]\n",
		c.Team(), c.Limit().String(), c.Weight(), c.Rate(), c.MaxInFlight(), strings.Join(pools, ", "))
}
