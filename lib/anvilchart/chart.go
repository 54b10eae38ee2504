// Package anvilchart loads, checks and interprets state charts that are written in TOML files.
//
// A chart lists its events, its states and, for each state, what each event does: the next state, a guard that
// must hold and the actions to run. Load rejects a chart with a state that can't be reached, an event that a
// state neither handles nor ignores, or an action or guard that the program doesn't have. Its errors give the
// file and the line.
package anvilchart

import (
	"fmt"
	"strings"
)

// transition is a response of a state to an event. An empty guard always holds.
type transition struct {
	event string
	guard string
	to    string
	do    []string
}

type state struct {
	name   string
	final  bool
	ignore map[string]bool
	on     map[string][]transition
}

// Chart is a state chart that Load has checked. It is immutable and safe for concurrent use.
type Chart struct {
	name   string
	start  string
	events []string
	order  []string
	states map[string]*state
}

// Name returns the name that the file gives the chart.
func (c *Chart) Name() string { return c.name }

// Start returns the initial state of every machine.
func (c *Chart) Start() string { return c.start }

// Events returns the events in the order of the file. The caller owns the slice.
func (c *Chart) Events() []string { return append([]string(nil), c.events...) }

// States returns the states in the order of the file. The caller owns the slice.
func (c *Chart) States() []string { return append([]string(nil), c.order...) }

// Final reports whether the named state is final, which means that it ignores every event. It returns false for
// an unknown state.
func (c *Chart) Final(name string) bool { return c.states[name] != nil && c.states[name].final }

// Machine is the current state of one entity under a chart. It is not safe for concurrent use. NewMachine makes
// one; the zero value isn't usable.
type Machine struct {
	chart *Chart
	state string
}

// NewMachine returns a machine in the initial state of the chart.
func (c *Chart) NewMachine() Machine { return Machine{chart: c, state: c.start} }

// State returns the name of the current state.
func (m *Machine) State() string { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.Final(m.state) }

// Binding maps the names of actions and guards in a chart to functions on an entity of type T.
type Binding[T any] struct {
	actions map[string]func(T)
	guards  map[string]func(T) bool
}

// NewBinding returns a binding of actions and guards by name. It keeps the maps, so the caller must not change
// them.
func NewBinding[T any](actions map[string]func(T), guards map[string]func(T) bool) *Binding[T] {
	return &Binding[T]{actions: actions, guards: guards}
}

// HasAction reports whether the binding has an action with the given name.
func (b *Binding[T]) HasAction(name string) bool { return b.actions[name] != nil }

// HasGuard reports whether the binding has a guard with the given name.
func (b *Binding[T]) HasGuard(name string) bool { return b.guards[name] != nil }

// EventError reports an event for which no transition of the current state applies: all guards failed, or the
// chart doesn't list the event.
type EventError struct {
	chart, state, event string
}

// Chart returns the name of the chart.
func (e *EventError) Chart() string { return e.chart }

// State returns the state of the machine when the event occurred.
func (e *EventError) State() string { return e.state }

// Event returns the name of the event.
func (e *EventError) Event() string { return e.event }

// Error returns a message of one line that names the chart, the event and the state.
func (e *EventError) Error() string {
	return fmt.Sprintf("chart %s: event %s has no transition that applies in state %s", e.chart, e.event, e.state)
}

// Fire applies an event to the machine of entity v. The first transition whose guard holds sets the state, and
// then its actions run in order. An event that the state ignores, and any event in a final state, changes
// nothing. When no transition applies, Fire returns an *EventError and the state stays as it was. The chart must
// have been loaded with the names of b, so that b has every action and guard of the chart.
func Fire[T any](m *Machine, b *Binding[T], event string, v T) error {
	s := m.chart.states[m.state]
	if s.final || s.ignore[event] {
		return nil
	}
	for _, t := range s.on[event] {
		if t.guard != "" && !b.guards[t.guard](v) {
			continue
		}
		m.state = t.to
		for _, name := range t.do {
			b.actions[name](v)
		}
		return nil
	}
	return &EventError{chart: m.chart.name, state: m.state, event: event}
}

// Dot returns the chart as a graph in the DOT language of Graphviz.
func (c *Chart) Dot() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n\trankdir=LR\n", c.name)
	for _, name := range c.order {
		shape := "box"
		if c.states[name].final {
			shape = "doublecircle"
		}
		fmt.Fprintf(&b, "\t%q [shape=%s]\n", name, shape)
	}
	for _, name := range c.order {
		for _, event := range c.events {
			for _, t := range c.states[name].on[event] {
				label := t.event
				if t.guard != "" {
					label += " [" + t.guard + "]"
				}
				if len(t.do) > 0 {
					label += " / " + strings.Join(t.do, ", ")
				}
				fmt.Fprintf(&b, "\t%q -> %q [label=%q]\n", name, t.to, label)
			}
		}
	}
	b.WriteString("}\n")
	return b.String()
}
