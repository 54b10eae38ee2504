package anvilcontract

import (
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilconfig"
)

// Difference is a key with another value in one contract than in another.
type Difference struct {
	key, before, after string
}

// Key returns the key.
func (d Difference) Key() string { return d.key }

// Before returns the value in the first contract.
func (d Difference) Before() string { return d.before }

// After returns the value in the second contract.
func (d Difference) After() string { return d.after }

// Diff returns the differences from one contract to another.
func Diff(before, after anvilconfig.Contract) []Difference {
	var out []Difference
	b, a := values(before), values(after)
	for i, k := range keys() {
		if b[i] != a[i] {
			out = append(out, Difference{key: k.name, before: b[i], after: a[i]})
		}
	}
	return out
}

// values returns the values of a contract in order of the keys.
func values(c anvilconfig.Contract) []string {
	pools := strings.Join(c.Pools(), ",")
	if pools == "" {
		pools = "all"
	}
	return []string{c.Team(), c.Limit().String(), fmt.Sprint(c.Weight()), fmt.Sprint(c.Rate()), fmt.Sprint(c.MaxInFlight()), pools}
}

// Line returns a contract on one line.
func Line(c anvilconfig.Contract) string {
	var parts []string
	v := values(c)
	for i, k := range keys()[1:] {
		parts = append(parts, k.name+" "+v[i+1])
	}
	return strings.Join(parts, ", ")
}
