package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["kind"] = playKind }

// playKind: a minion of kind b loses power for a moment and starts again under its id as one of kind a, while jobs come
// that require kind b. No start of theirs may reach it then.
func playKind(s *site, trouble bool) ([]string, error) {
	const (
		jobs     = 40
		interval = 150 * time.Millisecond
		before   = 2 * time.Second
		down     = 2500 * time.Millisecond
	)
	var all []*minion
	for i := range 8 {
		kind := "a"
		if i < 2 {
			kind = "b"
		}
		m, err := s.addMinion(shape{kind: kind, rack: fmt.Sprintf("r1-%d", 1+i/4), cpu: 16000, memory: 65536}, nil)
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	s.configure(0)
	for range 3 {
		if err := s.addNode(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	ids := make(chan string, jobs)
	go func() {
		for i := range jobs {
			id := newID()
			if s.submit(i, id, "needs=b work=6000", step{"count": 1, "cpu": 500, "memory_request_mb": 256, "estimated_ms": 6000, "requirements": "b"}) {
				ids <- id
			} else {
				ids <- ""
			}
			time.Sleep(interval)
		}
		close(ids)
	}()
	time.Sleep(before)
	if trouble {
		// The minion of kind b that has begun the most tasks.
		m := busiest(s, all[:2], before)
		old := m.current()
		m.crash(true)
		time.Sleep(down)
		old.powerOff()
		if err := m.start(shape{kind: "a", rack: old.shape.rack, cpu: 16000, memory: 65536}); err != nil {
			return nil, err
		}
	}
	var accepted []string
	for id := range ids {
		if id != "" {
			accepted = append(accepted, id)
		}
	}
	completed := s.awaitCompleted(accepted, 25*time.Second)
	s.rec.log("accepted", len(accepted), "completed", completed)
	if len(accepted) < jobs/2 || completed < len(accepted)/2 {
		return nil, fmt.Errorf("%d jobs accepted, %d completed", len(accepted), completed)
	}
	var out []string
	for _, e := range s.rec.snapshot() {
		if strings.Contains(e.spec, "needs=b") && e.shape.kind != "b" {
			out = append(out, fmt.Sprintf("ROUTE: task %s run %d, which requires b, started on %s of kind %s", e.task, e.run, e.minion, e.shape.kind))
		}
	}
	return out, nil
}

// busiest returns the minion that has begun the most tasks within a time before now.
func busiest(s *site, of []*minion, within time.Duration) *minion {
	counts := map[string]int{}
	for _, e := range s.rec.snapshot() {
		if time.Since(e.at) < within {
			counts[e.minion]++
		}
	}
	best := of[0]
	for _, m := range of {
		if counts[m.id] > counts[best.id] {
			best = m
		}
	}
	return best
}

// awaitCompleted asks for jobs until all are completed or a time has passed, and returns how many are.
func (s *site) awaitCompleted(ids []string, limit time.Duration) int {
	done := map[string]bool{}
	for end := time.Now().Add(limit); len(done) < len(ids) && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i, id := range ids {
			if done[id] {
				continue
			}
			if state := s.state(s.nodes[i%len(s.nodes)], id); state == "completed" {
				s.rec.log("job", id, "is completed")
				done[id] = true
			}
		}
	}
	return len(done)
}
