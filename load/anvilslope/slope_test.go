package anvilslope

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"anvilhold.org/entry/anvilcontrol"
)

func line(points ...[2]float64) *Series {
	s := NewSeries("entry", "memory", "worker", "bytes")
	for _, p := range points {
		s.Add(p[0], p[1])
	}
	return s
}

func assertFit(t *testing.T, s *Series, slope, base float64, ok bool) {
	t.Helper()
	gotSlope, gotBase, gotOK := s.Fit()
	if gotSlope != slope || gotBase != base || gotOK != ok {
		t.Errorf("fit has slope %g, base %g, ok %t, want %g, %g, %t", gotSlope, gotBase, gotOK, slope, base, ok)
	}
}

// Guards against a wrong fit, which would become the cost at the target scale in the capacity page.
func TestFit(t *testing.T) {
	t.Run("line", func(t *testing.T) {
		assertFit(t, line([2]float64{1, 5}, [2]float64{2, 7}, [2]float64{4, 11}), 2, 3, true)
	})
	t.Run("flat", func(t *testing.T) { assertFit(t, line([2]float64{1, 5}, [2]float64{3, 5}), 0, 5, true) })
	t.Run("one size", func(t *testing.T) { assertFit(t, line([2]float64{2, 5}, [2]float64{2, 7}), 0, 0, false) })
	t.Run("empty", func(t *testing.T) { assertFit(t, line(), 0, 0, false) })
}

// Guards against changes of the output format: scripts parse its lines, and use the last one to check that the output is
// complete.
func TestWrite(t *testing.T) {
	r := &Report{}
	s := r.AddSeries("entry", "memory", "worker", "bytes")
	s.Add(1, 5)
	s.Add(2, 7)
	var out strings.Builder
	if err := r.Write(&out); err != nil {
		t.Fatal(err)
	}
	const want = "slope entry memory worker=1 5 bytes\nslope entry memory worker=2 7 bytes\n" +
		"fit entry memory worker 2 bytes\nfit entry memory worker=0 3 bytes\nslope: rows=2\n"
	if out.String() != want {
		t.Errorf("output is\n%swant\n%s", out.String(), want)
	}
}

func assertRunning(t *testing.T, a, b []anvilcontrol.RunningTask, same bool) {
	t.Helper()
	equal := len(a) == len(b)
	for i := 0; equal && i < len(a); i++ {
		equal = a[i] == b[i]
	}
	if equal != same {
		t.Errorf("lists are equal: %t, want %t", equal, same)
	}
}

// Guards against stubs whose running tasks change between two lease renewals: the loop would end and adopt runs all the
// time.
func TestRunning(t *testing.T) {
	one := NewPlan(1, WithWorkers(2, 5))
	t.Run("repeated", func(t *testing.T) { assertRunning(t, one.running("worker-00000"), one.running("worker-00000"), true) })
	t.Run("other worker", func(t *testing.T) { assertRunning(t, one.running("worker-00000"), one.running("worker-00001"), false) })
	t.Run("other seed", func(t *testing.T) {
		assertRunning(t, one.running("worker-00000"), NewPlan(2, WithWorkers(2, 5)).running("worker-00000"), false)
	})
}

func assertClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against counting only one direction, which would report about half of each connection's load.
func TestCountingListener(t *testing.T) {
	l, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	defer assertClose(t, l)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer assertClose(t, conn)
		b := make([]byte, 5)
		if _, err := io.ReadFull(conn, b); err == nil {
			_, _ = conn.Write([]byte("abc"))
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer assertClose(t, conn)
	if _, err := conn.Write([]byte("12345")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	if n := l.bytes.Load(); n != 8 {
		t.Errorf("counted %d bytes, want 8", n)
	}
}

// Guards against stubs that don't answer some request of the control loop: a loop that doesn't reach its full state costs
// less than a real one.
func TestHarness(t *testing.T) {
	h, err := open(context.Background(), NewPlan(1, WithWorkers(12, 3), WithTeams(3), WithPeers(2)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := h.close(); err != nil {
			t.Error(err)
		}
	}()
	for _, q := range []request{callRequest, onceRequest, forwardRequest, exchangeRequest, changeRequest} {
		t.Run(q.name, func(t *testing.T) {
			if used, err := h.timePerRequest(10, q.send(h)); err != nil || used <= 0 {
				t.Errorf("%g us per request, error %v, want a positive time and no error", used, err)
			}
		})
	}
}

// Guards against requests that wait forever for a loop that has ended: an interrupted run hung this way.
func TestEnded(t *testing.T) {
	h, err := open(context.Background(), NewPlan(1, WithWorkers(12, 0)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.close(); err != nil {
		t.Fatal(err)
	}
	for _, q := range []request{callRequest, onceRequest, forwardRequest, exchangeRequest, changeRequest} {
		t.Run(q.name, func(t *testing.T) {
			if err := q.send(h)(1); err == nil {
				t.Error("the request to an ended loop returned no error")
			}
		})
	}
}
