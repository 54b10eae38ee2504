package anvilchart

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Names reports which actions and guards the program has. Binding implements it.
type Names interface {
	HasAction(name string) bool
	HasGuard(name string) bool
}

// FileError is an error at a line of a chart file.
type FileError struct {
	file   string
	line   int
	reason string
}

// File returns the file name that was passed to Load.
func (e *FileError) File() string { return e.file }

// Line returns the line of the error, counted from 1.
func (e *FileError) Line() int { return e.line }

// Error returns a message in the form "file:line: reason".
func (e *FileError) Error() string { return fmt.Sprintf("%s:%d: %s", e.file, e.line, e.reason) }

type transitionFile struct {
	Event string   `toml:"event"`
	Guard string   `toml:"guard"`
	To    string   `toml:"to"`
	Do    []string `toml:"do"`
}

type stateFile struct {
	Final  bool             `toml:"final"`
	Ignore []string         `toml:"ignore"`
	On     []transitionFile `toml:"on"`
}

type chartFile struct {
	Name   string               `toml:"name"`
	Start  string               `toml:"start"`
	Events []string             `toml:"events"`
	State  map[string]stateFile `toml:"state"`
}

// Load parses and checks the text of a chart. file is used only in errors, which are of type *FileError. A nil
// names skips the check of actions and guards.
func Load(file, text string, names Names) (*Chart, error) {
	var cf chartFile
	meta, err := toml.Decode(text, &cf)
	if err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, &FileError{file: file, line: pe.Position.Line, reason: pe.Message}
		}
		return nil, typeError(file, err)
	}
	l := &loader{file: file, lines: strings.Split(text, "\n"), names: names}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return nil, l.errorf(l.unknownLine(keys[0]), "unknown key %s", keys[0])
	}
	return l.build(cf, stateOrder(meta))
}

// typeLine matches the line number in the text of an error about a value of the wrong type. The decoder gives
// the number only there.
var typeLine = regexp.MustCompile(`^toml: line (\d+) `)

func typeError(file string, err error) error {
	e := &FileError{file: file, line: 1, reason: err.Error()}
	if m := typeLine.FindStringSubmatch(e.reason); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			e.line, e.reason = n, strings.TrimPrefix(e.reason, m[0])
		}
	}
	return e
}

// stateOrder returns the names of the states in the order of the file.
func stateOrder(meta toml.MetaData) []string {
	var names []string
	seen := map[string]bool{}
	for _, k := range meta.Keys() {
		if len(k) >= 2 && k[0] == "state" && !seen[k[1]] {
			seen[k[1]] = true
			names = append(names, k[1])
		}
	}
	return names
}

type loader struct {
	file  string
	lines []string
	names Names
}

func (l *loader) errorf(line int, format string, args ...any) error {
	return &FileError{file: l.file, line: line, reason: fmt.Sprintf(format, args...)}
}

// find returns the first line, starting at from, that matches the pattern, or from when none does.
func (l *loader) find(from int, pattern string) int {
	re := regexp.MustCompile(pattern)
	for i := from - 1; i < len(l.lines); i++ {
		if re.MatchString(l.lines[i]) {
			return i + 1
		}
	}
	return from
}

func (l *loader) topLine(key string) int { return l.find(1, `^\s*`+key+`\b`) }

func (l *loader) stateLine(name string) int {
	return l.find(1, `^\s*\[+\s*state\.`+regexp.QuoteMeta(name)+`\s*[\].]`)
}

func (l *loader) unknownLine(key toml.Key) int {
	from := 1
	if len(key) > 1 && key[0] == "state" {
		from = l.stateLine(key[1])
	}
	return l.find(from, `\b`+regexp.QuoteMeta(key[len(key)-1])+`\b`)
}

// ignoreLine returns the line of an event in the list of events that a state ignores.
func (l *loader) ignoreLine(name, event string) int {
	return l.find(l.find(l.stateLine(name), `^\s*ignore\b`), `"`+regexp.QuoteMeta(event)+`"`)
}

// transitionLine returns the line of a key of the nth transition of a state, counted from 0. When the transition
// has no such key, it returns the line at which the transition starts.
func (l *loader) transitionLine(name string, n int, key string) int {
	header := regexp.MustCompile(`^\s*\[\[\s*state\.` + regexp.QuoteMeta(name) + `\.on\s*\]\]`)
	for i, text := range l.lines {
		if !header.MatchString(text) {
			continue
		}
		if n > 0 {
			n--
			continue
		}
		for k := i + 1; k < len(l.lines) && !strings.HasPrefix(strings.TrimSpace(l.lines[k]), "["); k++ {
			if word, _, ok := strings.Cut(l.lines[k], "="); ok && strings.TrimSpace(word) == key {
				return k + 1
			}
		}
		return i + 1
	}
	return l.stateLine(name)
}

func (l *loader) build(cf chartFile, names []string) (*Chart, error) {
	if cf.Name == "" {
		return nil, l.errorf(1, "name is missing")
	}
	if len(cf.Events) == 0 {
		return nil, l.errorf(1, "events is missing or empty")
	}
	if _, ok := cf.State[cf.Start]; !ok {
		return nil, l.errorf(l.topLine("start"), "start state %q does not exist", cf.Start)
	}
	c := &Chart{name: cf.Name, start: cf.Start, events: cf.Events, order: names, states: map[string]*state{}}
	events := map[string]bool{}
	for _, e := range cf.Events {
		if events[e] {
			return nil, l.errorf(l.topLine("events"), "event %s is listed twice", e)
		}
		events[e] = true
	}
	for _, name := range names {
		s, err := l.buildState(name, cf, events)
		if err != nil {
			return nil, err
		}
		c.states[name] = s
	}
	if err := l.checkReachable(c); err != nil {
		return nil, err
	}
	return c, nil
}

func (l *loader) buildState(name string, cf chartFile, events map[string]bool) (*state, error) {
	sf := cf.State[name]
	s := &state{name: name, final: sf.Final, ignore: map[string]bool{}, on: map[string][]transition{}}
	if s.final && len(sf.On)+len(sf.Ignore) > 0 {
		return nil, l.errorf(l.stateLine(name), "final state %s has transitions", name)
	}
	for _, e := range sf.Ignore {
		if !events[e] {
			return nil, l.errorf(l.ignoreLine(name, e), "state %s ignores unknown event %s", name, e)
		}
		if s.ignore[e] {
			return nil, l.errorf(l.ignoreLine(name, e), "state %s ignores event %s twice", name, e)
		}
		s.ignore[e] = true
	}
	for n, on := range sf.On {
		t, err := l.buildTransition(name, n, on, cf, events)
		if err != nil {
			return nil, err
		}
		for _, earlier := range s.on[on.Event] {
			if earlier.guard == "" || earlier.guard == t.guard {
				return nil, l.errorf(l.transitionLine(name, n, "event"), "transition of state %s on event %s can't be reached: an earlier one has no guard or the same guard", name, on.Event)
			}
		}
		s.on[on.Event] = append(s.on[on.Event], t)
	}
	if s.final {
		return s, nil
	}
	for _, e := range cf.Events {
		if s.ignore[e] && len(s.on[e]) > 0 {
			return nil, l.errorf(l.ignoreLine(name, e), "state %s both handles and ignores event %s", name, e)
		}
		if !s.ignore[e] && len(s.on[e]) == 0 {
			return nil, l.errorf(l.stateLine(name), "state %s neither handles nor ignores event %s", name, e)
		}
	}
	return s, nil
}

func (l *loader) buildTransition(name string, n int, on transitionFile, cf chartFile, events map[string]bool) (transition, error) {
	to := on.To
	if to == "" {
		to = name
	}
	if !events[on.Event] {
		return transition{}, l.errorf(l.transitionLine(name, n, "event"), "state %s handles unknown event %q", name, on.Event)
	}
	if _, ok := cf.State[to]; !ok {
		return transition{}, l.errorf(l.transitionLine(name, n, "to"), "state %s leads to unknown state %s", name, to)
	}
	if l.names != nil {
		if on.Guard != "" && !l.names.HasGuard(on.Guard) {
			return transition{}, l.errorf(l.transitionLine(name, n, "guard"), "unknown guard %s", on.Guard)
		}
		for _, a := range on.Do {
			if !l.names.HasAction(a) {
				return transition{}, l.errorf(l.transitionLine(name, n, "do"), "unknown action %s", a)
			}
		}
	}
	return transition{event: on.Event, guard: on.Guard, to: to, do: on.Do}, nil
}

func (l *loader) checkReachable(c *Chart) error {
	reached := map[string]bool{c.start: true}
	queue := []string{c.start}
	for len(queue) > 0 {
		s := c.states[queue[0]]
		queue = queue[1:]
		for _, ts := range s.on {
			for _, t := range ts {
				if !reached[t.to] {
					reached[t.to] = true
					queue = append(queue, t.to)
				}
			}
		}
	}
	for _, name := range c.order {
		if !reached[name] {
			return l.errorf(l.stateLine(name), "state %s can't be reached", name)
		}
	}
	return nil
}
