package main

import (
	"fmt"
	"time"
)

func init() { cases["quota"] = playQuota }

// playQuota: a minion is cut off from the system and runs on while the operator lowers a tenant's maximum far below what the
// tenant has running. No task of the tenant may start once the new configuration has to be in force.
func playQuota(s *site, trouble bool) ([]string, error) {
	const (
		taskCPU   = 1000
		before    = int64(60_000)
		after     = int64(4_000)
		overage   = 0.1
		applyTime = 2500 * time.Millisecond // config_apply_ms
		cutTime   = 4500 * time.Millisecond
		interval  = 150 * time.Millisecond
	)
	var all []*minion
	for i := range 8 {
		m, err := s.addMinion(shape{kind: "a", rack: fmt.Sprintf("r1-%d", 1+i/4), cpu: 16000, memory: 65536}, nil)
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	s.configure(before)
	for range 3 {
		if err := s.addNode(); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	stop, submitted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(submitted)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			s.submit(i, newID(), "work=20000", step{"count": 1, "cpu": taskCPU, "memory_request_mb": 256, "estimated_ms": 20000})
		}
	}()
	time.Sleep(4 * time.Second)
	heal := func() {}
	if trouble {
		// The minion that has begun a task last gets the next ones, too.
		starts := s.rec.snapshot()
		last := starts[len(starts)-1].minion
		for _, m := range all {
			if m.id == last {
				heal = m.cut()
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.configure(after)
	lowered := time.Now()
	time.Sleep(cutTime - 500*time.Millisecond)
	heal()
	time.Sleep(3 * time.Second)
	close(stop)
	<-submitted
	if s.running() < int64(2*after)/taskCPU {
		return nil, fmt.Errorf("only %d tasks run", s.running())
	}
	var out []string
	for _, e := range s.rec.snapshot() {
		if e.at.Sub(lowered) <= applyTime {
			continue
		}
		used := e.total * taskCPU
		if limit := int64(float64(after)*(1+overage)) + taskCPU; used > limit {
			out = append(out, fmt.Sprintf("QUOTA: task %s run %d started on %s %.1f s after the maximum of %d was acknowledged, and brings the tenant to %d",
				e.task, e.run, e.minion, e.at.Sub(lowered).Seconds(), after, used))
		}
	}
	return out, nil
}

// running returns the number of tasks that run on all minions.
func (s *site) running() int64 {
	n := int64(0)
	for _, m := range s.minions {
		if l := m.current(); l != nil {
			l.mu.Lock()
			n += int64(len(l.runs))
			l.mu.Unlock()
		}
	}
	return n
}
