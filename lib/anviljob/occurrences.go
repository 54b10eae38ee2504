package anviljob

import (
	"fmt"
	"slices"
)

// Occurrences is a set of numbers of occurrences, kept as ranges: a job's occurrences end mostly in order. The zero value is
// empty.
type Occurrences struct {
	// ranges are ascending, don't touch each other, and exclude their second number.
	ranges [][2]int
}

// ParseOccurrences returns the set of some ranges, each of which excludes its second number. They must be ascending, apart from
// each other, and within the first count occurrences.
func ParseOccurrences(ranges [][2]int, count int) (*Occurrences, error) {
	next := 0
	for _, r := range ranges {
		if r[0] < next || r[1] <= r[0] || r[1] > count {
			return nil, fmt.Errorf("the range of occurrences from %d to %d does not belong here", r[0], r[1])
		}
		next = r[1] + 1
	}
	return &Occurrences{ranges: slices.Clone(ranges)}, nil
}

// search returns the position of the first range that ends after n.
func (o *Occurrences) search(n int) int {
	i, _ := slices.BinarySearchFunc(o.ranges, n, func(r [2]int, n int) int {
		if r[1] <= n {
			return -1
		}
		return 1
	})
	return i
}

// Contains reports whether an occurrence is in the set.
func (o *Occurrences) Contains(n int) bool {
	i := o.search(n)
	return i < len(o.ranges) && o.ranges[i][0] <= n
}

// Add adds an occurrence, which must not be negative.
func (o *Occurrences) Add(n int) {
	i := o.search(n)
	if i < len(o.ranges) && o.ranges[i][0] <= n {
		return
	}
	before, after := i > 0 && o.ranges[i-1][1] == n, i < len(o.ranges) && o.ranges[i][0] == n+1
	switch {
	case before && after:
		o.ranges[i-1][1] = o.ranges[i][1]
		o.ranges = slices.Delete(o.ranges, i, i+1)
	case before:
		o.ranges[i-1][1]++
	case after:
		o.ranges[i][0]--
	default:
		o.ranges = slices.Insert(o.ranges, i, [2]int{n, n + 1})
	}
}

// Missing returns the first occurrence, from n on, that is not in the set.
func (o *Occurrences) Missing(n int) int {
	if i := o.search(n); i < len(o.ranges) && o.ranges[i][0] <= n {
		return o.ranges[i][1]
	}
	return n
}

// Empty reports whether the set has no occurrence.
func (o *Occurrences) Empty() bool { return len(o.ranges) == 0 }

// Ranges returns the set in the form that ParseOccurrences takes. The caller must not change it.
func (o *Occurrences) Ranges() [][2]int { return o.ranges }
