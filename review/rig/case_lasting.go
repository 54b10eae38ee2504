package main

import (
	"fmt"
	"time"
)

func init() { cases["lasting"] = playLasting }

// playLasting: all minions of a rack lose power for a moment and start again under their ids. A task that lasts and needs
// that rack has to run again soon after.
func playLasting(s *site, trouble bool) ([]string, error) {
	const (
		minions = 14
		perRack = 2
		rack    = "r1-1"
		down    = 2 * time.Second
	)
	var all []*minion
	for i := range minions {
		m, err := s.addMinion(shape{kind: "a", rack: fmt.Sprintf("r1-%d", 1+i/perRack), cpu: 16000, memory: 65536}, nil)
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
	lasting := newID()
	if !s.submit(0, lasting, "lasting", step{"count": 1, "cpu": 2000, "memory_request_mb": 256, "estimated_ms": 1000, "requirements": rack, "long_running": true}) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	stop, submitted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(submitted)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			go s.submit(i, newID(), "work=400", step{"count": 2, "cpu": 500, "memory_request_mb": 256, "estimated_ms": 400, "requirements": rack, "anti_affinity": 1})
		}
	}()
	task := lasting + ".0.0.0"
	for end := time.Now().Add(10 * time.Second); !s.runs(task); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("the lasting task has not begun")
		}
	}
	time.Sleep(4 * time.Second)
	lastRun, disturbed := time.Now(), time.Now()
	if trouble {
		var old []*life
		for _, m := range all[:perRack] {
			old = append(old, m.current())
		}
		// Under this load a hold that acknowledges ends waits at each minion nearly all the time.
		for begin := time.Now(); !old[0].acknowledges() || !old[1].acknowledges(); time.Sleep(time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				return nil, fmt.Errorf("no hold acknowledges ends")
			}
		}
		lastRun = time.Now()
		for _, m := range all[:perRack] {
			m.crash(true)
		}
		time.Sleep(down)
		for i, m := range all[:perRack] {
			old[i].powerOff()
			if err := m.start(old[i].shape); err != nil {
				return nil, err
			}
		}
		disturbed = time.Now()
	}
	longest := s.watchLasting(task, lastRun, disturbed, 20*time.Second)
	close(stop)
	<-submitted
	var out []string
	if longest > idleAllowed {
		out = append(out, fmt.Sprintf("LOST: task %s had nothing running for %.1f s, counted from %v after its last run and %v after the last disruption, while both minions of %s were up",
			task, longest.Seconds(), afterLastRun, calmBefore, rack))
	}
	return out, nil
}

// Spans of the rule on tasks that last: such a task may have nothing running for idleAllowed, counted from afterLastRun
// after its last run and calmBefore after the last disruption.
const (
	afterLastRun = 6 * time.Second
	idleAllowed  = 3 * time.Second
	calmBefore   = 4 * time.Second
)

// watchLasting watches a task that lasts for a time, and returns the longest span in which nothing of it ran that counts for
// the rule.
func (s *site) watchLasting(task string, lastRun, disturbed time.Time, limit time.Duration) time.Duration {
	longest := time.Duration(0)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.runs(task) {
			lastRun = time.Now()
			continue
		}
		from := lastRun.Add(afterLastRun)
		if c := disturbed.Add(calmBefore); c.After(from) {
			from = c
		}
		longest = max(longest, time.Since(from))
	}
	s.rec.log("nothing of task", task, "ran for", longest, "of the time that counts;", idleAllowed, "are allowed")
	return longest
}

// runs reports whether a task runs on some minion.
func (s *site) runs(task string) bool {
	for _, m := range s.minions {
		if l := m.current(); l != nil && l.has(task) {
			return true
		}
	}
	return false
}
