package main

import (
	"fmt"
	"maps"
	"slices"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/lib/anvilwire"
)

// snapshot is a state as names with values, so that two states can be compared.
type snapshot map[string]string

// difference is a name with another value than before; an empty value means that there is none.
type difference struct {
	name, before, after string
}

// String tells the difference on one line.
func (d difference) String() string {
	switch {
	case d.before == "":
		return d.name + " added: " + d.after
	case d.after == "":
		return d.name + " removed, was: " + d.before
	default:
		return d.name + ": " + d.before + " -> " + d.after
	}
}

// differences returns the differences in order of the names.
func differences(before, after snapshot) []difference {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			out = append(out, difference{name: name, before: before[name], after: after[name]})
		}
	}
	return out
}

// configSnapshot leaves the version out, which every change raises.
func configSnapshot(cfg *anvilwire.Config) snapshot {
	p := snapshot{}
	for _, m := range cfg.GetContracts() {
		c := anvilclient.Contract(m)
		p["contract "+c.Team()] = anvilcontract.Line(c)
	}
	for _, k := range cfg.GetKeys() {
		p["key "+short(k.GetHash())] = fmt.Sprintf("role %s, team %q, label %q", k.GetRole(), k.GetTeam(), k.GetLabel())
	}
	for _, l := range cfg.GetLeaves() {
		p["leave mark "+l.GetInstance()] = "set"
	}
	return p
}

// shortHash is long enough to tell the keys of a cell apart.
const shortHash = 12

func short(hash string) string { return hash[:min(len(hash), shortHash)] }

func sizeText(m *anvilwire.Size) string { return anvilclient.Size(m).String() }
