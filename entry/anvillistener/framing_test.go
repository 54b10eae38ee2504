package anvillistener

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"
)

// Guards against requests whose end a proxy in front may see at another byte: what follows would be another client's request.
func TestAmbiguousFraming(t *testing.T) {
	s := serve(t, http.HandlerFunc(echo))
	for name, text := range map[string]string{
		"lengths that differ":     "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"length and chunks":       "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"signed length":           "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
		"empty length":            "POST /a HTTP/1.1\r\nContent-Length:\r\n\r\n",
		"space before the colon":  "POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
		"continued line":          "POST /a HTTP/1.1\r\nA: b\r\n Content-Length: 3\r\n\r\nabc",
		"line feed in a value":    "POST /a HTTP/1.1\r\nA: b\nContent-Length: 3\r\n\r\n",
		"end hidden in a trailer": "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: v\r\n;\r\nPUT /b HTTP/1.1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, s)
			write(t, c, text)
			r := bufio.NewReader(c)
			assertResponse(t, r, http.StatusBadRequest, "")
			if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
				t.Fatalf("after the refusal: %v, want EOF", err)
			}
		})
	}
	t.Run("equal lengths", func(t *testing.T) {
		c := dial(t, s)
		write(t, c, "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3 \r\n\r\nabc")
		assertResponse(t, bufio.NewReader(c), http.StatusOK, "POST abc")
	})
}
