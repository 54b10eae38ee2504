package anvillistener

// Sizes of the segments of a body, in bytes.
const (
	minSegment = 512
	maxSegment = readSize
)

// segments are the parts of an unfinished body. The parser takes a body of known length in one piece, and would grow a
// buffer for it, whose earlier versions remain until the next collection.
type segments struct {
	list [][]byte
	size int
}

// join returns the body once nothing is missing, and keeps the part otherwise. A body that arrives at once isn't copied.
func (s *segments) join(part []byte, missing int) []byte {
	if missing == 0 && s.size == 0 {
		return part
	}
	s.add(part, missing)
	if missing > 0 {
		return nil
	}
	body := make([]byte, 0, s.size)
	for _, b := range s.list {
		body = append(body, b...)
	}
	*s = segments{}
	return body
}

func (s *segments) add(part []byte, missing int) {
	s.size += len(part)
	for len(part) > 0 {
		if n := len(s.list); n == 0 || len(s.list[n-1]) == cap(s.list[n-1]) {
			s.list = append(s.list, make([]byte, 0, min(max(s.size, minSegment), maxSegment, len(part)+missing)))
		}
		last := &s.list[len(s.list)-1]
		n := min(len(part), cap(*last)-len(*last))
		*last = append(*last, part[:n]...)
		part = part[n:]
	}
}
