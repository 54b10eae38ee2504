package anvilevacuation

import (
	"fmt"
	"testing"
)

func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestDomains(t *testing.T) {
	t.Run("the last change of a page holds", func(t *testing.T) {
		// Guards against work in a domain that was evacuated, taken back and evacuated again between two reads.
		var d Domains
		d.Apply(NewFullPage([]Change{Request("north")}), 10)
		begun, ended := d.Apply(NewPage([]Change{End("north"), Request("north"), Request("south")}), 20)
		assertEqual(t, "begun", begun, "[south]")
		assertEqual(t, "ended", ended, "[]")
		assertEqual(t, "evacuated", d.evacuated, "map[north:true south:true]")
	})
	t.Run("a full page ends what it doesn't name", func(t *testing.T) {
		// Guards against a domain that stays unused when its row was removed while the feed was lost.
		var d Domains
		d.Apply(NewFullPage([]Change{Request("north"), Request("south")}), 10)
		_, ended := d.Apply(NewFullPage([]Change{Request("south")}), 20)
		assertEqual(t, "ended", ended, "[north]")
		assertEqual(t, "north is evacuated", d.Evacuated("north"), false)
	})
	t.Run("changes alone show nothing", func(t *testing.T) {
		// Guards against starts by a process that hasn't read the requests in force.
		var d Domains
		d.Apply(NewPage(nil), 10)
		assertEqual(t, "known", d.KnownSince(0), false)
		d.Apply(NewFullPage(nil), 20)
		assertEqual(t, "known", d.KnownSince(20), true)
		assertEqual(t, "known later", d.KnownSince(21), false)
	})
	t.Run("an older read doesn't shorten the knowledge", func(t *testing.T) {
		// Guards against starts that are held because a late answer moves the time back.
		var d Domains
		d.Apply(NewFullPage(nil), 20)
		d.Apply(NewPage(nil), 10)
		assertEqual(t, "known", d.KnownSince(20), true)
	})
}
