package main

import (
	"fmt"
	"time"
)

func init() { cases["share"] = playShare }

// playShare lets one tenant send 7.5 times its usual 2 jobs a second for 2 s. Each job is one task of 14 cores; the
// tenant's maximum is 16 cores. Without the disruption, the tenant sends its usual for 7 s.
func playShare(c *cell, trouble bool) (string, error) {
	c.configure(
		[]queue{{name: "pattern-score", prefix: "/pattern/"}, {name: "draft-render", prefix: "/draft/", priority: 2}},
		[]tenant{{name: "studio", keys: []string{"k1"}, weight: 2, maximum: 16000}})
	if err := c.addWorkers(4, 0); err != nil {
		return "", err
	}
	if err := c.startNodes(3); err != nil {
		return "", err
	}
	jobs, gap := 14, 500*time.Millisecond
	if trouble {
		jobs, gap = 30, 67*time.Millisecond
		logf("hot_tenant: the tenant sends 7.5 times its usual for 2 s")
	}
	var paths []string
	for i := range jobs {
		begin := time.Now()
		path := fmt.Sprintf("/draft/%016x", 0xa000+i)
		body := jobBody{Spec: "work_ms=300", Steps: []step{{Count: 1, CPU: 14000, Memory: 256, Estimated: 300}}}
		if c.submit(i, path, "k1", body) {
			paths = append(paths, path)
		}
		time.Sleep(gap - time.Since(begin))
	}
	logf("end of the traffic; the check follows finish_s (14 s) later, and again after 30 s")
	time.Sleep(14 * time.Second)
	broken := c.checkFinished(paths, "k1")
	if broken == "" {
		return "", nil
	}
	logf("first check: %s", broken)
	time.Sleep(30 * time.Second)
	return broken + "; 30 s later: " + c.checkFinished(paths, "k1"), nil
}
