package anvilstore

import (
	"fmt"
	"slices"
	"testing"

	"anvilhold.org/lib/anvilclock"
)

func newTable() (*Table, *anvilclock.Manual) {
	clock := anvilclock.NewManual(1000)
	return NewTable(clock), clock
}

func mustCommit(t *testing.T, tab *Table, want int64, opts ...ChangeOption) {
	t.Helper()
	c, err := NewChange("c", opts...)
	if err != nil {
		t.Fatalf("NewChange: %v", err)
	}
	if v, conflict := tab.Commit(c); conflict != nil || v != want {
		t.Fatalf("Commit = %d, conflict %v, want version %d", v, conflict, want)
	}
}

func mustConflict(t *testing.T, tab *Table, key string, version int64, opts ...ChangeOption) {
	t.Helper()
	c, err := NewChange("c", opts...)
	if err != nil {
		t.Fatalf("NewChange: %v", err)
	}
	before := tab.Version()
	_, conflict := tab.Commit(c)
	if conflict == nil || conflict.Key() != key || conflict.Version() != version {
		t.Fatalf("conflict = %+v, want %s at version %d", conflict, key, version)
	}
	if tab.Version() != before {
		t.Fatalf("a commit in conflict raised the version to %d", tab.Version())
	}
}

// mustRead checks a read against rows written as "key@version", with a minus sign for tombstones.
func mustRead(t *testing.T, tab *Table, prefix string, after int64, want ...string) {
	t.Helper()
	rows, version := tab.Rows(prefix, after)
	var got []string
	for _, r := range rows {
		text := fmt.Sprintf("%s@%d", r.Key(), r.Version())
		if r.Deleted() {
			text = "-" + text
		}
		got = append(got, text)
	}
	if !slices.Equal(got, want) || version != tab.Version() {
		t.Fatalf("Rows(%q, %d) = %v at %d, want %v at %d", prefix, after, got, version, want, tab.Version())
	}
}

func put(key string) ChangeOption { return WithPut(key, []byte("v")) }

// Guards against two concurrent writers of a row that both succeed.
func TestCompareAndSet(t *testing.T) {
	tab, _ := newTable()
	mustCommit(t, tab, 1, WithCheck("a", 0), put("a"), put("b"))
	t.Run("creating a row that exists", func(t *testing.T) { mustConflict(t, tab, "a", 1, WithCheck("a", 0), put("a")) })
	t.Run("updating a row that does not exist", func(t *testing.T) { mustConflict(t, tab, "c", 0, WithCheck("c", 1), put("c")) })
	t.Run("one of two checks fails", func(t *testing.T) {
		mustConflict(t, tab, "b", 1, WithCheck("a", 1), WithCheck("b", 7), put("a"))
		mustRead(t, tab, "", 0, "a@1", "b@1")
	})
	t.Run("the current version", func(t *testing.T) { mustCommit(t, tab, 2, WithCheck("a", 1), put("a")) })
	t.Run("an older version", func(t *testing.T) { mustConflict(t, tab, "a", 2, WithCheck("a", 1), put("a")) })
}

// Guards against readers that miss a deletion and against rows that can't be created again.
func TestTombstones(t *testing.T) {
	tab, clock := newTable()
	mustCommit(t, tab, 1, put("k/a"), put("k/b"))
	mustCommit(t, tab, 2, WithDelete("k/a"), WithDelete("k/none"))
	t.Run("are read", func(t *testing.T) { mustRead(t, tab, "k/", 1, "-k/a@2") })
	t.Run("fail a check of their version", func(t *testing.T) { mustConflict(t, tab, "k/a", 2, WithCheck("k/a", 2)) })
	t.Run("count as not existing", func(t *testing.T) {
		mustCommit(t, tab, 3, WithCheck("k/a", 0), put("k/a"))
		mustRead(t, tab, "k/", 0, "k/b@1", "k/a@3")
	})
	t.Run("are removed after the retention time", func(t *testing.T) {
		mustCommit(t, tab, 4, WithDelete("k/b"))
		clock.Advance(retention - 1)
		mustRead(t, tab, "k/", 3, "-k/b@4")
		clock.Advance(1)
		mustRead(t, tab, "k/", 0, "k/a@3")
	})
	t.Run("do not remove a row that was written again", func(t *testing.T) {
		mustCommit(t, tab, 5, WithDelete("k/a"))
		mustCommit(t, tab, 6, put("k/a"))
		clock.Advance(retention)
		mustRead(t, tab, "k/", 0, "k/a@6")
	})
}

// Guards against reads that mix up key spaces or lose rows when a journal is compacted.
func TestRows(t *testing.T) {
	tab, _ := newTable()
	for v := int64(1); v <= 400; v++ {
		mustCommit(t, tab, v, put(fmt.Sprintf("s/%d", v%2)))
	}
	mustCommit(t, tab, 401, put("t/0"))
	t.Run("after compaction", func(t *testing.T) { mustRead(t, tab, "s/", 0, "s/1@399", "s/0@400") })
	t.Run("after a version", func(t *testing.T) { mustRead(t, tab, "s/", 399, "s/0@400") })
	t.Run("of one key", func(t *testing.T) { mustRead(t, tab, "s/1", 0, "s/1@399") })
	t.Run("of all key spaces", func(t *testing.T) { mustRead(t, tab, "", 0, "s/1@399", "s/0@400", "t/0@401") })
	t.Run("after a version above the current one", func(t *testing.T) { mustRead(t, tab, "s/", 1000) })
	t.Run("journal stays small", func(t *testing.T) {
		if n := len(tab.journals["s"].rows); n > 140 {
			t.Fatalf("the journal of two rows has %d entries", n)
		}
	})
}

// Guards against changes that are too large or write a key twice.
func TestChangeBounds(t *testing.T) {
	many := func(n int, opt func(i int) ChangeOption) (opts []ChangeOption) {
		for i := range n {
			opts = append(opts, opt(i))
		}
		return opts
	}
	putNth := func(i int) ChangeOption { return put(fmt.Sprint(i)) }
	for _, tc := range []struct {
		name string
		opts []ChangeOption
		ok   bool
	}{
		{"128 rows", many(MaxRows, putNth), true},
		{"129 rows", many(MaxRows+1, putNth), false},
		{"129 deletes", many(MaxRows+1, func(i int) ChangeOption { return WithDelete(fmt.Sprint(i)) }), false},
		{"too many checks", many(MaxChecks+1, func(int) ChangeOption { return WithCheck("a", 1) }), false},
		{"put and delete of one key", []ChangeOption{put("a"), WithDelete("a")}, false},
		{"empty key", []ChangeOption{put("")}, false},
		{"empty key in a check", []ChangeOption{WithCheck("", 0)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := NewChange("c", tc.opts...); (err == nil) != tc.ok {
				t.Fatalf("NewChange: %v, want ok=%t", err, tc.ok)
			}
		})
	}
}

// Guards against a store that grows without bound.
func TestObjects(t *testing.T) {
	o := NewObjects()
	t.Run("too large", func(t *testing.T) {
		if err := o.Put("a", make([]byte, MaxObject+1)); err == nil {
			t.Fatal("an object above the limit was accepted")
		}
	})
	t.Run("full", func(t *testing.T) {
		data := make([]byte, MaxObject)
		for i := range maxObjects / MaxObject {
			if err := o.Put(fmt.Sprint(i), data); err != nil {
				t.Fatal(err)
			}
		}
		if err := o.Put("more", data); err == nil {
			t.Fatal("a full store accepted an object")
		}
		if err := o.Put("0", data[:1]); err != nil {
			t.Fatalf("a full store refused to shrink an object: %v", err)
		}
		o.Delete("1")
		if err := o.Put("more", data); err != nil {
			t.Fatalf("the space of a deleted object was not released: %v", err)
		}
	})
}
