package anvilchart_test

import (
	"fmt"

	"anvilhold.org/lib/anvilchart"
)

const lampChart = `
name   = "lamp"
start  = "off"
events = ["press"]

[[state.off.on]]
event = "press"
guard = "powered"
to    = "on"
do    = ["log"]

[[state.on.on]]
event = "press"
to    = "off"
do    = ["log"]
`

func ExampleLoad() {
	binding := anvilchart.NewBinding(
		map[string]func(string){"log": func(name string) { fmt.Println(name, "was pressed") }},
		map[string]func(string) bool{"powered": func(name string) bool { return name != "broken" }},
	)
	c, err := anvilchart.Load("lamp.toml", lampChart, binding)
	if err != nil {
		fmt.Println(err)
		return
	}
	m := c.NewMachine()
	fmt.Println(anvilchart.Fire(&m, binding, "press", "desk"), m.State())
	m = c.NewMachine()
	fmt.Println(anvilchart.Fire(&m, binding, "press", "broken"))
	// Output:
	// desk was pressed
	// <nil> on
	// chart lamp: event press has no transition that applies in state off
}
