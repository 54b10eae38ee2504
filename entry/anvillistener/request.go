package anvillistener

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// request follows a request while nbhttp parses it. The parser calls it on the goroutine that parses; the methods
// keep what they are told and don't decide.
type request struct {
	nbhttp.Processor
	head *http.Request
	// lines counts the header lines, chunked means a body whose length isn't known, and headDone that the header is complete.
	lines    int
	chunked  bool
	headDone bool
	admitted bool // the header has been checked
	// The parser knows the header before it has the last byte of its last line. headEnded is set after that byte, and last is
	// the last byte of what was parsed of the header.
	headEnded bool
	last      byte
	// remaining is what is missing of a body of known length.
	remaining int
	body      int
	complete  bool
	scan      headerScan
	length    string // the Content-Length
	// ambiguous is set if another parser could see the end of the request elsewhere.
	ambiguous bool
}

func newRequest() *request { return &request{Processor: nbhttp.NewServerProcessor()} }

// begin forgets the request before.
func (r *request) begin() {
	*r = request{Processor: r.Processor}
}

// OnMethod implements nbhttp.Processor. The parser skips what isn't a name at the start of a trailer line, and so may find the
// end of a request where step didn't.
func (r *request) OnMethod(p *nbhttp.Parser, method string) {
	if r.complete {
		r.ambiguous = true
	}
	r.head = &http.Request{Method: method, Header: http.Header{}, URL: &url.URL{}}
	r.Processor.OnMethod(p, method)
}

// OnURL implements nbhttp.Processor.
func (r *request) OnURL(p *nbhttp.Parser, uri string) error {
	if u, err := url.ParseRequestURI(uri); err == nil {
		r.head.URL, r.head.RequestURI = u, uri
	}
	return r.Processor.OnURL(p, uri)
}

// OnHeader implements nbhttp.Processor.
func (r *request) OnHeader(p *nbhttp.Parser, key, value string) {
	r.lines++
	switch key {
	case "Host":
		r.head.Host = value
	case "Transfer-Encoding":
		r.chunked = true
	case "Content-Length":
		r.setLength(strings.TrimRight(value, " \t"))
	}
	r.head.Header[key] = append(r.head.Header[key], value)
	r.Processor.OnHeader(p, key, value)
}

func (r *request) setLength(value string) {
	if !decimal(value) || r.length != "" && r.length != value {
		r.ambiguous = true
	}
	r.length = value
}

// OnContentLength implements nbhttp.Processor. The parser calls it at the end of each header; n is -1 without a length.
func (r *request) OnContentLength(p *nbhttp.Parser, n int) {
	r.headDone, r.remaining = true, max(n, 0)
	r.ambiguous = r.ambiguous || r.chunked && r.length != ""
	r.head.ContentLength = int64(n)
	r.Processor.OnContentLength(p, n)
}

// OnBody implements nbhttp.Processor.
func (r *request) OnBody(p *nbhttp.Parser, data []byte) error {
	r.body += len(data)
	return r.Processor.OnBody(p, data)
}

// OnTrailerHeader implements nbhttp.Processor.
func (r *request) OnTrailerHeader(p *nbhttp.Parser, key, value string) {
	r.lines++
	r.Processor.OnTrailerHeader(p, key, value)
}

// OnComplete implements nbhttp.Processor.
func (r *request) OnComplete(p *nbhttp.Parser) {
	r.complete = true
	r.Processor.OnComplete(p)
}

// hasBody reports whether a body follows the header.
func (r *request) hasBody() bool { return r.remaining > 0 || r.chunked }

// bodyFollows reports whether the header has been parsed to its last byte.
func (r *request) bodyFollows() bool { return r.headDone && (r.headEnded || r.last != '\r') }

// step returns how much of data may be parsed at once, so that the parser doesn't go beyond the end of the request. first
// means that data follows what was read before; afterwards it follows the end of a line or of what is missing.
func (r *request) step(data []byte, first bool) int {
	if r.headDone && !r.headEnded {
		r.headEnded = true
		if r.last == '\r' {
			return 1
		}
	}
	if r.remaining > 0 {
		n := min(len(data), r.remaining)
		r.remaining -= n
		return n
	}
	if r.headDone && r.chunked && !first {
		// A body in chunks ends with an empty line.
		if bytes.HasPrefix(data, []byte("\r\n")) {
			return len("\r\n")
		}
		if i := bytes.Index(data, []byte("\n\r\n")); i >= 0 {
			return i + len("\n\r\n")
		}
		return len(data)
	}
	n := len(data)
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		n = i + 1
	}
	r.last = data[n-1]
	return n
}
