package anviladmission

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// Demand is what a job needs of a pool.
type Demand struct {
	// cost is the estimated time of all tasks, each times its share of the pool's size in parts per million.
	cost int64
	// path is the estimated time of the longest chain of steps that depend on each other, on which the objective depends.
	path anvilclock.Millis
	// width is, for each dimension, the size of the widest step.
	width anvilsize.Size
}

// DemandOf returns the demand of a job in a pool of a total size.
func DemandOf(spec *anviljob.Spec, total anvilsize.Size) Demand {
	d := Demand{path: spec.CriticalPath(0)}
	for i := range spec.Steps() {
		s := spec.Step(i)
		d.cost += s.Reservation().Dominant(total) * int64(s.Estimate()) * int64(s.Count())
		d.width = d.width.Max(s.Reservation().Scale(int64(s.Count())))
	}
	return d
}

// Cost returns the work of the job, as a share of the pool in parts per million times milliseconds.
func (d Demand) Cost() int64 { return d.cost }

// exceeds reports whether a job takes at least factor times the work of another one, is no narrower in any dimension, and has no
// longer chain of steps.
func (d Demand) exceeds(o Demand, factor int64) bool {
	return d.cost >= o.cost*factor && d.path <= o.path && o.width.Fits(d.width)
}
