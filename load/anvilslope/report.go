package anvilslope

import (
	"fmt"
	"io"
)

// Point is a value measured at one size.
type Point struct {
	size  float64
	value float64
}

// Size returns the number, for instance of workers, for which the value was measured.
func (p Point) Size() float64 { return p.size }

// Value returns the measured value in the unit of its series.
func (p Point) Value() float64 { return p.value }

// Series holds one quantity of a role, such as the memory of an entry instance, measured at several sizes.
type Series struct {
	role     string
	quantity string
	per      string
	unit     string
	points   []Point
}

// NewSeries returns an empty series. role is the part of the system that has the cost, quantity what is measured there,
// per what the sizes count, and unit the unit of the values.
func NewSeries(role, quantity, per, unit string) *Series {
	return &Series{role: role, quantity: quantity, per: per, unit: unit}
}

// Add appends the value measured at a size.
func (s *Series) Add(size, value float64) {
	s.points = append(s.points, Point{size: size, value: value})
}

// Points returns the measured values in the order in which they were added. The slice belongs to the series.
func (s *Series) Points() []Point { return s.points }

// Fit returns the straight line with the least squared error: slope is the cost of one more, base the value at size 0.
// ok is false when there are fewer than two points or their sizes don't differ.
func (s *Series) Fit() (slope, base float64, ok bool) {
	n := float64(len(s.points))
	var x, y, xx, xy float64
	for _, p := range s.points {
		x += p.size
		y += p.value
		xx += p.size * p.size
		xy += p.size * p.value
	}
	d := n*xx - x*x
	if n < 2 || d == 0 {
		return 0, 0, false
	}
	slope = (n*xy - x*y) / d
	return slope, (y - slope*x) / n, true
}

// Report holds series in the order in which they were added. The zero Report is empty and ready to use. It is not safe
// for concurrent use.
type Report struct {
	series []*Series
}

// AddSeries adds an empty series and returns it, so that the caller adds the values. The parameters are those of
// NewSeries.
func (r *Report) AddSeries(role, quantity, per, unit string) *Series {
	s := NewSeries(role, quantity, per, unit)
	r.series = append(r.series, s)
	return s
}

// Write prints a row "slope" for each value, then two rows "fit" for each series that can be fitted, and last the
// number of rows "slope". The first of the two rows has the slope of the line, the second one its value at size 0.
func (r *Report) Write(w io.Writer) error {
	rows := 0
	for _, s := range r.series {
		for _, p := range s.points {
			rows++
			if _, err := fmt.Fprintf(w, "slope %s %s %s=%g %.4g %s\n", s.role, s.quantity, s.per, p.size, p.value, s.unit); err != nil {
				return err
			}
		}
	}
	for _, s := range r.series {
		slope, base, ok := s.Fit()
		if !ok {
			continue
		}
		if _, err := fmt.Fprintf(w, "fit %s %s %s %.4g %s\nfit %s %s %s=0 %.4g %s\n",
			s.role, s.quantity, s.per, slope, s.unit, s.role, s.quantity, s.per, base, s.unit); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "slope: rows=%d\n", rows)
	return err
}
