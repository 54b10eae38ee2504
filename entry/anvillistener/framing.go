package anvillistener

import "strings"

// headerScan checks the bytes of a header for lines whose meaning depends on the parser. A proxy in front that read them
// otherwise would see the end of the request elsewhere (RFC 9112, sections 2.2, 5.1 and 5.2).
type headerScan struct {
	// fields is set after the request line.
	fields bool
	inName bool
	last   byte
}

// valid reports whether part, which follows what was scanned before, may belong to a header.
func (h *headerScan) valid(part []byte) bool {
	for _, c := range part {
		switch {
		case c == '\n':
			if h.last != '\r' {
				return false
			}
			h.fields, h.inName = true, true
		case h.inName && (c == ' ' || c == '\t'):
			return false
		case c == ':':
			h.inName = false
		}
		h.last = c
	}
	return true
}

// decimal reports whether a Content-Length consists of digits.
func decimal(value string) bool {
	return value != "" && strings.Trim(value, "0123456789") == ""
}
