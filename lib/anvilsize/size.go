// Package anvilsize represents amounts of processor, memory and accelerators.
package anvilsize

import (
	"fmt"
	"strconv"
	"strings"
)

// Dimension is a kind of resource.
type Dimension int

// The dimensions of a Size; New gives their units.
const (
	CPU Dimension = iota
	Memory
	Accel
	dimensions
)

// String returns the name that settings and messages use: cpu, memory or accel.
func (d Dimension) String() string { return [...]string{"cpu", "memory", "accel"}[d] }

// Dimensions returns all dimensions in order. The caller owns the slice.
func Dimensions() []Dimension { return []Dimension{CPU, Memory, Accel} }

// Size is an amount of processor (millicores), memory (MiB) and accelerators (units). The zero value is empty.
// Sizes are compared with ==.
type Size struct {
	amount [dimensions]int64
}

// New returns a Size of cpu millicores, memory MiB and accel accelerators.
func New(cpu, memory, accel int64) Size {
	return Size{amount: [dimensions]int64{cpu, memory, accel}}
}

// CPU returns the amount of processor in millicores.
func (s Size) CPU() int64 { return s.amount[CPU] }

// Memory returns the amount of memory in MiB.
func (s Size) Memory() int64 { return s.amount[Memory] }

// Accel returns the number of accelerators.
func (s Size) Accel() int64 { return s.amount[Accel] }

// In returns the amount in dimension d, in the unit of the dimension.
func (s Size) In(d Dimension) int64 { return s.amount[d] }

// Add returns s + o.
func (s Size) Add(o Size) Size {
	for i := range s.amount {
		s.amount[i] += o.amount[i]
	}
	return s
}

// Sub returns s − o. Amounts can become negative.
func (s Size) Sub(o Size) Size {
	for i := range s.amount {
		s.amount[i] -= o.amount[i]
	}
	return s
}

// Scale returns s with every amount multiplied by n.
func (s Size) Scale(n int64) Size {
	for i := range s.amount {
		s.amount[i] *= n
	}
	return s
}

// Ratio returns s × num / den, truncated to whole units. It panics when den is 0.
func (s Size) Ratio(num, den int64) Size {
	for i := range s.amount {
		s.amount[i] = s.amount[i] * num / den
	}
	return s
}

// Max returns the larger of both amounts in each dimension.
func (s Size) Max(o Size) Size {
	for i := range s.amount {
		s.amount[i] = max(s.amount[i], o.amount[i])
	}
	return s
}

// Min returns the smaller of both amounts in each dimension.
func (s Size) Min(o Size) Size {
	for i := range s.amount {
		s.amount[i] = min(s.amount[i], o.amount[i])
	}
	return s
}

// Fits reports whether s is at most o in every dimension.
func (s Size) Fits(o Size) bool {
	for i := range s.amount {
		if s.amount[i] > o.amount[i] {
			return false
		}
	}
	return true
}

// Exceeds returns the first dimension in which s is larger than o, or false when s fits into o.
func (s Size) Exceeds(o Size) (Dimension, bool) {
	for i := range s.amount {
		if s.amount[i] > o.amount[i] {
			return Dimension(i), true
		}
	}
	return 0, false
}

// IsZero reports whether every amount is 0.
func (s Size) IsZero() bool { return s == Size{} }

// Negative reports whether some amount is below 0.
func (s Size) Negative() bool {
	for _, a := range s.amount {
		if a < 0 {
			return true
		}
	}
	return false
}

// InRange reports whether s can be a limit or the capacity of a machine: no amount is negative, or too large to be added up over the
// largest fleet.
func (s Size) InRange() bool {
	for _, a := range s.amount {
		if a < 0 || a > maxAmount {
			return false
		}
	}
	return true
}

// Dominant returns the largest fraction of total that s takes in any dimension, in parts per million. It skips
// the dimensions in which total is 0.
func (s Size) Dominant(total Size) int64 {
	var largest int64
	for i := range s.amount {
		if total.amount[i] > 0 {
			largest = max(largest, s.amount[i]*1_000_000/total.amount[i])
		}
	}
	return largest
}

// String formats s as Parse reads it, for example "500m,256,0".
func (s Size) String() string {
	return fmt.Sprintf("%dm,%d,%d", s.amount[CPU], s.amount[Memory], s.amount[Accel])
}

// Parse reads a text such as "500m,256,0": millicores, MiB and accelerators. A processor amount without "m" is
// in whole cores. Amounts missing at the end are 0. A negative amount, or one above maxAmount, is an error.
func Parse(text string) (Size, error) {
	parts := strings.Split(text, ",")
	if len(parts) > int(dimensions) {
		return Size{}, fmt.Errorf("size %q has more than %d amounts", text, dimensions)
	}
	var s Size
	for i, p := range parts {
		n, err := parseAmount(Dimension(i), strings.TrimSpace(p))
		if err != nil {
			return Size{}, fmt.Errorf("size %q: %w", text, err)
		}
		s.amount[i] = n
	}
	return s, nil
}

// maxAmount keeps the sum over the largest fleet, and the product in Dominant, within an int64.
const maxAmount = 1_000_000_000

func parseAmount(d Dimension, text string) (int64, error) {
	scale := int64(1)
	if d == CPU {
		digits, milli := strings.CutSuffix(text, "m")
		if !milli {
			scale = 1000
		}
		text = digits
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is not a whole number: %q", d, text)
	}
	if n < 0 || n > maxAmount/scale {
		return 0, fmt.Errorf("%s must be between 0 and %d", d, maxAmount/scale)
	}
	return n * scale, nil
}
