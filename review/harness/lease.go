package main

import (
	"fmt"
	"time"
)

func init() {
	cases["lease"] = playLease
	cases["refused"] = playRefused
}

const jobID = "00000000000000dd"

// playLease lets workers with slow clocks be idle, starts a task on one of them, and cuts that worker off 300 ms later.
func playLease(c *cell, trouble bool) (string, error) {
	c.configure(oneQueue, oneTenant)
	if err := c.addWorkers(6, 2); err != nil {
		return "", err
	}
	if err := c.startNodes(3); err != nil {
		return "", err
	}
	logf("the workers are idle for 75 s")
	time.Sleep(75 * time.Second)
	if !c.submit(0, "/draft/"+jobID, "k1", simpleJob(1, 15000)) {
		return "", fmt.Errorf("the job was not accepted")
	}
	run, err := c.awaitRun(jobID, 5*time.Second)
	if err != nil {
		return "", err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		logf("node_cut: worker %s is cut off from all machines of the system for 5.5 s, silently", run.worker)
		c.worker(run.worker).setMode(workerSilent)
	}
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		logf("the cut of worker %s ends", run.worker)
		c.worker(run.worker).setMode(workerServes)
	}
	time.Sleep(4 * time.Second)
	return c.overlap(jobID), nil
}

// playRefused drains one worker of 16 while it is at work, and cuts it off from the store and from the machine that gives
// it orders; new connections are refused during the cut.
func playRefused(c *cell, trouble bool) (string, error) {
	c.configure(oneQueue, oneTenant)
	if err := c.addWorkers(16, 0); err != nil {
		return "", err
	}
	if err := c.startNodes(4); err != nil {
		return "", err
	}
	if !c.submit(0, "/draft/"+jobID, "k1", simpleJob(1, 18000)) {
		return "", fmt.Errorf("the job was not accepted")
	}
	run, err := c.awaitRun(jobID, 15*time.Second)
	if err != nil {
		return "", err
	}
	w := c.worker(run.worker)
	time.Sleep(2 * time.Second)
	logf("scale_in: worker %s drains and leaves in 25 s at the earliest", w.id)
	w.drain(25 * time.Second)
	time.Sleep(4200 * time.Millisecond)
	if trouble {
		logf("srv_cut: worker %s is cut off from the store and from the leader's machine for 5 s; connections are refused", w.id)
		w.setStoreCut(true)
		w.setMode(workerRefuse)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		logf("the cut of worker %s ends", w.id)
		w.setStoreCut(false)
		w.setMode(workerServes)
	}
	time.Sleep(9 * time.Second)
	return c.overlap(jobID), nil
}
