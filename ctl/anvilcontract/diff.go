package anvilcontract

import (
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilconfig"
)

// Difference is a key of contract files whose value differs between two contracts.
type Difference struct {
	key, before, after string
}

// Key returns the name of the key.
func (d Difference) Key() string { return d.key }

// Before returns the value in the first contract, formatted as text.
func (d Difference) Before() string { return d.before }

// After returns the value in the second contract, formatted as text.
func (d Difference) After() string { return d.after }

// Diff returns the keys whose values differ, in the order team, limit, weight, rate, flight, pools. It returns nil if
// there are none.
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

// values returns the values of a contract in the order of keys.
func values(c anvilconfig.Contract) []string {
	pools := strings.Join(c.Pools(), ",")
	if pools == "" {
		pools = "all"
	}
	return []string{c.Team(), c.Limit().String(), fmt.Sprint(c.Weight()), fmt.Sprint(c.Rate()), fmt.Sprint(c.MaxInFlight()), pools}
}

// FormatLine formats the values of a contract, except the team, on one line.
func FormatLine(c anvilconfig.Contract) string {
	var parts []string
	v := values(c)
	for i, k := range keys()[1:] {
		parts = append(parts, k.name+" "+v[i+1])
	}
	return strings.Join(parts, ", ")
}
