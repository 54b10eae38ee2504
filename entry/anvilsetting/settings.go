// Package anvilsetting reads the settings of an entry instance from a TOML file. Each section of that file has a source
// file here that lists its keys with their ranges, defaults and documentation. Both the loader and the text of the
// default file are derived from these lists.
package anvilsetting

import (
	"errors"
	"os"
	"slices"
	"sort"

	"github.com/BurntSushi/toml"
)

// Settings are the validated settings of an entry instance. They don't change after Load.
type Settings struct {
	instance  Instance
	listen    Listen
	platform  Platform
	ownership Ownership
	limits    Limits
	leave     Leave
	log       Log
	security  Security
}

// Instance returns the settings that identify the instance.
func (s *Settings) Instance() *Instance { return &s.instance }

// Listen returns the addresses of the listeners.
func (s *Settings) Listen() *Listen { return &s.listen }

// Platform returns the addresses of the platform's services.
func (s *Settings) Platform() *Platform { return &s.platform }

// Ownership returns the settings of shards and leases.
func (s *Settings) Ownership() *Ownership { return &s.ownership }

// Limits returns the limits on callers.
func (s *Settings) Limits() *Limits { return &s.limits }

// Leave returns the settings of a planned stop.
func (s *Settings) Leave() *Leave { return &s.leave }

// Log returns the level of the log and the action on violated invariants.
func (s *Settings) Log() *Log { return &s.log }

// Security returns the settings of keys and certificates.
func (s *Settings) Security() *Security { return &s.security }

type section struct {
	name string
	doc  string
	keys []key
}

func (s *Settings) sections() []section {
	return []section{
		s.instance.section(), s.listen.section(), s.platform.section(), s.ownership.section(),
		s.limits.section(), s.leave.section(), s.log.section(), s.security.section(),
	}
}

// Load reads and checks a settings file. The error joins all errors found in the file, in the order of their lines.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, string(text))
}

// Parse checks the text of a settings file as Load does; file is the name that errors contain.
func Parse(file, text string) (*Settings, error) {
	var tree map[string]any
	src := newSource(file, text)
	if _, err := toml.Decode(text, &tree); err != nil {
		return nil, syntaxError(file, err)
	}
	s := &Settings{}
	l := &loader{src: src}
	l.load(s, tree)
	if len(l.errs) == 0 {
		l.checkCombinations(s)
	}
	if len(l.errs) > 0 {
		return nil, l.err()
	}
	return s, nil
}

type loader struct {
	src  *source
	errs []positionError
}

func (l *loader) addError(err positionError) { l.errs = append(l.errs, err) }

func (l *loader) err() error {
	sort.SliceStable(l.errs, func(i, j int) bool { return l.errs[i].Line() < l.errs[j].Line() })
	list := make([]error, 0, len(l.errs))
	for _, e := range l.errs {
		list = append(list, e)
	}
	return errors.Join(list...)
}

func (l *loader) load(s *Settings, tree map[string]any) {
	sections := s.sections()
	for name := range tree {
		if !slices.ContainsFunc(sections, func(sec section) bool { return sec.name == name }) {
			l.addError(&UnknownKeyError{position: l.src.find(name, ""), key: name})
		}
	}
	for _, sec := range sections {
		table, ok := tree[sec.name].(map[string]any)
		if value, given := tree[sec.name]; given && !ok {
			l.addError(&TypeError{position: l.src.find("", sec.name), key: sec.name, value: value, accepted: "a table"})
			continue
		}
		l.loadSection(sec, table)
	}
}

func (l *loader) loadSection(sec section, table map[string]any) {
	for name := range table {
		if !slices.ContainsFunc(sec.keys, func(k key) bool { return k.name == name }) {
			l.addError(&UnknownKeyError{position: l.src.find(sec.name, name), key: sec.name + "." + name})
		}
	}
	for _, k := range sec.keys {
		full := sec.name + "." + k.name
		value, given := table[k.name]
		switch {
		case !given && k.required:
			l.addError(&MissingError{position: l.src.find(sec.name, ""), key: full, accepted: k.value.accepted()})
		case !given:
			_ = k.value.set(k.value.defaultValue())
		default:
			l.set(sec.name, k, value)
		}
	}
}

func (l *loader) set(section string, k key, value any) {
	position, full := l.src.find(section, k.name), section+"."+k.name
	switch k.value.set(value) {
	case wrongType:
		l.addError(&TypeError{position: position, key: full, value: value, accepted: k.value.accepted()})
	case outOfRange:
		l.addError(&RangeError{position: position, key: full, value: value, accepted: k.value.accepted()})
	case valid:
	}
}
