// Package anvilevacuation holds the operators' requests that no work be sent to the workers of a failure domain, and how
// recent that knowledge is.
package anvilevacuation

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// Change is the request to evacuate a failure domain, or the end of one.
type Change struct {
	domain string
	ended  bool
}

// Request returns the request to evacuate a domain.
func Request(domain string) Change { return Change{domain: domain} }

// End returns the end of the evacuation of a domain.
func End(domain string) Change { return Change{domain: domain, ended: true} }

// Page is the result of a read of the requests: all of them, or the changes since the read before it.
type Page struct {
	changes []Change
	full    bool
}

// NewPage returns the changes since the last page, in their order. It keeps the slice.
func NewPage(changes []Change) *Page { return &Page{changes: changes} }

// NewFullPage returns all requests in force. It keeps the slice.
func NewFullPage(requests []Change) *Page { return &Page{changes: requests, full: true} }

// Domains holds the evacuated domains as of the last read. The zero value knows nothing. It is not safe for concurrent use.
type Domains struct {
	evacuated map[string]bool
	read      bool
	confirmed anvilclock.Millis
}

// Apply applies a page that was read at a time or later. It returns the domains whose evacuation begins, and those for which
// it ends, in order.
func (d *Domains) Apply(p *Page, at anvilclock.Millis) (begun, ended []string) {
	before := maps.Clone(d.evacuated)
	if p.full || d.evacuated == nil {
		d.evacuated = map[string]bool{}
	}
	for _, c := range p.changes {
		if c.ended {
			delete(d.evacuated, c.domain)
		} else {
			d.evacuated[c.domain] = true
		}
	}
	if p.full {
		d.read = true
	}
	d.confirmed = max(d.confirmed, at)
	return added(before, d.evacuated), added(d.evacuated, before)
}

// added returns the domains of to that from lacks.
func added(from, to map[string]bool) []string {
	var out []string
	for domain := range to {
		if !from[domain] {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// Evacuated reports whether the domain was evacuated at the last read.
func (d *Domains) Evacuated(domain string) bool { return d.evacuated[domain] }

// KnownSince reports whether the requests that were stored by a time are known.
func (d *Domains) KnownSince(at anvilclock.Millis) bool { return d.read && d.confirmed >= at }
