package anvillistener

import (
	"net"
	"testing"
)

// Guards against connections over the limit that stay open, and against a limit that counts closed ones.
func TestLimitConns(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitConns(raw, 1)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	open := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	open()
	first := <-accepted
	assertClosed(t, open())
	_, _ = first.Close(), first.Close()
	open()
	<-accepted
}
