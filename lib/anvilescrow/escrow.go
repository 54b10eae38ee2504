// Package anvilescrow keeps the parts of team limits that shards hold in escrow, so that a team's
// limit holds across the fleet without a table access for each placement.
//
// The row of a team in the table lists the parts by shard. What the limit leaves is free. A part
// is raised in the table first and in memory after, and lowered in memory first and in the table
// after, so that an owner never uses more than the table says.
package anvilescrow

import "anvilhold.org/lib/anvilsize"

// windows is the number of windows in which the need of an account is noted. Each is half of the
// idle time long, so that the need covers at least the idle time and at most one and a half.
const windows = 3

// Account is one team's part in one shard: what the shard may use and what it uses.
type Account struct {
	part   anvilsize.Size
	used   anvilsize.Size
	frozen bool // the team's parts exceed its limit, so nothing may start
	peaks  [windows]anvilsize.Size
}

// Part returns the portion of the limit that the shard holds.
func (a *Account) Part() anvilsize.Size { return a.part }

// Used returns what runs or is reserved for the team in the shard.
func (a *Account) Used() anvilsize.Size { return a.used }

// Available returns what may still be started. Amounts are negative when more runs than the part.
func (a *Account) Available() anvilsize.Size {
	room := a.part.Sub(a.used)
	if a.frozen {
		room = room.Min(anvilsize.Size{})
	}
	return room
}

// Reserve counts s as used. It fails and changes nothing when the part has no room for s.
func (a *Account) Reserve(s anvilsize.Size) bool {
	if !s.Fits(a.Available()) {
		return false
	}
	a.Adopt(s)
	return true
}

// Adopt counts a task that already runs, whether or not it fits.
func (a *Account) Adopt(s anvilsize.Size) {
	a.used = a.used.Add(s)
	a.note(a.used)
}

// Release stops counting s.
func (a *Account) Release(s anvilsize.Size) { a.used = a.used.Sub(s) }

// SetPart replaces the part.
func (a *Account) SetPart(s anvilsize.Size) { a.part = s }

// note counts an amount as needed now.
func (a *Account) note(s anvilsize.Size) { a.peaks[0] = a.peaks[0].Max(s) }

// turn begins a new window.
func (a *Account) turn() {
	copy(a.peaks[1:], a.peaks[:windows-1])
	a.peaks[0] = a.used
}

// need returns the largest use within the windows.
func (a *Account) need() anvilsize.Size {
	n := a.used
	for _, p := range a.peaks {
		n = n.Max(p)
	}
	return n
}
