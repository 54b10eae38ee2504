package main

import (
	"fmt"
	"maps"
	"slices"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/lib/anvilwire"
)

// snapshot maps the names of items, such as "worker w1", to texts that describe their state, so that two states can
// be compared.
type snapshot map[string]string

// difference is an item whose state differs between two snapshots. An empty before or after means that the item was
// added or removed.
type difference struct {
	name, before, after string
}

// String formats the difference on one line.
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

// differences returns the items that differ between two snapshots, sorted by name.
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

// configSnapshot leaves out the version, because every change raises it.
func configSnapshot(cfg *anvilwire.Config) snapshot {
	snap := snapshot{}
	for _, m := range cfg.GetContracts() {
		c := anvilclient.ContractFromWire(m)
		snap["contract "+c.Team()] = anvilcontract.FormatLine(c)
	}
	for _, k := range cfg.GetKeys() {
		snap["key "+shortHash(k.GetHash())] = fmt.Sprintf("role %s, team %q, label %q", k.GetRole(), k.GetTeam(), k.GetLabel())
	}
	for _, l := range cfg.GetLeaves() {
		snap["leave mark "+l.GetInstance()] = "set"
	}
	return snap
}

// shortHashLen is the length in hexadecimal digits of printed prefixes of key hashes, enough to distinguish the keys
// of a cell.
const shortHashLen = 12

func shortHash(hash string) string { return hash[:min(len(hash), shortHashLen)] }

func sizeText(m *anvilwire.Size) string { return anvilclient.SizeFromWire(m).String() }
