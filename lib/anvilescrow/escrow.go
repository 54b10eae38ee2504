// Package anvilescrow divides each team's limit among the shards, so that the limit holds across the
// fleet without a table access for each placement. A shard holds its allocation in escrow: only the
// shard's owner may use it.
//
// The escrow row of a team in the table lists the allocations by shard. What the row doesn't allocate is
// the free share of the limit. An allocation is raised first in the table and then in memory, and lowered
// first in memory and then in the table, so that an owner never uses more than the table says.
package anvilescrow

import "anvilhold.org/lib/anvilsize"

// windowCount is the number of windows over which an account's peak use is kept. Each window is half of
// the idle time long, so together they cover at least the idle time and at most one and a half of it.
const windowCount = 3

// Account is one team's allocation in one shard and the use that counts against it. It is not safe for
// concurrent use.
type Account struct {
	allocation anvilsize.Size
	used       anvilsize.Size
	blocked    bool // the contract is unknown, or the team's allocations exceed its limit
	peaks      [windowCount]anvilsize.Size
}

// Allocation returns the share of the team's limit that the shard holds in escrow.
func (a *Account) Allocation() anvilsize.Size { return a.allocation }

// Used returns the resources that the team's tasks use or have reserved in the shard.
func (a *Account) Used() anvilsize.Size { return a.used }

// Available returns what may still be started: nothing while the contract is unknown or the team's allocations
// exceed its limit. An amount is negative when more is used than allocated.
func (a *Account) Available() anvilsize.Size {
	available := a.allocation.Sub(a.used)
	if a.blocked {
		available = available.Min(anvilsize.Size{})
	}
	return available
}

// Reserve counts s as used. It returns false and changes nothing when s exceeds what is available.
func (a *Account) Reserve(s anvilsize.Size) bool {
	if !s.Fits(a.Available()) {
		return false
	}
	a.Adopt(s)
	return true
}

// Adopt counts s as used for a task that already runs, whether or not it fits.
func (a *Account) Adopt(s anvilsize.Size) {
	a.used = a.used.Add(s)
	a.recordNeed(a.used)
}

// Release stops counting s, which Reserve or Adopt has counted.
func (a *Account) Release(s anvilsize.Size) { a.used = a.used.Sub(s) }

// SetAllocation replaces the allocation. What is in use stays counted.
func (a *Account) SetAllocation(s anvilsize.Size) { a.allocation = s }

// recordNeed counts s as needed in the current window.
func (a *Account) recordNeed(s anvilsize.Size) { a.peaks[0] = a.peaks[0].Max(s) }

// startWindow begins a new window and forgets the oldest.
func (a *Account) startWindow() {
	copy(a.peaks[1:], a.peaks[:windowCount-1])
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
