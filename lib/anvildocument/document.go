// Package anvildocument measures a JSON text before it is decoded. A short text can need many times its size in memory
// when it is decoded.
package anvildocument

import "errors"

// Shape is what a JSON text consists of.
type Shape struct {
	members int
	objects int
	depth   int
}

// Members returns the number of elements of arrays and members of objects.
func (s Shape) Members() int { return s.members }

// Objects returns the number of objects.
func (s Shape) Objects() int { return s.objects }

// Depth returns how deep arrays and objects are nested.
func (s Shape) Depth() int { return s.depth }

// Limits of a Shape. A limit of 0 doesn't apply.
type Limits struct {
	members int
	objects int
	depth   int
}

// NewLimits returns limits of the members, the objects and the depth of a text.
func NewLimits(members, objects, depth int) Limits {
	return Limits{members: members, objects: objects, depth: depth}
}

// The errors of Measure.
var (
	ErrMembers = errors.New("the body has too many fields")
	ErrObjects = errors.New("the body has too many objects")
	ErrDepth   = errors.New("the body is nested too deeply")
)

// Measure returns the shape of a JSON text without decoding it. It stops at the first limit that is exceeded. It doesn't
// check that the text is valid: for other texts the shape is an upper bound of what a decoder meets before it fails.
func Measure(text []byte, limits Limits) (Shape, error) {
	var s Shape
	depth, inString, escaped := 0, false, false
	for _, c := range text {
		if inString {
			switch {
			case escaped:
				escaped = false
			case c == '\\':
				escaped = true
			case c == '"':
				inString = false
			}
			continue
		}
		switch c {
		case '"':
			inString = true
		case '{', '[':
			depth++
			s.depth = max(s.depth, depth)
			s.members++
			if c == '{' {
				s.objects++
			}
		case '}', ']':
			depth--
		case ',':
			s.members++
		}
		if err := limits.check(s); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (l Limits) check(s Shape) error {
	switch {
	case l.members > 0 && s.members > l.members:
		return ErrMembers
	case l.objects > 0 && s.objects > l.objects:
		return ErrObjects
	case l.depth > 0 && s.depth > l.depth:
		return ErrDepth
	default:
		return nil
	}
}
