package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["waiting"] = playWaiting }

// playWaiting: a minion is lost for good while starts are on their way to it. The jobs of these starts have not begun, so
// the queue's count has to hold them.
func playWaiting(s *site, trouble bool) ([]string, error) {
	const (
		// A job counts as accepted long ago after visible_ms + 2 s.
		settled  = 5 * time.Second
		interval = 80 * time.Millisecond
		sample   = 250 * time.Millisecond
	)
	var all []*minion
	for i := range 8 {
		m, err := s.addMinion(shape{kind: "a", rack: fmt.Sprintf("r1-%d", 1+i/4), cpu: 16000, memory: 65536}, nil)
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
	accepted := map[string]time.Time{}
	results, stop := make(chan string, 1000), make(chan struct{})
	go func() {
		defer close(results)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			id := newID()
			if s.submit(i, id, "work=700", step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "estimated_ms": 700}) {
				results <- id
			}
		}
	}()
	begin := time.Now()
	crashed := false
	var out []string
	samples := 0
	for next := begin; time.Since(begin) < 16*time.Second; next = next.Add(sample) {
		time.Sleep(time.Until(next))
		for len(results) > 0 {
			accepted[<-results] = time.Now()
		}
		if trouble && !crashed && time.Since(begin) > 3*time.Second {
			starts := s.rec.snapshot()
			last := starts[len(starts)-1].minion
			for _, m := range all {
				if m.id == last {
					m.crash(true)
				}
			}
			crashed = true
		}
		for _, n := range s.nodes {
			sent := time.Now()
			count := s.waiting(n)
			if count < 0 {
				continue
			}
			samples++
			begun := map[string]bool{}
			for _, e := range s.rec.snapshot() {
				id, _, _ := strings.Cut(e.task, ".")
				begun[id] = true
			}
			unbegun := 0
			for id, at := range accepted {
				if sent.Sub(at) > settled && !begun[id] {
					unbegun++
				}
			}
			s.rec.log("queue at", n.name, "answered waiting", count, "accepted before and not begun", unbegun)
			if 2*count < unbegun {
				out = append(out, fmt.Sprintf("MIXED: %s gives %d as waiting, while %d jobs that were accepted over 5 s before have not begun", n.name, count, unbegun))
			}
		}
	}
	close(stop)
	if samples < 100 || len(accepted) < 50 {
		return nil, fmt.Errorf("%d counts, %d jobs", samples, len(accepted))
	}
	return out, nil
}
