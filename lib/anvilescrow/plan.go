package anvilescrow

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// teamsPerPlan bounds the teams that one plan looks at, because it runs on the control loop, whose
// decisions must stay under 2 ms: a team with 96 shards takes about 40 µs (BenchmarkPlan).
const teamsPerPlan = 32

// Plan returns the transfers to commit now, at most one for a team whose last transfer has a result. Parts
// that a transfer lowers are lower in memory at once. A team of which nothing has changed is looked at
// only when a window of its accounts ends. When many teams have changed, the next plan goes on with
// those that are left, so Plan is to be called several times a second.
func (l *Ledger) Plan(now anvilclock.Millis) []Transfer {
	for i, name := range l.names {
		l.turn(l.teams[name], i, now)
	}
	var transfers []Transfer
	first, looked := l.next, 0
	for k := 0; k < len(l.names) && looked < teamsPerPlan; k++ {
		l.next = (first + k + 1) % len(l.names)
		name := l.names[(first+k)%len(l.names)]
		t := l.teams[name]
		if !t.dirty || !t.ready(now) {
			continue
		}
		looked++
		t.dirty = false
		if m := l.plan(name, t, now); m != nil {
			t.push(m)
			l.refresh(t)
			transfers = append(transfers, *m)
		}
	}
	return transfers
}

// turn begins new windows of a team's accounts when the current ones are over. The teams' windows
// begin at different times, so that not all teams are looked at in the same plan.
func (l *Ledger) turn(t *team, index int, now anvilclock.Millis) {
	window := (l.idle + 1) / 2
	if t.turned == 0 {
		t.turned = now - anvilclock.Millis(index)*window/anvilclock.Millis(len(l.names))
	}
	if now-t.turned < window {
		return
	}
	t.turned, t.dirty = now, true
	for _, a := range t.accounts {
		a.turn()
	}
}

// ready reports whether a team may be planned.
func (t *team) ready(now anvilclock.Millis) bool {
	if !t.known || t.flight != 0 {
		return false
	}
	if t.failed && t.retry == 0 {
		t.retry = now + retryAfter
	}
	if t.failed && now < t.retry {
		return false
	}
	t.failed = false
	return true
}

// openBound is the number of transfers without a result that a team keeps. During an outage of the table
// a new one is tried each second.
const openBound = 8

// push adds a transfer that is about to be committed. Beyond the bound the two oldest become one view
// with the lower parts of both, whose result can't be reported any more; the next newer row ends it.
func (t *team) push(m *Transfer) {
	if len(t.open) >= openBound {
		a, b := t.open[0], t.open[1]
		low := map[string]anvilsize.Size{}
		for shard, part := range a.parts {
			low[shard] = part.Min(b.parts[shard])
		}
		t.open = append([]*Transfer{{parts: low}}, t.open[2:]...)
	}
	t.open = append(t.open, m)
	t.flight = m.id
}

// plan returns the next transfer of a team, nil when the row can stay as it is.
func (l *Ledger) plan(name string, t *team, now anvilclock.Millis) *Transfer {
	d := &draft{limit: t.limit, base: t.parts, sum: t.sum, parts: map[string]anvilsize.Size{}, frozen: !t.sum.Fits(t.limit)}
	l.dropVanished(d)
	floor := l.floor(t)
	for _, shard := range l.owned {
		d.lower(shard, t.accounts[shard], floor)
	}
	if !d.frozen {
		for _, shard := range l.owned {
			d.raise(shard, floor.Sub(d.part(shard)), anvilsize.Size{})
		}
		d.kept = l.unfilled(d, floor)
		for _, shard := range l.owned {
			l.ask(d, t, shard, now)
		}
	}
	changed := d.changed(l.owned)
	if len(changed) == 0 && len(t.open) == 0 && !d.vanished {
		return nil
	}
	l.last++
	return &Transfer{id: l.last, team: name, row: t.row, contract: t.contract, parts: d.row(), shards: changed}
}

// floor returns the even floor of a team's part: half of the limit divided by the shards.
func (l *Ledger) floor(t *team) anvilsize.Size {
	if len(l.fleet) == 0 {
		return anvilsize.Size{}
	}
	floor := t.limit.Ratio(1, 2*int64(len(l.fleet)))
	if !l.least.Fits(floor) {
		return anvilsize.Size{}
	}
	return floor
}

// draft is a row while it is computed: the parts that differ from the row in the table.
type draft struct {
	limit    anvilsize.Size
	base     map[string]anvilsize.Size
	parts    map[string]anvilsize.Size
	sum      anvilsize.Size
	kept     anvilsize.Size // of what is free, what the floors of other shards lack
	frozen   bool
	vanished bool
}

func (d *draft) free() anvilsize.Size { return d.limit.Sub(d.sum).Sub(d.kept) }

// unfilled returns what other shards lack of their floors. It isn't given out on demand: after an
// outage the shards with the first commits would otherwise hold the whole limit for as long as they
// have work, while others can't start one task.
func (l *Ledger) unfilled(d *draft, floor anvilsize.Size) anvilsize.Size {
	var sum anvilsize.Size
	for _, shard := range l.fleet {
		sum = sum.Add(floor.Sub(d.part(shard)).Max(anvilsize.Size{}))
	}
	return sum
}

func (d *draft) part(shard string) anvilsize.Size {
	if len(d.parts) > 0 {
		if part, ok := d.parts[shard]; ok {
			return part
		}
	}
	return d.base[shard]
}

func (d *draft) set(shard string, part anvilsize.Size) {
	old := d.part(shard)
	if part == old {
		return
	}
	d.sum = d.sum.Sub(old).Add(part)
	d.parts[shard] = part
}

// row returns the complete new row.
func (d *draft) row() map[string]anvilsize.Size {
	out := maps.Clone(d.base)
	if out == nil {
		out = map[string]anvilsize.Size{}
	}
	for shard, part := range d.parts {
		if part.IsZero() {
			delete(out, shard)
		} else {
			out[shard] = part
		}
	}
	return out
}

// raise adds as much of size as is free. It adds nothing when that is less than least, because a
// part too small for any start would only be missing elsewhere.
func (d *draft) raise(shard string, size, least anvilsize.Size) {
	size = size.Max(anvilsize.Size{}).Min(d.free().Max(anvilsize.Size{}))
	if size.IsZero() {
		return
	}
	if !least.Fits(size) {
		return
	}
	d.set(shard, d.part(shard).Add(size))
}

// changed returns the owned shards whose parts differ from the row.
func (d *draft) changed(owned []string) []string {
	var out []string
	for _, shard := range owned {
		if d.part(shard) != d.base[shard] {
			out = append(out, shard)
		}
	}
	return out
}

func (l *Ledger) dropVanished(d *draft) {
	if !l.reclaim || len(l.fleet) == 0 {
		return
	}
	for shard := range d.base {
		_, listed := slices.BinarySearch(l.fleet, shard)
		if !listed && !l.HasShard(shard) {
			d.set(shard, anvilsize.Size{})
			d.vanished = true
		}
	}
}

// scarceShare is the fraction of a limit, one in scarceShare, below which what is free counts as
// scarce. While more is free, remainders up to the same fraction of a part stay where they are,
// because each transfer costs a write of the table.
const scarceShare = 4

// lower takes back what a shard has not needed. While the limit is exceeded it takes back all that
// isn't in use.
func (d *draft) lower(shard string, a *Account, floor anvilsize.Size) {
	part := d.part(shard)
	if part.IsZero() {
		return
	}
	if a == nil {
		a = &Account{}
	}
	if d.frozen {
		d.set(shard, part.Min(a.used))
		return
	}
	need := a.need()
	keep := part.Min(need.Max(floor))
	plenty := d.limit.Ratio(1, scarceShare).Fits(d.free())
	small := part.Sub(keep).Fits(part.Ratio(1, scarceShare))
	if plenty && small && !need.Fits(floor) {
		return
	}
	d.set(shard, keep)
}

// ask raises a part for the demand that found no room.
func (l *Ledger) ask(d *draft, t *team, shard string, now anvilclock.Millis) {
	w := t.wants[shard]
	if w == nil {
		return
	}
	var used anvilsize.Size
	if a := t.accounts[shard]; a != nil {
		used = a.used
	}
	before := d.part(shard)
	room := before.Sub(used)
	short := w.sum.Sub(room).Max(anvilsize.Size{})
	if short.IsZero() || now-w.at >= l.idle {
		delete(t.wants, shard)
		return
	}
	d.raise(shard, short.Add(short.Ratio(l.extra, 100)), w.least.Sub(room))
	if d.part(shard) != before {
		delete(t.wants, shard)
	}
}
