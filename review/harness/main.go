// Command harness plays one case of the review against separate processes of anvilnode on loopback addresses. It holds
// the stand-ins: the platform's store, the minions and the clients. Usage: harness CASE RECORD-FILE. Exit status: 0 the
// rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// logf writes a line to the record.
func logf(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		_, _ = fmt.Fprintf(record, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// cases are the scripts; each returns what broke the rule, empty if it held, or an error when it could not run.
var cases = map[string]func(*cell, bool) (string, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD-FILE")
		return 2
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	logf("case %s, disruption %v", os.Args[1], trouble)
	c, err := newCell()
	if err != nil {
		return report(err, "")
	}
	defer c.close()
	go c.endEarly()
	broken, err := cases[os.Args[1]](c, trouble)
	return report(err, broken)
}

// timeLimit bounds a case, together with its processes.
const timeLimit = 118 * time.Second

// endEarly ends the processes and the case when it is interrupted or takes too long.
func (c *cell) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit - time.Since(began)):
	}
	logf("ended early")
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
	}
	_ = os.RemoveAll(c.dir)
	os.Exit(2)
}

func report(err error, broken string) int {
	switch {
	case err != nil:
		logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		logf("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	logf("held")
	fmt.Println("held")
	return 0
}
