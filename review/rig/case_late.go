package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["late"] = playLate }

// playLate: the first order to start a task stays without an answer and is carried out 3.5 s later. The second one is
// carried out at once, and the task ends as done. Meanwhile the minion, which is idle, starts again behind a cut from the
// store, under its id. The task may not start again.
func playLate(s *site, trouble bool) ([]string, error) {
	const (
		late     = 3500 * time.Millisecond
		crashAt  = 1500 * time.Millisecond
		down     = 500 * time.Millisecond
		storeCut = 5 * time.Second
	)
	var held atomic.Bool
	for i := range 8 {
		m, err := s.addMinion(shape{kind: "a", rack: fmt.Sprintf("r1-%d", 1+i/4), cpu: 16000, memory: 65536}, nil)
		if err != nil {
			return nil, err
		}
		if trouble {
			m.delayOrder = func(path string) time.Duration {
				if path == "/-/run-start" && held.CompareAndSwap(false, true) {
					return late
				}
				return 0
			}
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
	time.Sleep(8 * time.Second)
	id := newID()
	begin := time.Now()
	if !s.submit(0, id, "work=300", step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 300}) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	task := id + ".0.0.0"
	for noted := false; !noted; time.Sleep(10 * time.Millisecond) {
		if _, noted = s.rec.doneNoted(task); time.Since(begin) > crashAt && !noted {
			return nil, fmt.Errorf("the end was not taken note of in time")
		}
	}
	time.Sleep(time.Until(begin.Add(crashAt)))
	first := s.rec.snapshot()[0]
	if trouble {
		for _, m := range s.minions {
			if m.id != first.minion {
				continue
			}
			old := m.current()
			m.setStoreCut(true)
			m.crash(false)
			time.Sleep(down)
			if err := m.start(old.shape); err != nil {
				return nil, err
			}
			time.AfterFunc(storeCut-down, func() { m.setStoreCut(false) })
		}
	}
	time.Sleep(10 * time.Second)
	s.rec.log("the job is shown as", s.state(s.nodes[0], id))
	at, _ := s.rec.doneNoted(task)
	var out []string
	for _, e := range s.rec.snapshot() {
		if e.task == task && e.at.After(at) {
			out = append(out, fmt.Sprintf("TWICE: task %s run %d started on %s %.1f s after an end done was taken note of", task, e.run, e.minion, e.at.Sub(at).Seconds()))
		}
	}
	return out, nil
}
