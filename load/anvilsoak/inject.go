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

// inject carries one fault out and ends it after its time.
func (s *Soak) inject(ctx context.Context, f Fault) error {
	e := s.fleet.entries[f.target%len(s.fleet.entries)]
	w := s.fleet.workers[f.target%len(s.fleet.workers)]
	switch f.kind {
	case KillEntry, StopEntry, PauseEntry, ReloadEntry:
		return s.disturbEntry(ctx, e, f)
	case KillAll:
		return s.killAll(ctx, f)
	case KillWorker, LeaveWorker, PauseWorker:
		return s.disturbWorker(ctx, w, f)
	case CutEntry, MuteEntry, DelayEntry, ResetEntry:
		s.disturbLink(ctx, e.link, f)
	case CutWorker, MuteWorker, DelayWorker, ResetWorker:
		s.disturbLink(ctx, w.link, f)
	case StoreTrouble:
		return s.operator.Inject(ctx, f.trouble(), anvilclock.FromDuration(f.span), s.figure(f))
	case Reconfigure:
		return s.reconfigure(ctx, func(c *configuration) { c.narrow[f.target%teamCount] = f.variant%2 == 0 })
	case RevokeKey:
		return s.revoke(ctx, f)
	}
	return nil
}

// figure returns the strength of a fault of the store.
func (s *Soak) figure(f Fault) int {
	if f.trouble() == anvilplatform.Slow {
		return 10 + f.variant%60
	}
	return 20 + f.variant%40
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// disturbEntry does something to an instance. Faults of one instance come one after the other.
func (s *Soak) disturbEntry(ctx context.Context, e *entryNode, f Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.kind == StopEntry || f.kind == ReloadEntry {
		// Before a program has caught them, signals end it.
		if err := waitListening(e.settings.Ready()); err != nil {
			return err
		}
	}
	switch f.kind {
	case KillEntry:
		e.process.signal(syscall.SIGKILL)
		<-e.process.done
	case StopEntry:
		e.process.signal(syscall.SIGTERM)
		if !e.process.wait(anvilplatformapi.TerminationGrace.Duration() + time.Second) {
			s.note("STOP: %s did not stop in time", e.file)
			e.process.signal(syscall.SIGKILL)
			<-e.process.done
		} else if e.process.status() != 0 {
			s.note("STOP: %s stopped with status %d", e.file, e.process.status())
		}
	case PauseEntry:
		e.process.signal(syscall.SIGSTOP)
		pause(ctx, f.span)
		e.process.signal(syscall.SIGCONT)
		return nil
	default:
		e.process.signal(syscall.SIGHUP)
		return nil
	}
	pause(ctx, min(f.span, time.Second))
	return s.fleet.startEntry(e)
}

func (s *Soak) killAll(ctx context.Context, f Fault) error {
	for _, e := range s.fleet.entries {
		e.mu.Lock()
		e.process.signal(syscall.SIGKILL)
		<-e.process.done
	}
	pause(ctx, min(f.span, time.Second))
	var failed error
	for _, e := range s.fleet.entries {
		if err := s.fleet.startEntry(e); err != nil {
			failed = err
		}
		e.mu.Unlock()
	}
	return failed
}

func (s *Soak) disturbWorker(ctx context.Context, w *workerNode, f Fault) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch f.kind {
	case KillWorker:
		s.fleet.killWorker(w)
		pause(ctx, min(f.span, 2*time.Second))
	case LeaveWorker:
		w.process.signal(syscall.SIGTERM)
		if !w.process.wait(2 * anvilplatformapi.TerminationGrace.Duration()) {
			return fmt.Errorf("worker %s does not leave", w.id())
		}
		id := w.id()
		s.fleet.audit.ask(func(a *audit) { a.crashed(id) })
		w.born++
	default:
		w.process.signal(syscall.SIGSTOP)
		pause(ctx, f.span)
		w.process.signal(syscall.SIGCONT)
		return nil
	}
	return s.fleet.startWorker(w)
}

// linkDelay is how much a slow link holds up each piece of data.
const linkDelay = 120 * time.Millisecond

func (s *Soak) disturbLink(ctx context.Context, p *proxy, f Fault) {
	switch f.kind {
	case ResetEntry, ResetWorker:
		p.resetAll()
		return
	case CutEntry, CutWorker:
		p.harm(func(p *proxy) { p.forth, p.back = true, true })
	case MuteEntry, MuteWorker:
		p.harm(func(p *proxy) { p.forth, p.back = f.variant%2 == 0, f.variant%2 == 1 })
	default:
		p.harm(func(p *proxy) { p.delay = linkDelay })
	}
	pause(ctx, f.span)
	p.heal()
}

// revoke takes a key away for the time of a fault, and at least as long as it may go on working.
func (s *Soak) revoke(ctx context.Context, f Fault) error {
	team, key := f.target%teamCount, f.variant%keyCount
	if err := s.reconfigure(ctx, func(c *configuration) { c.revoke(team, key) }); err != nil {
		return err
	}
	pause(ctx, f.span+revokeBound.Duration())
	return s.reconfigure(ctx, func(c *configuration) { c.restore(team, key) })
}
