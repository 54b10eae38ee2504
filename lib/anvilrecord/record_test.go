package anvilrecord

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/internal/anvilassert"
)

const now anvilclock.Millis = 10_000_000

func admitKind(r *Record, id string, at anvilclock.Millis) Kind {
	return r.Admit(id, at, "s", now).Kind()
}

// Guards against a wrong verdict on a duplicate.
func TestAdmit(t *testing.T) {
	t.Run("duplicate while pending", func(t *testing.T) {
		r := New()
		anvilassert.Equal(t, "first", admitKind(r, "a", now), Fresh)
		anvilassert.Equal(t, "second", admitKind(r, "a", now), Pending)
	})
	t.Run("duplicate after the end", func(t *testing.T) {
		r := New()
		admitKind(r, "a", now)
		r.Finish("a", anvilerror.Done, anvilerror.Failed, []byte("answer"), now)
		r.Finish("a", anvilerror.NotRun, anvilerror.Stale, nil, now)
		v := r.Admit("a", now, "s", now)
		anvilassert.Equal(t, "kind", v.Kind(), Ended)
		anvilassert.Equal(t, "outcome", v.Outcome(), anvilerror.Done)
		anvilassert.Equal(t, "code", v.Code(), anvilerror.Failed)
		anvilassert.Equal(t, "answer", string(v.Answer()), "answer")
	})
	t.Run("not run", func(t *testing.T) {
		r := New()
		admitKind(r, "a", now)
		r.Finish("a", anvilerror.NotRun, anvilerror.Stale, nil, now)
		anvilassert.Equal(t, "second", admitKind(r, "a", now), Fresh)
	})
	t.Run("outcome unknown, then known", func(t *testing.T) {
		r := New()
		admitKind(r, "a", now)
		r.Finish("a", anvilerror.Unknown, anvilerror.Lost, nil, now)
		anvilassert.Equal(t, "outcome unknown", admitKind(r, "a", now), OutcomeUnknown)
		r.Finish("a", anvilerror.Done, "", nil, now)
		anvilassert.Equal(t, "known", admitKind(r, "a", now), Ended)
	})
	t.Run("times", func(t *testing.T) {
		r := New()
		anvilassert.Equal(t, "ahead", admitKind(r, "a", now+DefaultSkew), Fresh)
		anvilassert.Equal(t, "too far ahead", admitKind(r, "b", now+DefaultSkew+1), Early)
		anvilassert.Equal(t, "old", admitKind(r, "c", now-DefaultRetention+2*DefaultSkew+1), Fresh)
		anvilassert.Equal(t, "too old", admitKind(r, "d", now-DefaultRetention+2*DefaultSkew), Expired)
	})
	t.Run("full", func(t *testing.T) {
		r := New(WithBound(1))
		admitKind(r, "a", now)
		anvilassert.Equal(t, "second id", admitKind(r, "b", now), Full)
		anvilassert.Equal(t, "known id", admitKind(r, "a", now), Pending)
		anvilassert.Equal(t, "ids", r.Len(), 1)
	})
	t.Run("end of an unrecorded id", func(t *testing.T) {
		r := New()
		r.Finish("a", anvilerror.Done, "", nil, now)
		anvilassert.Equal(t, "ids", r.Len(), 0)
	})
}

// Guards against entries that are removed too early or never.
func TestExpire(t *testing.T) {
	t.Run("pending stays", func(t *testing.T) {
		r := New()
		admitKind(r, "a", now)
		r.Expire(now + 10*DefaultRetention)
		anvilassert.Equal(t, "kind", r.Admit("a", now, "s", now+10*DefaultRetention).Kind(), Pending)
	})
	t.Run("answer of a long run stays", func(t *testing.T) {
		r := New()
		admitKind(r, "a", now)
		end := now + 10*DefaultRetention
		r.Finish("a", anvilerror.Done, "", nil, end)
		r.Expire(end + DefaultRetention - 1)
		anvilassert.Equal(t, "kind", r.Admit("a", now, "s", end+DefaultRetention-1).Kind(), Ended)
		r.Expire(end + DefaultRetention)
		anvilassert.Equal(t, "ids", r.Len(), 0)
	})
	t.Run("gap", func(t *testing.T) {
		r := New()
		r.AddGap("s", now)
		anvilassert.Equal(t, "covered", admitKind(r, "a", now+DefaultSkew), OutcomeUnknown)
		anvilassert.Equal(t, "another shard", r.Admit("b", now, "other", now).Kind(), Fresh)
		anvilassert.Equal(t, "later id", r.Admit("c", now+DefaultSkew+1, "s", now+DefaultSkew).Kind(), Fresh)
		r.Expire(now + DefaultSkew + DefaultRetention)
		anvilassert.Equal(t, "gaps", len(r.gaps), 0)
	})
	t.Run("forget", func(t *testing.T) {
		r := New()
		admitKind(r, "a", now)
		r.Admit("b", now, "other", now)
		r.AddGap("s", now)
		r.Forget("s")
		anvilassert.Equal(t, "ids", r.Len(), 1)
		anvilassert.Equal(t, "gaps", len(r.gaps), 0)
	})
}

// Guards against states of a worker's task list that give the wrong verdict.
func TestAdopt(t *testing.T) {
	for state, want := range map[State]Kind{
		Running: Pending, Done: Ended, Failed: Ended, Stopped: Ended, Lost: OutcomeUnknown, NotRun: Fresh, "other": OutcomeUnknown,
	} {
		t.Run(string(state), func(t *testing.T) {
			r := New()
			r.Adopt("s", "a", state, nil, now)
			anvilassert.Equal(t, "kind", admitKind(r, "a", now), want)
		})
	}
	t.Run("keeps a known end", func(t *testing.T) {
		r := New()
		r.Adopt("s", "a", Done, []byte("answer"), now)
		r.Adopt("s", "a", Running, nil, now)
		anvilassert.Equal(t, "answer", string(r.Admit("a", now, "s", now).Answer()), "answer")
	})
	t.Run("adopted id takes precedence over a gap", func(t *testing.T) {
		r := New()
		r.AddGap("s", now)
		r.Adopt("s", "a", Done, nil, now)
		anvilassert.Equal(t, "kind", admitKind(r, "a", now), Ended)
	})
}

// Guards against a second start when the id's clock was ahead, the worker has forgotten the task
// and the clock of the new owner is behind that of the former one.
func TestClocks(t *testing.T) {
	f := newFleet()
	f.requests["a"] = &request{at: f.now + skew}
	f.admit(t, "a", f.workers[0])
	f.deliver(f.starts[0])
	f.workers[0].tasks["a"] = task{state: Done, ended: f.now}
	f.answer(f.starts[0], false)
	f.advance(retention)
	anvilassert.Equal(t, "tasks that the worker knows", len(f.workers[0].tasks), 0)
	f.takeOver(-skew, true)
	f.admit(t, "a", f.workers[0])
}
