package anvilscript

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
)

func (s *session) clock() anvilclock.Clock { return anvilclock.NewSystem() }

// sleep waits for d and reports false if the time limit of the script was reached first.
func (s *session) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// pause makes the script wait: pause ms.
func (s *session) pause(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("pause needs a number of milliseconds")
	}
	ms, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if !s.sleep(time.Duration(ms) * time.Millisecond) {
		return s.ctx.Err()
	}
	return nil
}

// target returns the name of the process that an argument names: NAME, runner:ID (the worker that last started the
// task with that name) or owner:WORKER (the entry instance that owns the worker's shard; the worker may be
// runner:ID). If the argument has a prefix, $last is set to the name.
func (s *session) target(text string) (string, error) {
	if s.trial == nil {
		return "", errNoCell
	}
	kind, name, found := strings.Cut(text, ":")
	if !found {
		return text, nil
	}
	var err error
	switch kind {
	case "runner":
		name, err = s.runner(name)
	case "owner":
		if name, err = s.target(name); err == nil {
			name, err = s.owner(name)
		}
	default:
		err = fmt.Errorf("no process %s", text)
	}
	if err != nil {
		return "", err
	}
	s.variables["last"] = name
	return name, nil
}

// forEachProcess calls a function for the process that each argument names, and stops at the first error.
func (s *session) forEachProcess(args []string, do func(name string) error) error {
	if len(args) == 0 {
		return fmt.Errorf("at least one process must be named")
	}
	for _, a := range args {
		name, err := s.target(a)
		if err != nil {
			return err
		}
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

// crash kills processes with SIGKILL: crash NAME...
func (s *session) crash(args []string) error {
	return s.forEachProcess(args, func(name string) error { return s.trial.Cell().Kill(name) })
}

// freeze pauses processes with SIGSTOP: freeze NAME...
func (s *session) freeze(args []string) error {
	return s.forEachProcess(args, func(name string) error { return s.trial.Cell().Freeze(name) })
}

// thaw resumes paused processes: thaw NAME...
func (s *session) thaw(args []string) error {
	return s.forEachProcess(args, func(name string) error { return s.trial.Cell().Thaw(name) })
}

// shutdown stops processes gracefully, all at the same time, and waits for their exits: shutdown NAME...
func (s *session) shutdown(args []string) error {
	var names []string
	if err := s.forEachProcess(args, func(name string) error {
		names = append(names, name)
		return nil
	}); err != nil {
		return err
	}
	ends := make(chan error, len(names))
	for _, n := range names {
		_, entry := s.entries[n]
		addr, from := s.trial.Cell().Addr(n), s.clock().Unix()
		go func() {
			code, err := s.trial.Cell().Stop(n)
			if entry {
				s.trial.Recorder().Stop(anvilaudit.NewStop(addr, anvilaudit.NewInterval(from, s.clock().Unix())))
			}
			if err == nil && code != 0 {
				err = fmt.Errorf("%s stopped with status %d", n, code)
			}
			ends <- err
		}()
	}
	for range names {
		select {
		case err := <-ends:
			if err != nil {
				return err
			}
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	return nil
}

// replace starts a successor of each process, which must have ended, and waits until it is ready: replace NAME...
// A new entry instance gets a new name, to which $new is set; a worker keeps its name.
func (s *session) replace(args []string) error {
	return s.forEachProcess(args, func(name string) error {
		cell := s.trial.Cell()
		if planIndex, ok := s.entries[name]; ok {
			newName, err := cell.StartEntry(planIndex)
			if err != nil {
				return err
			}
			s.entries[newName], s.variables["new"] = planIndex, newName
			return cell.WaitReady(s.ctx, newName)
		}
		for i, w := range cell.Plan().Workers() {
			if w.ID() == name {
				if _, err := cell.StartWorker(i); err != nil {
					return err
				}
				return cell.WaitListening(s.ctx, name)
			}
		}
		return fmt.Errorf("no process %s", name)
	})
}

// table sets a fault of the table service, which lasts until the next call: table down|slow|lose|up [REGION]
// [-percent N].
func (s *session) table(args []string) error {
	var percent int64
	rest, err := parse("table", args, func(f *flag.FlagSet) { f.Int64Var(&percent, "percent", 0, "") })
	if err != nil {
		return err
	}
	if len(rest) == 0 || len(rest) > 2 || s.trial == nil {
		return fmt.Errorf("table needs a running cell, a fault and at most one region")
	}
	kind, region := rest[0], ""
	if kind == "up" {
		kind = "none"
	}
	if len(rest) == 2 {
		region = rest[1]
	}
	return s.trial.SetFault(s.ctx, kind, 0, percent, region)
}

// traffic starts or stops mixed requests of both teams: traffic RATE | traffic stop.
func (s *session) traffic(args []string) error {
	if len(args) != 1 || s.trial == nil {
		return fmt.Errorf("traffic needs a running cell and a rate or stop")
	}
	if args[0] == "stop" {
		return s.stopTraffic()
	}
	rate, err := strconv.Atoi(args[0])
	if err != nil || rate < 1 || rate > maxRate || s.activeTraffic != nil {
		return fmt.Errorf("traffic needs a rate from 1 to %d, and it must not be running already", maxRate)
	}
	s.activeTraffic = s.trial.StartTraffic(s.ctx, 1, rate, trafficSenders)
	return nil
}

const (
	// maxRate limits the requests per second of a script, because several scripts run at once.
	maxRate = 200
	// trafficSenders limits the requests of the traffic in flight. Paused processes delay many of them.
	trafficSenders = 64
)

// stopTraffic stops the traffic and waits for the outcomes of all its requests.
func (s *session) stopTraffic() error {
	if s.activeTraffic == nil {
		return nil
	}
	s.activeTraffic.Stop()
	s.activeTraffic.Wait()
	s.activeTraffic = nil
	return s.ctx.Err()
}

// version returns the highest configuration version that an instance reports.
func (s *session) version() (int64, error) {
	o := anvilcaller.NewOperator(s.clients[""], s.trial.Operator().Key())
	var highest int64
	for _, addr := range s.trial.Cell().Fronts() {
		// A paused instance does not answer.
		ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
		if v, ok := o.Version(ctx, addr); ok {
			highest = max(highest, v)
		}
		cancel()
	}
	if highest == 0 {
		return 0, fmt.Errorf("no instance reports its configuration version")
	}
	return highest, nil
}
