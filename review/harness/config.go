package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() {
	cases["revoked"] = playRevoked
	cases["route"] = playRoute
	cases["cancel"] = playCancel
	cases["told"] = playTold
}

// playRevoked turns two of six machines away from the store for 9 s while a key is taken away, and sends duplicates of
// accepted submissions with that key once the store serves the machines again.
func playRevoked(c *cell, trouble bool) (string, error) {
	c.configure(oneQueue, oneTenant)
	if err := c.addWorkers(4, 0); err != nil {
		return "", err
	}
	if err := c.startNodes(6); err != nil {
		return "", err
	}
	const jobs = 100
	paths := make([]string, jobs)
	var wg sync.WaitGroup
	for i := range paths {
		paths[i] = fmt.Sprintf("/draft/%016x", 0xe000+i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if !c.submit(i, paths[i], "k1", simpleJob(1, 300)) {
				logf("%s was not accepted", paths[i])
			}
		}()
	}
	wg.Wait()
	// Two machines that don't lead.
	var away []*node
	for _, n := range c.nodes {
		if n != c.leader() && len(away) < 2 {
			away = append(away, n)
		}
	}
	if trouble {
		logf("platform_down nodes silent: the store turns nodes %d and %d away for 9 s", away[0].index, away[1].index)
		for _, n := range away {
			n.front.set(storeSilent)
		}
	}
	time.Sleep(200 * time.Millisecond)
	c.configure(oneQueue, []tenant{{name: "studio", keys: []string{"k2"}, weight: 50}})
	acked := time.Now()
	time.Sleep(8800 * time.Millisecond)
	if trouble {
		logf("the store serves nodes %d and %d again", away[0].index, away[1].index)
		for _, n := range away {
			n.front.set(storeServes)
		}
	}
	// Each job's submission arrives once more, seconds after its acceptance.
	var mu sync.Mutex
	broken, example := 0, ""
	for i, path := range paths {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Since(acked)
			status, _ := c.call(away[i%2], http.MethodPost, path, "k1", simpleJob(1, 300), 3*time.Second)
			if status >= 200 && status < 300 && sent > 5*time.Second {
				mu.Lock()
				defer mu.Unlock()
				if broken++; broken == 1 {
					example = fmt.Sprintf("%s at node %d, sent %d ms after the acknowledgement", path, away[i%2].index, sent.Milliseconds())
				}
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	if broken == 0 {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: %d calls with a key that was taken away were answered with success: %s", broken, example), nil
}

// playRoute drops the route of a job with two steps while its first step is at work, and kills the leader's process. With
// KILL=0 in the environment it leaves out the kill.
func playRoute(c *cell, trouble bool) (string, error) {
	two := []queue{{name: "draft-render", prefix: "/draft/"}, {name: "pattern-score", prefix: "/pattern/"}}
	c.configure(two, oneTenant)
	if err := c.addWorkers(4, 0); err != nil {
		return "", err
	}
	if err := c.startNodes(3); err != nil {
		return "", err
	}
	body := jobBody{Spec: "work_ms=4000", Steps: []step{{Count: 2, CPU: 500, Memory: 256, Estimated: 4000}, {Count: 2, CPU: 500, Memory: 256, Estimated: 4000, After: []int{0}}}}
	if !c.submit(0, "/draft/"+jobID, "k1", body) {
		return "", fmt.Errorf("the job was not accepted")
	}
	if _, err := c.awaitRun(jobID, 15*time.Second); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		c.configure(two[1:], oneTenant)
		time.Sleep(time.Second)
	}
	if trouble && os.Getenv("KILL") != "0" {
		n := c.leader()
		logf("node_kill leader: SIGKILL for node %d, which starts again", n.index)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		if err := c.startNode(n); err != nil {
			return "", err
		}
	}
	var paths []string
	for i := range 10 {
		path := fmt.Sprintf("/pattern/%016x", 0xf000+i)
		if c.submit(i, path, "k1", simpleJob(2, 300)) {
			paths = append(paths, path)
		}
		time.Sleep(time.Second)
	}
	logf("end of the traffic; the check follows finish_s (14 s) later")
	time.Sleep(14 * time.Second)
	done := 0
	for _, r := range c.runsOf(jobID) {
		if r.how == "done" {
			done++
		}
	}
	logf("%d of 4 tasks of the job have ended done; %d jobs of the other queue were accepted", done, len(paths))
	if broken := c.checkFinished(paths, "k1"); broken != "" {
		return broken, nil
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range c.runsOf(jobID) {
			if r.end.IsZero() {
				return "", nil
			}
		}
	}
	if done < 4 {
		return fmt.Sprintf("LOST: the accepted job has %d of 4 tasks done and had nothing running for 3 s, on idle workers", done), nil
	}
	return "", nil
}

// playCancel loses the answer of the store to a submission, which the store carries out 5.5 s later. The client waits a
// second, as its deadline says, and then cancels the job.
func playCancel(c *cell, trouble bool) (string, error) {
	c.configure(oneQueue, oneTenant)
	if err := c.addWorkers(4, 0); err != nil {
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
	var n *node
	for _, other := range c.nodes {
		if other != c.leader() {
			n = other
		}
	}
	if trouble {
		logf("platform_lost late: for 0.3 s, transactions of node %d get no answer and are carried out 5.5 s later", n.index)
		n.front.late = 5500 * time.Millisecond
		n.front.set(storeLate)
		time.AfterFunc(300*time.Millisecond, func() { n.front.set(storeServes) })
	}
	path := "/draft/" + jobID
	c.call(n, http.MethodPost, path, "k1", simpleJob(1, 6000), time.Second)
	status, _ := c.call(c.nodes[(n.index+1)%3], http.MethodDelete, path, "k1", nil, 3*time.Second)
	acked := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return "", fmt.Errorf("the cancellation was answered with %d", status)
	}
	time.Sleep(11 * time.Second)
	for _, r := range c.runsOf(jobID) {
		if late := r.begin.Sub(acked); late > 3*time.Second {
			return fmt.Sprintf("UNASKED: %s started %d ms after the cancellation was answered with %d", r, late.Milliseconds(), status), nil
		}
	}
	return "", nil
}

// playTold loses the answer of the store to a submission, which the store has carried out, and takes the caller's key away
// while the submission waits for that answer.
func playTold(c *cell, trouble bool) (string, error) {
	c.configure(oneQueue, oneTenant)
	if err := c.addWorkers(4, 0); err != nil {
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
	var n *node
	for _, other := range c.nodes {
		if other != c.leader() {
			n = other
		}
	}
	if trouble {
		logf("platform_lost: for 0.3 s, transactions of node %d are carried out and get no answer", n.index)
		n.front.late = 50 * time.Millisecond
		n.front.set(storeLate)
		time.AfterFunc(300*time.Millisecond, func() { n.front.set(storeServes) })
	}
	path := "/draft/" + jobID
	time.AfterFunc(600*time.Millisecond, func() { c.configure(oneQueue, []tenant{{name: "studio", keys: []string{"k2"}, weight: 50}}) })
	status, _ := c.call(n, http.MethodPost, path, "k1", simpleJob(1, 6000), 3*time.Second)
	time.Sleep(8 * time.Second)
	if rs := c.runsOf(jobID); len(rs) > 0 && (status == 401 || status == 503 || status == 404) {
		return fmt.Sprintf("REFUSED: answered %d, yet %s", status, rs[0]), nil
	}
	return "", nil
}
