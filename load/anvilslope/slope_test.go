package anvilslope

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"anvilhold.org/entry/anvilcontrol"
)

func seriesOf(points ...[2]float64) *Series {
	s := NewSeries("entry", "memory", "worker", "bytes")
	for _, p := range points {
		s.Add(p[0], p[1])
	}
	return s
}

func checkFit(t *testing.T, s *Series, slope, base float64, ok bool) {
	t.Helper()
	gotSlope, gotBase, gotOK := s.Fit()
	if gotSlope != slope || gotBase != base || gotOK != ok {
		t.Errorf("fit is %g, %g, %t, not %g, %g, %t", gotSlope, gotBase, gotOK, slope, base, ok)
	}
}

// Guards against a wrong line, from which the capacity page would derive wrong costs at the target scale.
func TestFit(t *testing.T) {
	t.Run("line", func(t *testing.T) {
		checkFit(t, seriesOf([2]float64{1, 5}, [2]float64{2, 7}, [2]float64{4, 11}), 2, 3, true)
	})
	t.Run("flat", func(t *testing.T) { checkFit(t, seriesOf([2]float64{1, 5}, [2]float64{3, 5}), 0, 5, true) })
	t.Run("one size", func(t *testing.T) { checkFit(t, seriesOf([2]float64{2, 5}, [2]float64{2, 7}), 0, 0, false) })
	t.Run("empty", func(t *testing.T) { checkFit(t, seriesOf(), 0, 0, false) })
}

// Programs parse the rows by position and tell by the last line that the output is complete.
func TestWrite(t *testing.T) {
	r := &Report{}
	s := r.AddSeries("entry", "memory", "worker", "bytes")
	s.Add(1, 5)
	s.Add(2, 7)
	var out strings.Builder
	if err := r.Write(&out); err != nil {
		t.Fatal(err)
	}
	const wantOutput = "slope entry memory worker=1 5 bytes\nslope entry memory worker=2 7 bytes\n" +
		"fit entry memory worker 2 bytes\nfit entry memory worker=0 3 bytes\nslope: rows=2\n"
	if out.String() != wantOutput {
		t.Errorf("output is\n%sexpected\n%s", out.String(), wantOutput)
	}
}

func checkRunningTasks(t *testing.T, a, b []anvilcontrol.RunningTask, same bool) {
	t.Helper()
	equal := len(a) == len(b)
	for i := 0; equal && i < len(a); i++ {
		equal = a[i] == b[i]
	}
	if equal != same {
		t.Errorf("lists equal: %t, not %t", equal, same)
	}
}

// Guards against a list of running tasks that changes between two renewals of a worker's lease: the loop would take
// runs as ended and adopt others at every renewal, and the measured cost would be too high.
func TestRunningTasks(t *testing.T) {
	plan := NewPlan(1, WithWorkers(2, 5))
	t.Run("repeated", func(t *testing.T) {
		checkRunningTasks(t, plan.runningTasks("worker-00000"), plan.runningTasks("worker-00000"), true)
	})
	t.Run("other worker", func(t *testing.T) {
		checkRunningTasks(t, plan.runningTasks("worker-00000"), plan.runningTasks("worker-00001"), false)
	})
	t.Run("other seed", func(t *testing.T) {
		checkRunningTasks(t, plan.runningTasks("worker-00000"), NewPlan(2, WithWorkers(2, 5)).runningTasks("worker-00000"), false)
	})
}

func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against counting the bytes of one direction only, which would report too little for every connection.
func TestCountingListener(t *testing.T) {
	l, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, l)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer closeOrFail(t, conn)
		b := make([]byte, 5)
		if _, err := io.ReadFull(conn, b); err == nil {
			_, _ = conn.Write([]byte("abc"))
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, conn)
	if _, err := conn.Write([]byte("12345")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	if n := l.bytes.Load(); n != 8 {
		t.Errorf("%d bytes counted, not 8", n)
	}
}

// Guards against stand-ins that leave a request of the control loop unanswered: a loop that doesn't reach its full
// state costs less than a real one.
func TestHarness(t *testing.T) {
	h, err := startHarness(context.Background(), NewPlan(1, WithWorkers(12, 3), WithTeams(3), WithPeers(2)))
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
			if cpu, err := h.cpuPerRequest(10, q.send(h)); err != nil || cpu <= 0 {
				t.Errorf("%g us per request, error %v", cpu, err)
			}
		})
	}
}

// Guards against requests that wait forever for a reply of a loop that has ended. An interrupted run hung this way.
func TestRequestsAfterLoopEnds(t *testing.T) {
	h, err := startHarness(context.Background(), NewPlan(1, WithWorkers(12, 0)))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.close(); err != nil {
		t.Fatal(err)
	}
	for _, q := range []request{callRequest, onceRequest, forwardRequest, exchangeRequest, changeRequest} {
		t.Run(q.name, func(t *testing.T) {
			if err := q.send(h)(1); err == nil {
				t.Error("a request to an ended loop returned no error")
			}
		})
	}
}
