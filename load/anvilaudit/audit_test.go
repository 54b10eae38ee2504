package anvilaudit_test

import (
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"

	"anvilhold.org/load/anvilaudit"
)

const id = "0190a000-0000-7000-8000-000000000001"

// assertOnly checks that an audit finds exactly n violations, all of one rule.
func assertOnly(t *testing.T, rule anvilaudit.Rule, n int, opts ...anvilaudit.Option) {
	t.Helper()
	r := anvilaudit.Audit(opts...)
	if r.Count(rule) != n || len(r.Violations()) != n {
		t.Errorf("got %d violations of rule %s, want %d and none of other rules: %v", r.Count(rule), rule, n, r.Violations())
	}
}

func cores(n int64) anvilsize.Size { return anvilsize.New(n*1000, n*1024, 0) }

// incarnation returns the trace of an incarnation of a worker with 4 cores. ended is 0 if it still runs.
func incarnation(worker string, ended anvilclock.Millis, events ...anvilaudit.Event) anvilaudit.Option {
	boot := anvilaudit.NewEvent(0, anvilaudit.Boot, worker, worker+".1", "", anvilaudit.WithSize(cores(4)))
	return anvilaudit.WithTraces(anvilaudit.NewTrace(append([]anvilaudit.Event{boot}, events...), ended))
}

// pausedWorker returns the trace of worker w1, which was paused from 100 to 12,000 ms.
func pausedWorker(events ...anvilaudit.Event) anvilaudit.Option {
	boot := anvilaudit.NewEvent(0, anvilaudit.Boot, "w1", "w1.1", "", anvilaudit.WithSize(cores(4)))
	return anvilaudit.WithTraces(anvilaudit.NewTrace(append([]anvilaudit.Event{boot}, events...), 0, anvilaudit.NewInterval(100, 12_000)))
}

func event(at anvilclock.Millis, kind anvilaudit.EventKind, worker, task string, opts ...anvilaudit.EventOption) anvilaudit.Event {
	opts = append([]anvilaudit.EventOption{anvilaudit.WithTeam("pamoja"), anvilaudit.WithSize(cores(2))}, opts...)
	return anvilaudit.NewEvent(at, kind, worker, worker+".1", task, opts...)
}

func start(at anvilclock.Millis, worker, task string, opts ...anvilaudit.EventOption) anvilaudit.Event {
	return event(at, anvilaudit.Start, worker, task, opts...)
}

func end(at anvilclock.Millis, worker, task, state string) anvilaudit.Event {
	return event(at, anvilaudit.End, worker, task, anvilaudit.WithState(state))
}

func limit(n int64, sent, accepted anvilclock.Millis) anvilaudit.Option {
	return anvilaudit.WithLimitChanges(anvilaudit.NewLimitChange("pamoja", cores(n), sent, accepted))
}

func request(k anviltask.Kind, attempts ...anvilaudit.Attempt) anvilaudit.Request {
	return anvilaudit.NewRequest(id, "pamoja", k, true, 2, attempts...)
}

func attempt(sent anvilclock.Millis, o anvilerror.Outcome) anvilaudit.Attempt {
	return anvilaudit.NewAttempt("e1", "key", sent, sent+10, o, "")
}

func TestWorkerSize(t *testing.T) {
	highLimit := limit(100, 0, 1)
	t.Run("a full worker is within its size", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overcommitted, 0, highLimit, incarnation("w1", 0, start(10, "w1", "a"), start(10, "w1", "b")))
	})
	t.Run("one task too many is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overcommitted, 1, highLimit, incarnation("w1", 0, start(10, "w1", "a"), start(11, "w1", "b"), start(12, "w1", "c")))
	})
	t.Run("a reservation counts", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overcommitted, 1, highLimit,
			incarnation("w1", 0, start(10, "w1", "a"), start(11, "w1", "b"), event(12, anvilaudit.Hold, "w1", "c")))
	})
	t.Run("capacity that was released in the same millisecond is free", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overcommitted, 0, highLimit,
			incarnation("w1", 0, start(10, "w1", "a"), start(11, "w1", "b"), end(12, "w1", "a", "done"), start(12, "w1", "c")))
	})
}

func TestDoubledRuns(t *testing.T) {
	highLimit := limit(100, 0, 1)
	t.Run("a task on two workers at once is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 1, highLimit,
			incarnation("w1", 0, start(10, "w1", id), end(100, "w1", id, "done")), incarnation("w2", 0, start(50, "w2", "d1.layout.0~"+id)))
	})
	t.Run("a restart after the end is allowed", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 0, highLimit,
			incarnation("w1", 0, start(10, "w1", id), end(50, "w1", id, "stopped")), incarnation("w2", 0, start(49, "w2", id)))
	})
	t.Run("a kill ends the runs of the worker", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 0, highLimit, incarnation("w1", 40, start(10, "w1", id)), incarnation("w2", 0, start(50, "w2", id)))
	})
	t.Run("a second start of a non-idempotent task is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 1, highLimit,
			incarnation("w1", 40, start(10, "w1", id, anvilaudit.WithNonIdempotent())), incarnation("w2", 0, start(50, "w2", id, anvilaudit.WithNonIdempotent())))
	})
	t.Run("a second start on the same worker is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 1, highLimit, incarnation("w1", 0, start(10, "w1", id), start(20, "w1", id)))
	})
}

func TestPausedWorker(t *testing.T) {
	highLimit := limit(100, 0, 1)
	other := incarnation("w2", 0, start(11_000, "w2", id))
	t.Run("a lease that expired during the pause ends the run", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 0, highLimit, other, pausedWorker(start(10, "w1", id), end(12_050, "w1", id, "stopped")))
	})
	t.Run("a task that still runs after the resume is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 1, highLimit, other, pausedWorker(start(10, "w1", id), end(13_000, "w1", id, "stopped")))
	})
	t.Run("a task that succeeds after the resume is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 1, highLimit, other, pausedWorker(start(10, "w1", id), end(12_050, "w1", id, "done")))
	})
	t.Run("a restart before the lease expired is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Doubled, 1, highLimit, incarnation("w2", 0, start(5000, "w2", id)),
			pausedWorker(start(10, "w1", id), end(12_050, "w1", id, "stopped")))
	})
}

func TestTeamLimit(t *testing.T) {
	one := incarnation("w1", 0, start(10, "w1", "a"))
	t.Run("the limit counts across workers", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overlimit, 1, limit(3, 0, 1), one, incarnation("w2", 0, start(20, "w2", "b")))
	})
	t.Run("a team without a contract may run nothing", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overlimit, 1, one)
	})
	t.Run("a lowered limit has time to take effect", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overlimit, 0, limit(4, 0, 1), limit(2, 100, 110), one, incarnation("w2", 0, start(4000, "w2", "b")))
	})
	t.Run("a start above a lowered limit is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overlimit, 1, limit(4, 0, 1), limit(2, 100, 110), one, incarnation("w2", 0, start(4200, "w2", "b")))
	})
	t.Run("a task that runs on above a lowered limit is allowed", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overlimit, 0, limit(4, 0, 1), limit(1, 100, 110), one)
	})
	t.Run("a change without an answer may be in effect", func(t *testing.T) {
		assertOnly(t, anvilaudit.Overlimit, 0, limit(2, 0, 1), limit(4, 100, 0), one, incarnation("w2", 0, start(9000, "w2", "b")))
	})
}

func TestOutcomes(t *testing.T) {
	highLimit := limit(100, 0, 1)
	ran := incarnation("w1", 0, start(10, "w1", id), end(30, "w1", id, "done"))
	t.Run("an answered call is no violation", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 0, highLimit, ran, anvilaudit.WithRequests(request(anviltask.Call, attempt(5, anvilerror.Done))))
	})
	t.Run("a call without an outcome is lost", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 1, highLimit, ran, anvilaudit.WithRequests(request(anviltask.Call, attempt(5, anvilaudit.NoAnswer))))
	})
	t.Run("an answer to another request is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 1, highLimit, ran,
			anvilaudit.WithRequests(request(anviltask.Call, attempt(5, anvilerror.Done).WithMismatch("wrong id"))))
	})
	t.Run("a refused request that ran is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 1, highLimit, ran, anvilaudit.WithRequests(request(anviltask.Call, attempt(5, anvilerror.NotRun))))
	})
	t.Run("a start may belong to the attempt after a refusal", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 0, highLimit, ran,
			anvilaudit.WithRequests(request(anviltask.Call, attempt(1, anvilerror.NotRun), attempt(9, anvilerror.Done))))
	})
	t.Run("a start before the attempt after a refusal is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 1, highLimit, ran,
			anvilaudit.WithRequests(request(anviltask.Call, attempt(1, anvilerror.NotRun), attempt(20, anvilerror.Unknown))))
	})
	t.Run("an accepted task that never ends is lost", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 1, highLimit, anvilaudit.WithRequests(request(anviltask.Batch, attempt(5, anvilerror.Done)).WithState("queued")))
	})
	t.Run("an accepted task that failed has ended", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 0, highLimit, anvilaudit.WithRequests(request(anviltask.Batch, attempt(5, anvilerror.Done)).WithState("failed")))
	})
}

func TestGangs(t *testing.T) {
	highLimit := limit(100, 0, 1)
	gang := anvilaudit.WithRequests(request(anviltask.Gang, attempt(5, anvilerror.Done)).WithState("failed"))
	job := anvilaudit.WithJob(id)
	started := incarnation("w1", 0, event(10, anvilaudit.Hold, "w1", "a", job), event(20, anvilaudit.Go, "w1", "a", job))
	t.Run("a job of which only some tasks started is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 1, highLimit, gang, started,
			incarnation("w2", 0, event(10, anvilaudit.Hold, "w2", "b", job), end(40, "w2", "b", "not-run")))
	})
	t.Run("a job whose worker was killed may have started only some tasks", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 0, highLimit, gang, started, incarnation("w2", 15, event(10, anvilaudit.Hold, "w2", "b", job)))
	})
	t.Run("a job of which all tasks started is no violation", func(t *testing.T) {
		assertOnly(t, anvilaudit.Lost, 0, highLimit, gang, started,
			incarnation("w2", 0, event(10, anvilaudit.Hold, "w2", "b", job), event(22, anvilaudit.Go, "w2", "b", job)))
	})
}

func TestConfiguration(t *testing.T) {
	highLimit := limit(100, 0, 1)
	withdrawn := anvilaudit.WithWithdrawals(anvilaudit.NewWithdrawal("key", anvilaudit.NewInterval(100, 9000)))
	call := func(sent anvilclock.Millis) anvilaudit.Option {
		return anvilaudit.WithRequests(request(anviltask.Call, attempt(sent, anvilerror.Done)))
	}
	t.Run("a withdrawal of a key has time to take effect", func(t *testing.T) {
		assertOnly(t, anvilaudit.Stale, 0, highLimit, withdrawn, call(4000), incarnation("w1", 0, start(4005, "w1", id)))
	})
	t.Run("a start with a withdrawn key is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Stale, 1, highLimit, withdrawn, call(4200), incarnation("w1", 0, start(4205, "w1", id)))
	})
	t.Run("a restored key works", func(t *testing.T) {
		assertOnly(t, anvilaudit.Stale, 0, highLimit, withdrawn, call(9100), incarnation("w1", 0, start(9105, "w1", id)))
	})
	leaving := anvilaudit.WithDepartures(anvilaudit.NewDeparture("w1", anvilaudit.NewInterval(100, 0)))
	t.Run("a start on a leaving worker is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Leaving, 1, highLimit, leaving, incarnation("w1", 0, start(4000, "w1", "a"), start(4200, "w1", "b")))
	})
	t.Run("a version that decreases is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Reverted, 1, anvilaudit.WithVersionReadings(
			anvilaudit.NewVersionReading("e1", 1, 5), anvilaudit.NewVersionReading("e2", 2, 4), anvilaudit.NewVersionReading("e1", 3, 4)))
	})
	t.Run("two accepted changes of a race are found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Reverted, 1, anvilaudit.WithRaces(anvilaudit.NewRace(1, 7, 2)))
	})
}

func TestStops(t *testing.T) {
	stop := anvilaudit.WithStops(anvilaudit.NewStop("e1", anvilaudit.NewInterval(100, 900)))
	broken := func(answered anvilclock.Millis) anvilaudit.Option {
		return anvilaudit.WithRequests(request(anviltask.Call,
			anvilaudit.NewAttempt("e1", "key", 50, answered, anvilerror.Unknown, anvilaudit.Broken)))
	}
	t.Run("a request that a graceful stop interrupts is found", func(t *testing.T) {
		assertOnly(t, anvilaudit.Interrupted, 1, stop, broken(800))
	})
	t.Run("a connection that failed before the stop is allowed", func(t *testing.T) {
		assertOnly(t, anvilaudit.Interrupted, 0, stop, broken(90))
	})
}

func TestReadTrace(t *testing.T) {
	const boot = `{"at":1,"kind":"boot","size":"64000m,131072,0","worker":"w1","boot":"b","epoch":0}` + "\n"
	read := func(t *testing.T, text string, want int, fails bool) {
		t.Helper()
		events, err := anvilaudit.ReadTrace(strings.NewReader(text))
		if (err != nil) != fails || len(events) != want {
			t.Errorf("got %d events and error %v, want %d and error %t", len(events), err, want, fails)
		}
	}
	t.Run("reads lines", func(t *testing.T) { read(t, boot+boot, 2, false) })
	t.Run("ignores the line that a killed worker left incomplete", func(t *testing.T) { read(t, boot+boot[:20], 1, false) })
	t.Run("rejects a malformed line", func(t *testing.T) { read(t, "{\n"+boot, 0, true) })
	t.Run("rejects an unknown kind", func(t *testing.T) { read(t, strings.Replace(boot, "boot", "bot", 1), 0, true) })
}
