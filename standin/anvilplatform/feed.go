package anvilplatform

import "anvilhold.org/lib/anvilclock"

// feed is a pending call that waits for changes of a table.
type feed struct {
	table string
	after int64
	until anvilclock.Millis
	reply chan<- Page
}

// Follow replies with the changes of a table after a version, as soon as there is one or after wait. It replies with
// outcome Compacted if the history does not reach back to the version. The reply channel must have a buffer of at least
// one.
func (p *Platform) Follow(table string, after int64, wait anvilclock.Millis, reply chan<- Page) {
	now := p.clock.Now()
	if outcome := p.faults.outcome(now, p.random, false); outcome != Answered {
		reply <- p.page(outcome)
		return
	}
	f := &feed{table: table, after: after, until: now + wait, reply: reply}
	if !p.answer(f) {
		p.feeds = append(p.feeds, f)
	}
}

// answer replies to a feed if there are changes, if its history is compacted or if its wait has expired, and reports
// whether it did.
func (p *Platform) answer(f *feed) bool {
	if f.after < p.compactedTo {
		f.reply <- p.page(Compacted)
		return true
	}
	rows := p.rows(f.table, f.after)
	now := p.clock.Now()
	if (len(rows) == 0 && now < f.until) || p.faults.compacting(now) {
		return false
	}
	out := p.page(Answered)
	out.rows, out.delay = rows, transactionTime*p.faults.slowdown(now)
	f.reply <- out
	return true
}

func (p *Platform) answerFeeds() {
	kept := p.feeds[:0]
	for _, f := range p.feeds {
		if !p.answer(f) {
			kept = append(kept, f)
		}
	}
	p.feeds = kept
}

// Next returns the interval between two calls of Tick. The second result is always true.
func (p *Platform) Next() (anvilclock.Millis, bool) { return tickInterval, true }

// tickInterval is the precision with which waits of feeds and registrations of workers expire.
const tickInterval = anvilclock.Millis(20)

// Tick removes workers that missed their heartbeats, compacts the history if that fault ends now, and answers the feeds
// whose wait has expired.
func (p *Platform) Tick() {
	now := p.clock.Now()
	p.expireWorkers(now)
	p.faults.tick(p, now)
	p.answerFeeds()
}
