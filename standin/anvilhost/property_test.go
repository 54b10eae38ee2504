package anvilhost

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Guards against sequences of requests, pauses and results in which the worker is overcommitted, an id runs twice, an
// epoch decreases or a task continues after its lease has expired. The host asserts the first three itself, and its
// alarm fails the test.
func TestRandomRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rt)
		epoch, until := int64(0), anvilclock.Millis(0)
		id := func() string { return fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "id")) }
		rt.Repeat(map[string]func(*rapid.T){
			"fence": func(rt *rapid.T) {
				e := rapid.Int64Range(1, epoch+1).Draw(rt, "epoch")
				r := f.fence(e, rapid.Int64Range(0, 5).Draw(rt, "cursor"))
				if r.OK() != (e >= epoch) || r.Epoch() != max(e, epoch) {
					rt.Fatalf("fence at %d after %d = %+v", e, epoch, r)
				}
				if r.OK() {
					epoch, until = e, f.clock.Now()+leaseTime
				}
			},
			"start": func(rt *rapid.T) {
				opts := []StartOption{
					WithSize(anvilsize.New(rapid.Int64Range(0, 4500).Draw(rt, "cpu"), rapid.Int64Range(0, 3000).Draw(rt, "memory"), 0)),
					WithRunTime(anvilclock.Millis(rapid.IntRange(0, 300).Draw(rt, "run"))),
					WithHold(rapid.Bool().Draw(rt, "hold")),
				}
				if rapid.Bool().Draw(rt, "resume") {
					opts = append(opts, WithResume("checkpoint/x"))
				}
				kind := rapid.SampledFrom([]string{"call", "batch", "service", "gang"}).Draw(rt, "kind")
				f.startAt(rapid.Int64Range(0, epoch+1).Draw(rt, "epoch"), id(), kind, opts...)
			},
			"control": func(rt *rapid.T) {
				op := rapid.SampledFrom([]string{"stop", "checkpoint", "throttle", "resume", "go"}).Draw(rt, "op")
				f.sendControl(rapid.Int64Range(0, epoch).Draw(rt, "epoch"), id(), op)
			},
			"saved":  func(rt *rapid.T) { f.host.Saved(id(), drawError(rt)) },
			"loaded": func(rt *rapid.T) { f.host.Loaded(id(), []byte("progress=10"), drawError(rt)) },
			"run":    func(rt *rapid.T) { f.advance(anvilclock.Millis(rapid.IntRange(1, 500).Draw(rt, "ms"))) },
			"pause": func(rt *rapid.T) {
				f.pause(anvilclock.Millis(rapid.IntRange(1, 10_000).Draw(rt, "ms")))
				f.host.Tick()
			},
			"": func(rt *rapid.T) {
				if live := len(f.host.live); live > 0 && f.clock.Now() >= until {
					rt.Fatalf("%d tasks are live without a lease", live)
				}
				if f.clock.Now() >= retention {
					return // ids may be forgotten and started again from here on
				}
				for id, n := range f.startCount {
					if n > 1 {
						rt.Fatalf("task %s started %d times", id, n)
					}
				}
			},
		})
	})
}

func drawError(rt *rapid.T) error {
	if rapid.Bool().Draw(rt, "failed") {
		return fmt.Errorf("no reply")
	}
	return nil
}
