package anvilslope

import (
	"fmt"
	"io"
)

// Point is a value that was measured at a size.
type Point struct {
	size  float64
	value float64
}

// Size returns the size in the unit that the series counts, for example workers.
func (p Point) Size() float64 { return p.size }

// Value returns the measured value in the unit of the series.
func (p Point) Value() float64 { return p.value }

// Series is one quantity of a program or connection, measured at several sizes.
type Series struct {
	role     string
	quantity string
	per      string
	unit     string
	points   []Point
}

// NewSeries returns an empty series. The role is the program or its counterpart, per names what the sizes count, and unit
// is that of the values.
func NewSeries(role, quantity, per, unit string) *Series {
	return &Series{role: role, quantity: quantity, per: per, unit: unit}
}

// Add appends a measured value.
func (s *Series) Add(size, value float64) {
	s.points = append(s.points, Point{size: size, value: value})
}

// Points returns the measured values in the order of Add. The slice must not be modified.
func (s *Series) Points() []Point { return s.points }

// Fit returns the slope and the value at size 0 of the straight line with the least squared error. ok is false unless the
// series has values at two different sizes.
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

// Report holds series in the order in which they were added. The zero value is an empty report.
type Report struct {
	series []*Series
}

// AddSeries adds an empty series to the report and returns it. Its parameters are those of NewSeries.
func (r *Report) AddSeries(role, quantity, per, unit string) *Series {
	s := NewSeries(role, quantity, per, unit)
	r.series = append(r.series, s)
	return s
}

// Write writes a line for each value, two lines for each fit, and a last line with the number of values. The first line of
// a fit has the slope and the second the value at size 0.
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
