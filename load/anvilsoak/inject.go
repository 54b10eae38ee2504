package anvilsoak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilplatform"
	"anvilhold.org/standin/anvilplatformapi"
)

// inject injects a fault and ends it after its duration.
func (s *Soak) inject(ctx context.Context, f Fault) error {
	e := s.fleet.entries[f.target%len(s.fleet.entries)]
	w := s.fleet.workers[f.target%len(s.fleet.workers)]
	switch f.kind {
	case CutDomain, MuteDomain, PauseDomain, KillDomain, DrainDomain:
		return s.injectDomainFault(ctx, f)
	case EvacuateDomain:
		return s.evacuate(ctx, f)
	case KillLeader, PauseLeader, StopLeader, CutLeader, KillTwoLeaders, TerminateLeader:
		return s.injectLeaderFault(ctx, f)
	case KillEntry, StopEntry, PauseEntry, ReloadEntry, TerminateEntry:
		return s.injectEntryFault(ctx, e, f)
	case KillAll:
		return s.killAll(ctx, f)
	case IsolateWorker:
		f.isolate(ctx, w)
	case KillWorker, LeaveWorker, PauseWorker, LoseWorker, ReplaceWorker, SupersedeWorker:
		return s.injectWorkerFault(ctx, w, f)
	case CutEntry, MuteEntry, DelayEntry, ResetEntry:
		s.injectLinkFault(ctx, e.proxy, f)
	case CutWorker, MuteWorker, DelayWorker, ResetWorker:
		s.injectLinkFault(ctx, w.proxy, f)
	case StoreFault:
		return s.operator.Inject(ctx, f.storeFault(), anvilclock.FromDuration(f.span), s.faultStrength(f))
	case Reconfigure:
		return s.reconfigure(ctx, func(c *configuration) { c.lowered[f.target%teamCount] = f.variant%2 == 0 })
	case RevokeKey:
		return s.revokeKey(ctx, f)
	}
	return nil
}

// faultStrength returns the parameter of a fault of the store, which depends on the kind of fault.
func (s *Soak) faultStrength(f Fault) int {
	if f.storeFault() == anvilplatform.Slow {
		return 10 + f.variant%60
	}
	return 20 + f.variant%40
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// injectEntryFault kills, stops, pauses or reloads an entry instance. Faults of one instance are injected one
// after the other.
func (s *Soak) injectEntryFault(ctx context.Context, e *entryNode, f Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.kind == StopEntry || f.kind == ReloadEntry || f.kind == TerminateEntry {
		// A program that has not installed its signal handlers yet would be ended by the signal.
		if err := waitListening(e.settings.ReadyAddr()); err != nil {
			return err
		}
	}
	switch f.kind {
	case KillEntry:
		e.process.signal(syscall.SIGKILL)
		<-e.process.done
	case TerminateEntry:
		e.process.signal(syscall.SIGTERM)
		e.process.wait(terminateTime)
		e.process.signal(syscall.SIGKILL)
		<-e.process.done
	case StopEntry:
		e.process.signal(syscall.SIGTERM)
		if !e.process.wait(anvilplatformapi.ShutdownGrace.Duration() + time.Second) {
			s.addViolation("STOP: %s did not stop in time", e.file)
			e.process.signal(syscall.SIGKILL)
			<-e.process.done
		} else if e.process.status() != 0 {
			s.addViolation("STOP: %s stopped with status %d", e.file, e.process.status())
		}
	case PauseEntry:
		e.process.signal(syscall.SIGSTOP)
		sleep(ctx, f.span)
		e.process.signal(syscall.SIGCONT)
		return nil
	default:
		e.process.signal(syscall.SIGHUP)
		return nil
	}
	sleep(ctx, s.downtime(f, time.Second))
	return s.fleet.startEntry(e)
}

func (s *Soak) killAll(ctx context.Context, f Fault) error {
	for _, e := range s.fleet.entries {
		e.mu.Lock()
		e.process.signal(syscall.SIGKILL)
		<-e.process.done
	}
	sleep(ctx, min(f.span, time.Second))
	var failed error
	for _, e := range s.fleet.entries {
		if err := s.fleet.startEntry(e); err != nil {
			failed = err
		}
		e.mu.Unlock()
	}
	return failed
}

func (s *Soak) injectWorkerFault(ctx context.Context, w *workerNode, f Fault) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch f.kind {
	case KillWorker:
		s.fleet.killWorker(w)
		sleep(ctx, s.downtime(f, 2*time.Second))
	case LoseWorker:
		s.fleet.killWorker(w)
		return nil
	case SupersedeWorker:
		s.fleet.killWorker(w)
		sleep(ctx, f.span)
		w.generation++
	case ReplaceWorker:
		w.generation++
	case LeaveWorker:
		w.process.signal(syscall.SIGTERM)
		if !w.process.wait(2 * anvilplatformapi.ShutdownGrace.Duration()) {
			return fmt.Errorf("worker %s has not left in time", w.id())
		}
		id := w.id()
		s.fleet.audit.call(func(a *audit) { a.recordExit(id) })
		w.generation++
	default:
		w.process.signal(syscall.SIGSTOP)
		sleep(ctx, f.span)
		w.process.signal(syscall.SIGCONT)
		return nil
	}
	return s.fleet.startWorker(w)
}

// linkDelay is the delay of each block of data on a slow connection.
const linkDelay = 120 * time.Millisecond

func (s *Soak) injectLinkFault(ctx context.Context, p *proxy, f Fault) {
	switch f.kind {
	case ResetEntry, ResetWorker:
		p.resetAll()
		return
	case CutEntry, CutWorker:
		p.update(func(p *proxy) { p.dropToTarget, p.dropFromTarget = true, true })
	case MuteEntry, MuteWorker:
		p.update(func(p *proxy) { p.dropToTarget, p.dropFromTarget = f.variant%2 == 0, f.variant%2 == 1 })
	default:
		p.update(func(p *proxy) { p.delay = linkDelay })
	}
	sleep(ctx, f.span)
	p.clearFaults()
}

// revokeKey revokes a key for the duration of a fault and revokeBound more, so that jobs are also submitted when the
// key must no longer be accepted.
func (s *Soak) revokeKey(ctx context.Context, f Fault) error {
	team, key := f.target%teamCount, f.variant%keyCount
	if err := s.reconfigure(ctx, func(c *configuration) { c.revoke(team, key) }); err != nil {
		return err
	}
	sleep(ctx, f.span+revokeBound.Duration())
	return s.reconfigure(ctx, func(c *configuration) { c.restore(team, key) })
}
