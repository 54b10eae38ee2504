package anvilrelay

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildelta"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// An instance that has the configuration of version 3 in the row of version 40, and may ask two others.
const (
	parent, grandparent = "a1:1", "a0:1"
	cursor              = 50
	knownVersion        = 3
	knownRow            = 40
)

// document returns the text of a version, which is as long as its number.
func document(version int64) []byte { return make([]byte, version) }

// fakes are what a reader uses. Instances answer with updates, by their addresses, and the store with page.
type fakes struct {
	clock   *anvilclock.Manual
	updates map[string]Update
	asked   []string
	// onQuery, when set, is called by each query.
	onQuery func()
	page    anvilstorage.PolicyPage
	err     error
	afters  []int64
	waits   []anvilclock.Millis
	leads   bool
}

// peers makes the fakes answer as other instances, whose method has the name of the store's.
type peers struct{ *fakes }

func (p peers) Policy(_ context.Context, addr string, _ Query) (Update, error) {
	p.asked = append(p.asked, addr)
	if p.onQuery != nil {
		p.onQuery()
	}
	if s, ok := p.updates[addr]; ok {
		return s, nil
	}
	return Update{}, errors.New("no answer")
}

func (f *fakes) Policy(_ context.Context, after int64, wait anvilclock.Millis) (anvilstorage.PolicyPage, error) {
	f.afters, f.waits = append(f.afters, after), append(f.waits, wait)
	return f.page, f.err
}

func (*fakes) ParsePolicy(text []byte) (*anvilpolicy.Policy, error) {
	if len(text) == 0 {
		return nil, errors.New("the text is empty")
	}
	return anvilpolicy.New(int64(len(text)), nil), nil
}

func (f *fakes) Parents() []string {
	if f.leads {
		return nil
	}
	return []string{parent, grandparent}
}

func (*fakes) Known() (int64, []byte) { return knownRow, document(knownVersion) }

func (*fakes) ReadLimits(int64, anvilclock.Millis) (wait, timeout anvilclock.Millis) {
	return 700, 1700
}

func (*fakes) Count(string) {}

// newReader returns a reader that has read the store once, and its fakes.
func newReader(t *testing.T) (*Reader, *fakes) {
	t.Helper()
	f := &fakes{clock: anvilclock.NewManual(10_000), updates: map[string]Update{}, page: stored(knownVersion, 1)}
	r, err := NewReader(f, f, f.clock, &anvilevent.Log{}, f, WithPeers(peers{f}, f))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.Read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	f.afters, f.waits = nil, nil
	return r, f
}

// stored returns a page of the store that lists a number of versions.
func stored(version int64, changes int) anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(anvilpolicy.New(version, nil), 45, cursor).WithDocument(document(version)).WithChanges(changes)
}

// updated returns an update with a version, as the difference from a row's version that has the text base. It was confirmed 100 ms before
// the query arrived.
func updated(t *testing.T, version, from int64, base []byte) Update {
	t.Helper()
	difference, err := anvildelta.Encode(base, document(version))
	if err != nil {
		t.Fatal(err)
	}
	return NewUpdate(60, 7, -100, nil).WithDocument(55, from, difference)
}

// assertRead reads once and checks the version, and when it was the newest.
func assertRead(t *testing.T, r *Reader, version int64, since anvilclock.Millis) anvilstorage.PolicyPage {
	t.Helper()
	page, at, err := r.Read(t.Context(), cursor)
	assertEqual(t, "error", err, nil)
	assertEqual(t, "version", page.Policy().Version(), version)
	assertEqual(t, "confirmed as of", at, since)
	return page
}

func (f *fakes) assertCalls(t *testing.T, asked []string, afters ...int64) {
	t.Helper()
	assertEqual(t, "instances that were asked", f.asked, asked)
	assertEqual(t, "reads of the store", f.afters, afters)
}

func TestReader(t *testing.T) {
	t.Run("a difference", func(t *testing.T) {
		// Guards against a configuration that counts as younger than it is.
		r, f := newReader(t)
		f.updates[parent] = updated(t, 5, knownRow, document(knownVersion))
		f.onQuery = func() { f.clock.Advance(400) }
		assertRead(t, r, 5, 9_900)
		f.assertCalls(t, []string{parent})
	})
	t.Run("another one when it fails", func(t *testing.T) {
		// Guards against instances that all read from the store when the one that they ask is gone.
		r, f := newReader(t)
		f.updates[grandparent] = updated(t, 5, 0, nil)
		assertRead(t, r, 5, 9_900)
		assertRead(t, r, 5, 9_900)
		f.assertCalls(t, []string{parent, grandparent, grandparent})
	})
	t.Run("the store when none answers", func(t *testing.T) {
		// Guards against a configuration that isn't confirmed because other instances fail, and against reads of all that was missed.
		r, f := newReader(t)
		f.page = stored(4, 1)
		assertRead(t, r, 4, 10_000)
		assertRead(t, r, 4, 10_000)
		f.assertCalls(t, []string{parent, grandparent}, 0, cursor)
		f.clock.Advance(backoff)
		assertRead(t, r, 4, 13_000)
		f.updates[parent] = updated(t, 5, 0, nil)
		assertRead(t, r, 5, 12_900)
		f.assertCalls(t, []string{parent, grandparent, parent}, 0, cursor, cursor)
	})
	t.Run("the store when the configuration is old", func(t *testing.T) {
		// Guards against a slow instance that takes up the time until the configuration is too old.
		r, f := newReader(t)
		f.onQuery = func() { f.clock.Advance(maxAge + 1) }
		assertRead(t, r, knownVersion, 11_201)
		f.assertCalls(t, []string{parent}, 0)
	})
	t.Run("the store without instances to ask", func(t *testing.T) {
		// Guards against a leader that asks others, and against confirmations that are old when others hear of them.
		r, f := newReader(t)
		f.leads = true
		assertRead(t, r, knownVersion, 10_000)
		f.assertCalls(t, nil, cursor)
		assertEqual(t, "wait", f.waits, []anvilclock.Millis{storeWait})
	})
	t.Run("the store lists several versions", func(t *testing.T) {
		// Guards against a reader that can't keep up and gets every version whole.
		r, f := newReader(t)
		f.leads = true
		f.page = stored(4, 3)
		assertRead(t, r, 4, 10_000)
		f.page = stored(6, 1)
		assertRead(t, r, 6, 10_000)
		assertRead(t, r, 6, 10_000)
		f.assertCalls(t, nil, cursor, 0, cursor)
	})
	t.Run("a read of the store fails", func(t *testing.T) {
		// Guards against a reader that asks for more with each failure.
		r, f := newReader(t)
		f.leads = true
		f.err = anvilstorage.NewError(anvilstorage.Refused, errors.New("timeout"))
		_, _, err := r.Read(t.Context(), cursor)
		assertEqual(t, "read fails", err != nil, true)
		f.err = nil
		assertRead(t, r, knownVersion, 10_000)
		f.assertCalls(t, nil, cursor, 0)
	})
}

func TestDroppedUpdates(t *testing.T) {
	for name, s := range map[string]Update{
		"from another version":     updated(t, 5, knownRow-1, document(2)),
		"from another text":        updated(t, 500, knownRow, document(300)),
		"that is cut off":          NewUpdate(60, 7, 0, nil).WithDocument(55, 0, updated(t, 500, 0, nil).Difference()[:9]),
		"that can't be decoded":    updated(t, 0, 0, nil),
		"confirmed in the future":  NewUpdate(60, 7, 1, nil),
		"in an unknown encoding":   NewUpdate(60, 7, 0, nil).WithDocument(55, 0, []byte("{}")),
		"in an encoding that ends": NewUpdate(60, 7, 0, nil).WithDocument(55, 0, []byte{}),
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against a configuration that the store never had, or that counts as confirmed too late.
			r, f := newReader(t)
			f.updates[parent] = s
			assertRead(t, r, knownVersion, 10_000)
			f.assertCalls(t, []string{parent, grandparent}, 0)
		})
	}
}

// Guards against an evacuation that an instance forgets because the one that it asks hasn't heard of it.
func TestEvacuationsOfOlderUpdate(t *testing.T) {
	for version, want := range map[int64]bool{cursor - 1: false, cursor: true, cursor + 1: true} {
		r, f := newReader(t)
		f.updates[parent] = NewUpdate(version, 7, 0, nil)
		page, _, err := r.Read(t.Context(), cursor)
		assertEqual(t, "error", err, nil)
		assertEqual(t, "evacuations are taken", page.Evacuations() != nil, want)
	}
}
