package anvilscript

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcell"
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 100 * time.Millisecond
	// queryTimeout limits a request to an instance, which may be paused.
	queryTimeout = time.Second
)

// await waits until a condition holds, at most -limit ms:
//
//	await [-limit ms] ready eN
//	await [-limit ms] owned           every shard has a running owner
//	await [-limit ms] version         every running instance reports the same version
//	await [-limit ms] state NAME state[,state]
//	await [-limit ms] running NAME    a worker has started the task
func (s *session) await(args []string) error {
	limit := int64(20_000)
	rest, err := parse("await", args, func(f *flag.FlagSet) { f.Int64Var(&limit, "limit", limit, "") })
	if err != nil {
		return err
	}
	if len(rest) == 0 || s.trial == nil {
		return fmt.Errorf("await needs a running cell and a condition")
	}
	var condition func() error
	switch kind, rest := rest[0], rest[1:]; {
	case kind == "ready" && len(rest) == 1:
		condition = func() error { return s.trial.Cell().WaitReady(s.ctx, rest[0]) }
	case kind == "owned" && len(rest) == 0:
		condition = s.checkOwners
	case kind == "version" && len(rest) == 0:
		condition = s.checkVersions
	case kind == "state" && len(rest) == 2:
		condition = func() error {
			state, err := s.state(rest[0], "")
			if err == nil && !matches(strings.Split(rest[1], ","), state) {
				err = fmt.Errorf("task %s is in state %q, not %s", rest[0], state, rest[1])
			}
			return err
		}
	case kind == "running" && len(rest) == 1:
		condition = func() error {
			_, err := s.runner(rest[0])
			return err
		}
	default:
		return fmt.Errorf("unknown condition %v", args)
	}
	return s.poll(time.Duration(limit)*time.Millisecond, condition)
}

func (s *session) poll(limit time.Duration, condition func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || !s.sleep(pollInterval) {
			return fmt.Errorf("condition not met within %s: %w", limit, err)
		}
	}
}

// checkOwners returns an error if a ready instance reports a shard without a running owner, or too few shards.
func (s *session) checkOwners() error {
	ready := s.trial.Client().Balancer().Ready()
	if len(ready) == 0 {
		return fmt.Errorf("no instance is ready")
	}
	running := s.trial.Cell().Names(anvilcell.EntryRole)
	for _, addr := range ready {
		ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
		cell, ok := s.trial.Operator().Cell(ctx, addr)
		cancel()
		if !ok {
			return fmt.Errorf("%s does not report the state of the cell", addr)
		}
		if n := len(cell.GetShards()); n < s.trial.Cell().Plan().Shards() {
			return fmt.Errorf("%s knows %d of %d shards", addr, n, s.trial.Cell().Plan().Shards())
		}
		for _, sh := range cell.GetShards() {
			if !slices.Contains(running, processName(sh.GetOwner())) {
				return fmt.Errorf("shard %s has the owner %q, which does not run", sh.GetShard(), sh.GetOwner())
			}
		}
	}
	return nil
}

// checkVersions returns an error unless all running instances report the same configuration version.
func (s *session) checkVersions() error {
	var versions []int64
	for _, addr := range s.trial.Cell().Fronts() {
		ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
		v, ok := s.trial.Operator().Version(ctx, addr)
		cancel()
		if !ok {
			return fmt.Errorf("%s does not report its configuration version", addr)
		}
		versions = append(versions, v)
	}
	if len(slices.Compact(versions)) != 1 {
		return fmt.Errorf("the instances report the versions %v", versions)
	}
	return nil
}

func (s *session) state(name, at string) (string, error) {
	rec, client, err := s.recordNamed([]string{name}, at)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
	defer cancel()
	return client.State(ctx, s.trial.Operator().Key(), rec.ticket), nil
}

// runner returns the worker that last started the task that was sent under a name.
func (s *session) runner(name string) (string, error) {
	rec := s.records[name]
	if rec == nil {
		return "", fmt.Errorf("nothing was sent under the name %s", name)
	}
	e, err := s.trial.Cell().Evidence()
	if err != nil {
		return "", err
	}
	traces, err := e.Traces()
	if err != nil {
		return "", err
	}
	var last anvilaudit.Event
	for _, t := range traces {
		for _, ev := range t.Events() {
			if (ev.Kind() == anvilaudit.Start || ev.Kind() == anvilaudit.Go) && strings.HasPrefix(ev.Task(), rec.task.ID()) && ev.At() > last.At() {
				last = ev
			}
		}
	}
	if last.Worker() == "" {
		return "", fmt.Errorf("no worker has started %s", name)
	}
	return last.Worker(), nil
}

// owner returns the entry instance that owns the shard of a worker, as a ready instance reports it.
func (s *session) owner(worker string) (string, error) {
	for _, addr := range s.trial.Client().Balancer().Ready() {
		ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
		cell, ok := s.trial.Operator().Cell(ctx, addr)
		cancel()
		if !ok {
			continue
		}
		for _, sh := range cell.GetShards() {
			for _, m := range sh.GetMembers() {
				if m.GetWorker() == worker && sh.GetOwner() != "" {
					return processName(sh.GetOwner()), nil
				}
			}
		}
	}
	return "", fmt.Errorf("no instance reports the owner of worker %s", worker)
}

// processName returns the name of the process of an instance. The id of an instance is the name in its settings with
// a suffix.
func processName(instance string) string {
	name, _, _ := strings.Cut(instance, "-")
	return name
}
