package anviltrial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
	"anvilhold.org/load/anvilcell"
	"anvilhold.org/load/anvilfault"
)

const (
	// faultTimeout limits a request that sets a fault of the platform.
	faultTimeout = 2 * time.Second
	// slowDelay is the added latency of a slow table service in milliseconds.
	slowDelay = 300
	// cutRegion is the region that a cut-region fault separates from the table service.
	cutRegion = "r2"
)

// SetFault sets a fault of the platform's table service. kind is the platform's name for it; "none" ends all
// faults. A span of 0 lasts until the next call, an empty region means all regions, and percent applies to lost
// answers only.
func (t *Trial) SetFault(ctx context.Context, kind string, span time.Duration, percent int64, region string) error {
	f := anvilwire.Fault_builder{Kind: kind, Ms: span.Milliseconds(), Delay: slowDelay, Percent: percent, Region: region}.Build()
	body, err := protojson.Marshal(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.cell.Platform()+"/v1/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return fmt.Errorf("platform: %s: %s", resp.Status, text)
	}
	return nil
}

// Inject injects a schedule of faults and returns after all of them have ended or ctx is done. It calls report for
// each fault that could not be injected or ended, possibly from several goroutines at once.
func (t *Trial) Inject(ctx context.Context, faults []anvilfault.Fault, report func(string)) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range faults {
		if !sleep(ctx, f.At().Duration()-time.Since(start)) {
			return
		}
		wg.Go(func() {
			if err := t.apply(ctx, f); err != nil && ctx.Err() == nil {
				report(fmt.Sprintf("fault %s: %v", f, err))
			}
		})
	}
}

// sleep waits for d and reports false if ctx was done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (t *Trial) apply(ctx context.Context, f anvilfault.Fault) error {
	span := f.Span().Duration()
	switch f.Kind() {
	case anvilfault.KillEntry:
		return t.killEntry(ctx, f.Target(), span)
	case anvilfault.FreezeEntry:
		return t.freeze(ctx, t.cell.Entry(f.Target()), span)
	case anvilfault.StopEntry:
		return t.StopEntry(t.cell.Entry(f.Target()), f.Target())
	case anvilfault.KillWorker:
		return t.killWorker(ctx, f.Target(), span)
	case anvilfault.FreezeWorker:
		return t.freeze(ctx, t.worker(f.Target()), span)
	case anvilfault.LeaveWorker:
		return t.markLeaving(ctx, t.worker(f.Target()), span)
	case anvilfault.TableDown:
		return t.SetFault(ctx, "down", span, 0, "")
	case anvilfault.TableSlow:
		return t.SetFault(ctx, "slow", span, 0, "")
	case anvilfault.TableLose:
		return t.SetFault(ctx, "lose", span, f.Percent(), "")
	case anvilfault.CutRegion:
		return t.SetFault(ctx, "down", span, 0, cutRegion)
	case anvilfault.Race:
		return t.race(ctx)
	case anvilfault.WithdrawKey:
		return t.withdrawKey(ctx, t.teams[f.Target()], span)
	case anvilfault.LowerLimit:
		return t.lowerLimit(ctx, t.teams[f.Target()], span)
	default:
		return fmt.Errorf("unknown kind %s", f.Kind())
	}
}

func (t *Trial) worker(i int) string { return t.cell.Plan().Workers()[i].ID() }

func (t *Trial) killEntry(ctx context.Context, planIndex int, span time.Duration) error {
	if err := t.cell.Kill(t.cell.Entry(planIndex)); err != nil {
		return err
	}
	sleep(ctx, span)
	_, err := t.cell.StartEntry(planIndex)
	return err
}

func (t *Trial) killWorker(ctx context.Context, i int, span time.Duration) error {
	if err := t.cell.Kill(t.worker(i)); err != nil {
		return err
	}
	sleep(ctx, span)
	_, err := t.cell.StartWorker(i)
	return err
}

func (t *Trial) freeze(ctx context.Context, name string, span time.Duration) error {
	if err := t.cell.Freeze(name); err != nil {
		return err
	}
	sleep(ctx, span)
	return t.cell.Thaw(name)
}

// StopEntry starts a replacement for entry planIndex of the plan, stops the named entry instance gracefully and waits
// for its exit.
func (t *Trial) StopEntry(name string, planIndex int) error {
	addr := t.cell.Addr(name)
	if _, err := t.cell.StartEntry(planIndex); err != nil {
		return err
	}
	from := t.clock.Unix()
	code, err := t.cell.Stop(name)
	if err != nil {
		return err
	}
	t.recorder.Stop(anvilaudit.NewStop(addr, anvilaudit.NewInterval(from, t.clock.Unix())))
	if code != 0 {
		return fmt.Errorf("%s stopped with status %d", name, code)
	}
	return nil
}

// restoreTimeout is how long a change that ends a fault is retried. A simultaneous fault may make the table
// service unreachable for 6 s.
const restoreTimeout = 10 * time.Second

// markLeaving marks a worker as leaving for a span of time. The recorded interval ends before the removal of the mark
// is sent, because the removal may take effect before its answer arrives. It locks the worker until the mark is removed,
// because a removal that is delayed while the table is unreachable must not undo the next mark.
func (t *Trial) markLeaving(ctx context.Context, worker string, span time.Duration) error {
	t.leaveLocks[worker].Lock()
	defer t.leaveLocks[worker].Unlock()
	spanCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	markErr := t.retryChange(spanCtx, func() anvilcaller.Change { return t.operator.ChangeLeaveMark(ctx, anvilcaller.Put, worker) })
	from := t.clock.Unix()
	<-spanCtx.Done()
	if markErr == nil {
		t.recorder.Departure(worker, from, t.clock.Unix())
	}
	restoreCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	return t.retryChange(restoreCtx, func() anvilcaller.Change { return t.operator.ChangeLeaveMark(ctx, anvilcaller.Delete, worker) })
}

// withdrawKey withdraws the last key of a team for a span of time. It locks the team until the key is restored,
// because a restore that is delayed while the table is unreachable must not undo the next withdrawal.
func (t *Trial) withdrawKey(ctx context.Context, team Team, span time.Duration) error {
	t.withdrawalLocks[team.Name()].Lock()
	defer t.withdrawalLocks[team.Name()].Unlock()
	key := team.keys[len(team.keys)-1]
	spanCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	withdrawErr := t.retryChange(spanCtx, func() anvilcaller.Change {
		return t.operator.ChangeKey(ctx, anvilcaller.Delete, key, team.Name(), anvilconfig.TeamRole)
	})
	from := t.clock.Unix()
	<-spanCtx.Done()
	if withdrawErr == nil {
		t.recorder.Withdrawal(key, from, t.clock.Unix())
	}
	restoreCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	return t.retryChange(restoreCtx, func() anvilcaller.Change {
		return t.operator.ChangeKey(ctx, anvilcaller.Put, key, team.Name(), anvilconfig.TeamRole)
	})
}

// lowerLimit lowers the limit of a team to a quarter for a span of time.
func (t *Trial) lowerLimit(ctx context.Context, team Team, span time.Duration) error {
	spanCtx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	// An error means that the table service was unreachable for the whole span. Whether or not the limit was then
	// lowered, the change below restores it.
	_ = t.PutContract(spanCtx, team.lowered())
	<-spanCtx.Done()
	restoreCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	return t.PutContract(restoreCtx, team.contract)
}

// race sends two changes of the same contract at the same time and with the same base version.
func (t *Trial) race(ctx context.Context) error {
	base, ok := t.operator.Version(ctx, t.balancer.Pick(""))
	if !ok || base == 0 {
		return fmt.Errorf("no instance reports a configuration version")
	}
	at := t.clock.Unix()
	results := make(chan bool, 2)
	for i := range cap(results) {
		go func() {
			c := anvilconfig.NewContract(spareTeam, anvilconfig.WithLimit(anvilsize.New(1000, 1024, 0)), anvilconfig.WithWeight(int64(i+1)))
			results <- t.operator.ChangeContract(ctx, anvilcaller.Put, c, base).Accepted()
		}()
	}
	accepted := 0
	for range cap(results) {
		if <-results {
			accepted++
		}
	}
	t.recorder.Race(anvilaudit.NewRace(at, base, accepted))
	return nil
}

// ClearFaults ends all faults of the platform.
func (t *Trial) ClearFaults(ctx context.Context) error { return t.SetFault(ctx, "none", 0, 0, "") }

// KillEntryAndWorker kills the oldest running entry instance and the first worker of the plan. It does not
// replace them.
func (t *Trial) KillEntryAndWorker() error {
	if err := t.cell.Kill(t.cell.Names(anvilcell.EntryRole)[0]); err != nil {
		return err
	}
	return t.cell.Kill(t.worker(0))
}
