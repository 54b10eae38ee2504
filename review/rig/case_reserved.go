package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["reserved"] = playReserved }

// playReserved: one large job comes that needs all accelerators of three minions of kind b at once, while tasks that last use those
// of one of the three. Small jobs that need kind b have to run on the two others meanwhile, which are free.
func playReserved(s *site, trouble bool) ([]string, error) {
	const (
		minions  = 12
		kindB    = 3
		gpus     = 8
		interval = 250 * time.Millisecond
		traffic  = 12 * time.Second
		finish   = 14 * time.Second // finish_s
		idle     = 3 * time.Second  // for which a job may have nothing running after finish
	)
	for i := range minions {
		kind := "a"
		if i < kindB {
			kind = "b"
		}
		if _, err := s.addMinion(shape{kind: kind, rack: fmt.Sprintf("r1-%d", 1+i/4), cpu: 64000, memory: 262144, gpu: gpus}, nil); err != nil {
			return nil, err
		}
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
	s.submit(0, newID(), "lasting", step{"count": gpus, "cpu": 2000, "memory_request_mb": 256, "gpu": 1, "estimated_ms": 1000, "requirements": "b", "long_running": true})
	for end := time.Now().Add(10 * time.Second); s.running() < gpus; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("%d tasks have begun", s.running())
		}
	}
	var accepted []string
	begin := time.Now()
	for i := 0; time.Since(begin) < traffic; i++ {
		if id := newID(); s.submit(i, id, "work=300", step{"count": 1, "cpu": 5600, "memory_request_mb": 256, "gpu": 1, "estimated_ms": 300, "requirements": "b"}) {
			accepted = append(accepted, id)
		}
		if trouble && i == 8 {
			s.rec.log("the large job comes")
			s.submit(i, newID(), "work=20000 gang", step{"count": kindB, "cpu": 31000, "memory_request_mb": 1024, "gpu": gpus, "estimated_ms": 20000, "requirements": "b", "gang": true})
		}
		time.Sleep(interval)
	}
	s.rec.log("the traffic has ended;", len(accepted), "small jobs were accepted")
	if len(accepted) < 20 {
		return nil, fmt.Errorf("%d jobs accepted", len(accepted))
	}
	time.Sleep(finish)
	// A job breaks the rule if nothing of it has run before the end of idle, and two minions could take it all the while.
	begun := s.begun()
	free := s.free()
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		free = min(free, s.freeOf("b"))
	}
	after := s.begun()
	var out []string
	for i, id := range accepted {
		state := s.state(s.nodes[i%len(s.nodes)], id)
		if !begun[id] && !after[id] && state != "completed" && free >= 2 {
			out = append(out, fmt.Sprintf("LOST: job %s is %q and has nothing running %v after the end of the traffic, while %d minions of kind b are free, and %d of %d accelerators are in use",
				id, state, finish+idle, free, gpus, minions*gpus))
		}
	}
	return out, nil
}

// begun returns the ids of the jobs of which a task has begun.
func (s *site) begun() map[string]bool {
	out := map[string]bool{}
	for _, e := range s.rec.snapshot() {
		id, _, _ := strings.Cut(e.task, ".")
		out[id] = true
	}
	return out
}

// free returns the number of minions on which nothing runs, freeOf that of a kind.
func (s *site) free() int { return s.freeOf("") }

func (s *site) freeOf(kind string) int {
	n := 0
	for _, m := range s.minions {
		if l := m.current(); l != nil && (kind == "" || l.shape.kind == kind) {
			l.mu.Lock()
			if len(l.runs) == 0 {
				n++
			}
			l.mu.Unlock()
		}
	}
	return n
}

// has reports whether a task runs in this process.
func (l *life) has(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.runs[task]
	return ok
}
