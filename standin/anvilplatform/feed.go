package anvilplatform

import "anvilhold.org/lib/anvilclock"

// feed is a call that waits for a change of a table.
type feed struct {
	table string
	after int64
	until anvilclock.Millis
	reply chan<- Page
}

// Follow answers with the changes of a table after a version as soon as there is one, or when wait is over.
// The reply channel must have room for one page.
func (s *Platform) Follow(table string, after int64, wait anvilclock.Millis, reply chan<- Page) {
	now := s.clock.Now()
	if outcome := s.faults.judge(now, s.random, false); outcome != Answered {
		reply <- s.page(outcome)
		return
	}
	f := &feed{table: table, after: after, until: now + wait, reply: reply}
	if !s.serve(f) {
		s.feeds = append(s.feeds, f)
	}
}

// serve answers a feed if there is something to tell, and reports whether it did.
func (s *Platform) serve(f *feed) bool {
	if f.after < s.floor {
		f.reply <- s.page(Compacted)
		return true
	}
	rows := s.rows(f.table, f.after)
	now := s.clock.Now()
	if (len(rows) == 0 && now < f.until) || s.faults.deaf(now) {
		return false
	}
	out := s.page(Answered)
	out.rows, out.delay = rows, transactionTime*s.faults.slowness(now)
	f.reply <- out
	return true
}

func (s *Platform) serveFeeds() {
	kept := s.feeds[:0]
	for _, f := range s.feeds {
		if !s.serve(f) {
			kept = append(kept, f)
		}
	}
	s.feeds = kept
}

// Next returns the time until the next change that comes by itself.
func (s *Platform) Next() (anvilclock.Millis, bool) { return tick, true }

// tick is the resolution of feeds and of the list of workers.
const tick = anvilclock.Millis(20)

// Tick answers the feeds that have waited long enough and removes workers that are silent.
func (s *Platform) Tick() {
	now := s.clock.Now()
	s.expireWorkers(now)
	s.faults.tick(s, now)
	s.serveFeeds()
}
