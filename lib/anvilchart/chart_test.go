package anvilchart

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/internal/anvilassert"
)

const doorChart = `name   = "door"
start  = "closed"
events = ["open", "close", "lock"]

[state.closed]
ignore = ["close"]
[[state.closed.on]]
event = "open"
guard = "allowed"
to    = "opened"
do    = ["ring", "count"]
[[state.closed.on]]
event = "lock"
to    = "locked"

[state.opened]
ignore = ["open", "lock"]
[[state.opened.on]]
event = "close"
to    = "closed"

[state.locked]
final = true
`

type door struct {
	allowed bool
	log     []string
}

func binding() *Binding[*door] {
	return NewBinding(map[string]func(*door){
		"ring":  func(d *door) { d.log = append(d.log, "ring") },
		"count": func(d *door) { d.log = append(d.log, "count") },
	}, map[string]func(*door) bool{
		"allowed": func(d *door) bool { return d.allowed },
	})
}

// Guards against an error in a chart file that Load misses or reports at the wrong line.
func TestLoadErrors(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new string // text of doorChart and its replacement
		line     int
		reason   string
	}{
		{"syntax", `name   = "door"`, `name = `, 1, "expected value"},
		{"value of the wrong type", `final = true`, `final = "yes"`, 23, "incompatible types"},
		{"no name", `name   = "door"`, ``, 1, "name is missing"},
		{"no events", `events = ["open", "close", "lock"]`, ``, 1, "events is missing"},
		{"event listed twice", `["open", "close", "lock"]`, `["open", "close", "lock", "open"]`, 3, "listed twice"},
		{"unknown start state", `start  = "closed"`, `start = "none"`, 2, `start state "none" does not exist`},
		{"unknown key", `guard = "allowed"`, `check = "allowed"`, 9, "unknown key state.closed.on.check"},
		{"unknown key of a state", `final = true`, `fin = true`, 23, "unknown key state.locked.fin"},
		{"unknown key at the top", `start  = "closed"`, "start = \"closed\"\nstop = 1", 3, "unknown key stop"},
		{"ignores unknown event", `ignore = ["close"]`, `ignore = ["close", "burn"]`, 6, "ignores unknown event burn"},
		{"ignores twice", `ignore = ["close"]`, "ignore = [\"close\",\n  \"close\"]", 6, "ignores event close twice"},
		{"handles unknown event", `event = "close"`, `event = "burn"`, 19, `handles unknown event "burn"`},
		{"no event", `event = "close"`, ``, 18, `handles unknown event ""`},
		{"event not handled", `ignore = ["open", "lock"]`, `ignore = ["open"]`, 16, "neither handles nor ignores event lock"},
		{"handles and ignores an event", `ignore = ["open", "lock"]`, `ignore = ["open", "close", "lock"]`, 17, "both handles and ignores event close"},
		{"unknown target", `to    = "opened"`, `to = "none"`, 10, "leads to unknown state none"},
		{"state without transitions", "[state.locked]\nfinal = true", "[state.locked]", 22, "state locked neither handles nor ignores event open"},
		{"unknown guard", `guard = "allowed"`, `guard = "none"`, 9, "unknown guard none"},
		{"unknown action", `["ring", "count"]`, `["ring", "none"]`, 11, "unknown action none"},
		{"final with transitions", "final = true", "final = true\nignore = [\"open\"]", 22, "final state locked has transitions"},
		{"unreachable state", `to    = "opened"`, `to = "closed"`, 16, "state opened can't be reached"},
		{"unreachable transition", `event = "lock"`, "event = \"lock\"\n[[state.closed.on]]\nevent = \"lock\"", 15, "on event lock can't be reached"},
		{"same guard twice", `event = "lock"`, "event = \"open\"\nguard = \"allowed\"", 13, "on event open can't be reached"},
	} {
		t.Run(c.name, func(t *testing.T) {
			anvilassert.True(t, strings.Contains(doorChart, c.old), "the chart has no %q", c.old)
			_, err := Load("door.toml", strings.Replace(doorChart, c.old, c.new, 1), binding())
			var fe *FileError
			anvilassert.True(t, errors.As(err, &fe), "got error %v", err)
			anvilassert.True(t, strings.Contains(fe.Error(), c.reason), "got %q, want %q", fe, c.reason)
			anvilassert.Equal(t, "line of "+fe.Error(), fe.Line(), c.line)
			anvilassert.Equal(t, "file", fe.File(), "door.toml")
		})
	}
}

func load(t *testing.T, text string, names Names) *Chart {
	t.Helper()
	c, err := Load("door.toml", text, names)
	anvilassert.NoError(t, err)
	return c
}

// Guards against transitions that do something other than what the file says.
func TestFire(t *testing.T) {
	c := load(t, doorChart, binding())
	fire := func(d *door, events ...string) (*Machine, error) {
		m := c.NewMachine()
		for _, e := range events {
			if err := Fire(&m, binding(), e, d); err != nil {
				return &m, err
			}
		}
		return &m, nil
	}
	t.Run("guard holds", func(t *testing.T) {
		d := &door{allowed: true}
		m, err := fire(d, "open")
		anvilassert.NoError(t, err)
		anvilassert.Equal(t, "state", m.State(), "opened")
		anvilassert.Equal(t, "actions", d.log, []string{"ring", "count"})
	})
	t.Run("guard doesn't hold", func(t *testing.T) {
		m, err := fire(&door{}, "open")
		var ee *EventError
		anvilassert.True(t, errors.As(err, &ee), "got error %v", err)
		anvilassert.Equal(t, "error", []string{ee.Chart(), ee.State(), ee.Event()}, []string{"door", "closed", "open"})
		anvilassert.True(t, strings.Contains(err.Error(), "open"), "got %q", err)
		anvilassert.Equal(t, "state", m.State(), "closed")
	})
	t.Run("ignored", func(t *testing.T) {
		m, err := fire(&door{}, "close")
		anvilassert.NoError(t, err)
		anvilassert.Equal(t, "state", m.State(), "closed")
	})
	t.Run("final", func(t *testing.T) {
		m, err := fire(&door{}, "lock", "open", "burn")
		anvilassert.NoError(t, err)
		anvilassert.True(t, m.Final(), "state %s is not final", m.State())
	})
	t.Run("event that the chart doesn't list", func(t *testing.T) {
		_, err := fire(&door{}, "burn")
		anvilassert.True(t, err != nil, "no error")
	})
	t.Run("transition without a target keeps the state", func(t *testing.T) {
		c := load(t, strings.Replace(doorChart, "event = \"close\"\nto    = \"closed\"", "event = \"close\"\ndo = [\"ring\"]", 1), binding())
		m, d := c.NewMachine(), &door{allowed: true}
		anvilassert.NoError(t, Fire(&m, binding(), "open", d))
		anvilassert.NoError(t, Fire(&m, binding(), "close", d))
		anvilassert.Equal(t, "state", m.State(), "opened")
		anvilassert.Equal(t, "actions", d.log, []string{"ring", "count", "ring"})
	})
}

// Guards against accessors and a graph that omit something.
func TestChart(t *testing.T) {
	c := load(t, doorChart, nil)
	t.Run("accessors", func(t *testing.T) {
		anvilassert.Equal(t, "name", c.Name(), "door")
		anvilassert.Equal(t, "start", c.Start(), "closed")
		anvilassert.Equal(t, "events", c.Events(), []string{"open", "close", "lock"})
		anvilassert.Equal(t, "states", c.States(), []string{"closed", "opened", "locked"})
		anvilassert.True(t, c.Final("locked") && !c.Final("opened") && !c.Final("none"), "Final is wrong for a state")
	})
	t.Run("dot", func(t *testing.T) {
		for _, line := range []string{
			`"closed" [shape=box]`, `"locked" [shape=doublecircle]`,
			`"closed" -> "opened" [label="open [allowed] / ring, count"]`, `"opened" -> "closed" [label="close"]`,
		} {
			anvilassert.True(t, strings.Contains(c.Dot(), line), "%s is missing in\n%s", line, c.Dot())
		}
	})
}

// Guards against a loaded chart that doesn't handle one of its events.
func TestComplete(t *testing.T) {
	c := load(t, doorChart, binding())
	rapid.Check(t, func(t *rapid.T) {
		m, d := c.NewMachine(), &door{allowed: true}
		for _, e := range rapid.SliceOf(rapid.SampledFrom(c.Events())).Draw(t, "events") {
			anvilassert.NoError(t, Fire(&m, binding(), e, d))
			anvilassert.True(t, slices.Contains(c.States(), m.State()), "unknown state %q", m.State())
		}
	})
}

// Guards against files that crash the loader, and against charts that pass its checks although a state lacks a
// transition.
func FuzzLoad(f *testing.F) {
	f.Add(doorChart)
	f.Add(strings.Replace(doorChart, `final = true`, `ignore = ["open"]`, 1))
	f.Add(`state = 1`)
	f.Add("name = \"x\"\nstart = \"a\"\nevents = [\"e\"]\n[state]\na = {ignore = [\"e\"]}\n")
	f.Add("name = \"x\"\nstart = \"a\"\nevents = [\"e\"]\n[state.\"a\"]\non = [{event = \"e\", do = [\"r\"]}]\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Load("fuzz.toml", text, nil)
		if err != nil {
			var fe *FileError
			anvilassert.True(t, errors.As(err, &fe), "got error %v", err)
			anvilassert.True(t, fe.Line() >= 1 && fe.Line() <= 1+strings.Count(text, "\n"), "line %d of %d", fe.Line(), 1+strings.Count(text, "\n"))
			return
		}
		for _, name := range c.States() {
			s := c.states[name]
			for _, e := range c.Events() {
				anvilassert.True(t, s.final || s.ignore[e] || len(s.on[e]) > 0, "state %q lacks event %q", name, e)
			}
		}
	})
}
