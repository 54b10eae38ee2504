package anvilconfig

import (
	"fmt"
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

// The cell of the state machine: a table, instances that come, go and pause, and links that break.
// Time passes in ticks, at which each instance that runs does what is due.
const (
	tick     anvilclock.Millis = 100
	interval anvilclock.Millis = 500  // between reads and between questions
	lapse    anvilclock.Millis = 4000 // after which a session may be deleted
	bound    anvilclock.Millis = 4000 // within which a change is in effect
)

type commit struct {
	writer *node
	name   string
	dead   bool
	drop   string // the session to delete; empty for a change
}

type change struct {
	entry    Entry
	accepted anvilclock.Millis // 0 until an operator can know of it
}

type node struct {
	name     string
	up       bool
	paused   bool
	cut      bool // from the table
	store    *Store
	conf     *Confirmation
	intro    *Introduction
	row      bool // the session row was written
	listed   []string
	seen     map[string]sight
	dropped  map[string]bool
	begun    anvilclock.Millis
	pending  *reading
	nextRead anvilclock.Millis
	nextAsk  anvilclock.Millis
	status   Status
	until    anvilclock.Millis
}

type sight struct {
	beat int64
	at   anvilclock.Millis
}

type reading struct {
	number   int64
	entries  []Entry
	sessions map[string]int64
}

type cell struct {
	now      anvilclock.Millis
	down     bool
	number   int64
	rows     map[string]Entry
	sessions map[string]int64 // heartbeats by instance
	changes  []*change
	nodes    []*node
	broken   map[[2]string]bool
	flying   []*commit
	loose    string // a rule that is left out
}

func newCell(n int) *cell {
	c := &cell{
		now: 10_000, rows: map[string]Entry{}, sessions: map[string]int64{}, broken: map[[2]string]bool{},
	}
	for range n {
		c.join()
	}
	return c
}

func (c *cell) join() *node {
	n := &node{name: fmt.Sprintf("i%d", len(c.nodes)), up: true}
	n.reset()
	c.nodes = append(c.nodes, n)
	return n
}

// reset starts an instance anew, as it does when its session row is missing.
func (n *node) reset() {
	n.conf, n.intro, n.row = NewConfirmation(), NewIntroduction(), false
	n.listed, n.seen, n.dropped, n.pending = nil, map[string]sight{}, map[string]bool{}, nil
	if n.store == nil {
		n.store = NewStore()
	}
}

func (n *node) runs() bool { return n.up && !n.paused }

func (c *cell) find(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *cell) linked(a, b string) bool {
	return !c.broken[[2]string{min(a, b), max(a, b)}]
}

func (c *cell) reaches(n *node) bool { return !c.down && !n.cut }

// pass lets time go on.
func (c *cell) pass(t anvilassert.T, d anvilclock.Millis) {
	for end := c.now + d; c.now < end; {
		c.now += tick
		for _, n := range c.nodes {
			if n.runs() {
				c.act(n)
			}
		}
		c.check(t)
	}
}

func (c *cell) act(n *node) {
	if n.pending != nil { // the answer to a read takes one tick
		c.applyRead(n)
	}
	if c.now >= n.nextRead {
		n.nextRead = c.now + interval
		c.beginRead(n)
	}
	if c.now >= n.nextAsk {
		n.nextAsk = c.now + interval
		c.ask(n)
	}
	c.learn(n)
	n.status, n.until = n.conf.State(c.now, n.listed), n.conf.Until(c.now)
}

func (c *cell) beginRead(n *node) {
	n.begun = c.now
	if !c.reaches(n) {
		n.conf.TableFailed(c.now)
		return
	}
	if n.row {
		if _, ok := c.sessions[n.name]; ok {
			c.sessions[n.name]++
		}
	}
	n.pending = &reading{number: c.number, entries: slices.Collect(maps.Values(c.rows)), sessions: maps.Clone(c.sessions)}
}

func (c *cell) applyRead(n *node) {
	r := n.pending
	n.pending = nil
	if !c.reaches(n) {
		n.conf.TableFailed(c.now)
		return
	}
	n.store.Apply(r.number, r.entries)
	c.learn(n)
	if _, ok := r.sessions[n.name]; !ok && (!n.row || c.loose != "restart") {
		n.reset()
		c.sessions[n.name] = int64(c.now) // differs from every row of this instance before
		n.row = true
		return
	}
	maps.DeleteFunc(n.dropped, func(name string, _ bool) bool {
		_, ok := r.sessions[name]
		return !ok
	})
	n.listed = nil
	for name, beat := range r.sessions {
		if s, ok := n.seen[name]; !ok || s.beat != beat {
			n.seen[name] = sight{beat: beat, at: c.now}
		}
		lapsed := c.loose == "lapsed" && c.now-n.seen[name].at >= lapse
		if name != n.name && !lapsed {
			n.listed = append(n.listed, name)
		}
	}
	slices.Sort(n.listed)
	n.intro.Listed(n.listed)
	n.conf.Confirmed(n.begun)
}

// learn marks the changes that an instance can show to an operator as accepted.
func (c *cell) learn(n *node) {
	if !n.intro.Done() && c.loose != "introduction" {
		return
	}
	for _, ch := range c.changes {
		if ch.accepted == 0 && n.has(ch.entry) {
			ch.accepted = c.now
		}
	}
}

func (n *node) has(e Entry) bool { return n.store.entries[e.name].row >= e.row }

// ask introduces the instance and asks its peers for their state.
func (c *cell) ask(n *node) {
	peers := append(slices.Clone(n.listed), n.conf.Peers()...)
	slices.Sort(peers)
	for _, name := range slices.Compact(peers) {
		p := c.find(name)
		if !p.runs() || !c.linked(n.name, name) || !c.answers(p, n) {
			n.conf.PeerUnanswered(name, c.now)
			continue
		}
		n.intro.Reached(name)
		theirs := p.store.Snapshot().Version()
		if c.loose != "version" && theirs > n.store.Snapshot().Version() {
			n.store.Apply(theirs, p.store.Entries())
		}
		switch {
		case p.conf.TableReachable() && p.conf.Age(c.now) <= 1000 && n.store.Snapshot().Version() >= theirs:
			n.conf.PeerConfirmed(name, c.now-p.conf.Age(c.now))
		case p.conf.TableReachable() || p.store.Gap() && c.loose != "gap":
			n.conf.PeerUnanswered(name, c.now)
		default:
			n.conf.PeerTableFailed(name, c.now)
		}
	}
}

// answers reports whether p answers n. An unknown instance that introduces itself is noted first.
func (c *cell) answers(p, n *node) bool {
	if p.dropped[n.name] && c.loose != "dropped" {
		return false
	}
	if n.row && !n.intro.Done() {
		p.conf.PeerIntroduced(n.name, c.now)
		p.status, p.until = p.conf.State(c.now, p.listed), p.conf.Until(c.now)
	}
	return slices.Contains(p.conf.Peers(), n.name)
}

// send starts a commit of an instance; it reaches the table later.
func (c *cell) send(cm *commit) bool {
	if !cm.writer.runs() || !cm.writer.row || !cm.writer.intro.Done() && c.loose != "introduction" {
		return false
	}
	if cm.drop != "" {
		if s, ok := cm.writer.seen[cm.drop]; !ok || c.now-s.at < lapse || cm.drop == cm.writer.name {
			return false
		}
		cm.writer.dropped[cm.drop] = true
	}
	c.flying = append(c.flying, cm)
	return true
}

// arrive lets a commit take effect. The answer may be lost.
func (c *cell) arrive(cm *commit, lost bool) {
	if !slices.Contains(c.flying, cm) {
		return
	}
	c.flying = slices.DeleteFunc(c.flying, func(o *commit) bool { return o == cm })
	w := cm.writer
	if _, ok := c.sessions[w.name]; c.down || w.cut || !ok && c.loose != "session" {
		return
	}
	if cm.drop != "" {
		if c.sessions[cm.drop] == w.seen[cm.drop].beat {
			delete(c.sessions, cm.drop)
		}
		return
	}
	c.number++
	e := DeletedEntry(cm.name, c.number)
	if !cm.dead {
		e = KeyEntry(cm.name, c.number, NewKey(cm.name, "red", TeamRole, ""))
	}
	c.rows[cm.name] = e
	c.changes = append(c.changes, &change{entry: e})
	if lost || !w.runs() {
		return
	}
	w.store.Push(c.number, []Entry{e})
	c.learn(w)
}

// push passes the last change to one peer.
func (c *cell) push(from, to *node) {
	if len(c.changes) == 0 || !from.runs() || !to.runs() || !c.linked(from.name, to.name) {
		return
	}
	if ch := c.changes[len(c.changes)-1]; from.has(ch.entry) {
		to.store.Push(ch.entry.row, []Entry{ch.entry})
	}
}

func (c *cell) check(t anvilassert.T) {
	for _, n := range c.nodes {
		if !n.runs() || !n.status.Trusted() || c.now > n.until {
			continue
		}
		for _, ch := range c.changes {
			if ch.accepted != 0 && c.now-ch.accepted > bound && !n.has(ch.entry) {
				t.Fatalf("%s is %s without row %d, accepted %v ago", n.name, n.status, ch.entry.row, c.now-ch.accepted)
			}
		}
	}
}
