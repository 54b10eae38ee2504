package anvillistener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Guards against a new connection that is closed without a response because it has got the file descriptor of a
// connection that was closed while an event for it was waiting.
func TestReusedDescriptors(t *testing.T) {
	s := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Length", "4")
		_, _ = w.Write(body[:4])
	}))
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(t.Context()) })
	var failed []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for range 300 {
				if err := requestOnce(s.Addr()); err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests failed, the first with %v", len(failed), 32*300, failed[0])
	}
}

// requestOnce sends a request on a connection of its own, which both sides close after the response.
func requestOnce(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(res.Body)
	return err
}
