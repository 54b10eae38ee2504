package main

import (
	"fmt"
	"time"
)

func init() { cases["record"] = playRecord }

var (
	oneQueue  = []queue{{name: "draft-render", prefix: "/draft/"}}
	oneTenant = []tenant{{name: "studio", keys: []string{"k1", "k2"}, weight: 50}}
)

// playRecord hands in one job of 8 occurrences of 3 steps with 84 tasks, beside small jobs. Without the disruption the
// job has one occurrence.
func playRecord(c *cell, trouble bool) (string, error) {
	c.configure(oneQueue, oneTenant)
	if err := c.addWorkers(5, 0); err != nil {
		return "", err
	}
	if err := c.startNodes(3); err != nil {
		return "", err
	}
	if !c.submit(0, "/draft/00000000000000aa", "k1", simpleJob(2, 300)) {
		return "", fmt.Errorf("the first job was not accepted")
	}
	if err := c.awaitState("/draft/00000000000000aa", "k1", "completed", 15*time.Second); err != nil {
		return "", err
	}
	large := jobBody{
		Spec: "work_ms=400", Repetitions: 8, FirstMS: time.Now().Add(time.Second).UnixMilli(), IntervalMS: 2000,
		Steps: []step{
			{Count: 84, CPU: 500, Memory: 256, Estimated: 400},
			{Count: 84, CPU: 500, Memory: 256, Estimated: 400, After: []int{0}},
			{Count: 84, CPU: 500, Memory: 256, Estimated: 400, After: []int{1}},
		},
	}
	if !trouble {
		large.Repetitions = 1
	}
	paths := []string{"/draft/00000000000000bb"}
	if !c.submit(0, paths[0], "k1", large) {
		logf("the large job was not accepted")
		paths = nil
	}
	for i := range 40 {
		path := fmt.Sprintf("/draft/%016x", 0xc000+i)
		if c.submit(i, path, "k1", simpleJob(2, 300)) {
			paths = append(paths, path)
		}
		time.Sleep(600 * time.Millisecond)
	}
	logf("end of the traffic; the check follows finish_s (14 s) later")
	time.Sleep(14 * time.Second)
	return c.checkFinished(paths, "k1"), nil
}

// checkFinished applies the second part of LOST after finish_s: for 3 s, an accepted job isn't completed and has nothing
// running, while there is capacity. The workers of a case are never more than half full then.
func (c *cell) checkFinished(paths []string, key string) string {
	idle := map[string]bool{}
	for _, p := range paths {
		idle[p] = true
	}
	for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, w := range c.workers {
			w.mu.Lock()
			for task := range w.running {
				for p := range idle {
					if p[len(p)-16:] == task[:16] {
						delete(idle, p)
					}
				}
			}
			w.mu.Unlock()
		}
	}
	running := 0
	for _, w := range c.workers {
		running += w.used()
	}
	lost, example := 0, ""
	for _, p := range paths {
		if state := c.state(0, p, key); idle[p] && state != "completed" && state != "failed" {
			lost++
			example = fmt.Sprintf("%s is shown as %q", p, state)
		}
	}
	if lost == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d of %d accepted jobs have not ended and had nothing running for 3 s, %d runs at work on %d workers, highest token %d; %s",
		lost, len(paths), running, len(c.workers), c.maxToken(), example)
}

func (c *cell) maxToken() int64 {
	out := int64(0)
	for _, w := range c.workers {
		w.mu.Lock()
		out = max(out, w.token)
		w.mu.Unlock()
	}
	return out
}
