package anvilconfig

import (
	"fmt"
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

// The model of the state machine test: a cell with a table, instances that join, exit and pause, and
// links that break. Time advances in ticks. At each tick every running instance does what is due.
const (
	tick           anvilclock.Millis = 100
	interval       anvilclock.Millis = 500  // between reads and between requests to peers
	sessionExpiry  anvilclock.Millis = 4000 // after which a session may be deleted
	maxChangeDelay anvilclock.Millis = 4000 // within which a change is in effect
)

type commit struct {
	writer  *node
	name    string
	deletes bool
	session string // the session to delete; empty for a change
}

type change struct {
	entry      Entry
	acceptedAt anvilclock.Millis // when an operator could first learn of it; 0 before
}

type node struct {
	name            string
	up              bool
	paused          bool
	partitioned     bool // from the table
	store           *Store
	conf            *Confirmation
	intro           *Introduction
	rowWritten      bool // the session row was written
	registered      []string
	heartbeats      map[string]heartbeatRead
	deletedSessions map[string]bool
	readBegan       anvilclock.Millis
	pending         *reading
	nextRead        anvilclock.Millis
	nextAsk         anvilclock.Millis
	status          Status
	trustedUntil    anvilclock.Millis
}

type heartbeatRead struct {
	heartbeat int64
	readAt    anvilclock.Millis
}

type reading struct {
	version  int64
	entries  []Entry
	sessions map[string]int64
}

type cell struct {
	now         anvilclock.Millis
	down        bool
	version     int64
	rows        map[string]Entry
	sessions    map[string]int64 // heartbeats by instance
	changes     []*change
	nodes       []*node
	broken      map[[2]string]bool
	inFlight    []*commit
	omittedRule string // name of a rule that the instances don't keep; empty for none
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

// reset makes an instance start again, as it does when its session row is missing.
func (n *node) reset() {
	n.conf, n.intro, n.rowWritten = NewConfirmation(), NewIntroduction(), false
	n.registered, n.heartbeats, n.deletedSessions, n.pending = nil, map[string]heartbeatRead{}, map[string]bool{}, nil
	if n.store == nil {
		n.store = NewStore()
	}
}

func (n *node) running() bool { return n.up && !n.paused }

func (c *cell) find(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *cell) connected(a, b string) bool {
	return !c.broken[[2]string{min(a, b), max(a, b)}]
}

func (c *cell) reaches(n *node) bool { return !c.down && !n.partitioned }

func (c *cell) advance(t anvilassert.T, d anvilclock.Millis) {
	for end := c.now + d; c.now < end; {
		c.now += tick
		for _, n := range c.nodes {
			if n.running() {
				c.runInstance(n)
			}
		}
		c.check(t)
	}
}

func (c *cell) runInstance(n *node) {
	if n.pending != nil { // the answer to a read takes one tick
		c.applyRead(n)
	}
	if c.now >= n.nextRead {
		n.nextRead = c.now + interval
		c.beginRead(n)
	}
	if c.now >= n.nextAsk {
		n.nextAsk = c.now + interval
		c.askPeers(n)
	}
	c.acceptVisibleChanges(n)
	n.status, n.trustedUntil = n.conf.Status(c.now, n.registered), n.conf.Until(c.now)
}

func (c *cell) beginRead(n *node) {
	n.readBegan = c.now
	if !c.reaches(n) {
		n.conf.TableFailed(c.now)
		return
	}
	if n.rowWritten {
		if _, ok := c.sessions[n.name]; ok {
			c.sessions[n.name]++
		}
	}
	n.pending = &reading{version: c.version, entries: slices.Collect(maps.Values(c.rows)), sessions: maps.Clone(c.sessions)}
}

func (c *cell) applyRead(n *node) {
	r := n.pending
	n.pending = nil
	if !c.reaches(n) {
		n.conf.TableFailed(c.now)
		return
	}
	n.store.Apply(r.version, r.entries)
	c.acceptVisibleChanges(n)
	if _, ok := r.sessions[n.name]; !ok && (!n.rowWritten || c.omittedRule != "restart") {
		n.reset()
		c.sessions[n.name] = int64(c.now) // differs from every earlier heartbeat of this instance
		n.rowWritten = true
		return
	}
	maps.DeleteFunc(n.deletedSessions, func(name string, _ bool) bool {
		_, ok := r.sessions[name]
		return !ok
	})
	n.registered = nil
	for name, heartbeat := range r.sessions {
		if s, ok := n.heartbeats[name]; !ok || s.heartbeat != heartbeat {
			n.heartbeats[name] = heartbeatRead{heartbeat: heartbeat, readAt: c.now}
		}
		expired := c.omittedRule == "expired peers" && c.now-n.heartbeats[name].readAt >= sessionExpiry
		if name != n.name && !expired {
			n.registered = append(n.registered, name)
		}
	}
	slices.Sort(n.registered)
	n.intro.SetInstances(n.registered)
	n.conf.Confirmed(n.readBegan)
}

// acceptVisibleChanges marks the changes that an instance can show to an operator as accepted.
func (c *cell) acceptVisibleChanges(n *node) {
	if !n.intro.Done() && c.omittedRule != "introduction" {
		return
	}
	for _, ch := range c.changes {
		if ch.acceptedAt == 0 && n.has(ch.entry) {
			ch.acceptedAt = c.now
		}
	}
}

func (n *node) has(e Entry) bool { return n.store.entries[e.name].rowVersion >= e.rowVersion }

// askPeers introduces the instance and asks its peers for their state.
func (c *cell) askPeers(n *node) {
	peers := append(slices.Clone(n.registered), n.conf.Peers()...)
	slices.Sort(peers)
	for _, name := range slices.Compact(peers) {
		p := c.find(name)
		if !p.running() || !c.connected(n.name, name) || !c.answers(p, n) {
			n.conf.PeerUnanswered(name, c.now)
			continue
		}
		n.intro.Answered(name)
		peerVersion := p.store.Snapshot().Version()
		if c.omittedRule != "version" && peerVersion > n.store.Snapshot().Version() {
			n.store.Apply(peerVersion, p.store.Entries())
		}
		switch {
		case p.conf.TableReachable() && p.conf.Age(c.now) <= 1000 && n.store.Snapshot().Version() >= peerVersion:
			n.conf.PeerConfirmed(name, c.now-p.conf.Age(c.now))
		case p.conf.TableReachable() || p.store.HasGap() && c.omittedRule != "gap":
			n.conf.PeerUnanswered(name, c.now)
		default:
			n.conf.PeerTableFailed(name, c.now)
		}
	}
}

// answers reports whether p answers n. If n introduces itself, p counts it as a peer first.
func (c *cell) answers(p, n *node) bool {
	if p.deletedSessions[n.name] && c.omittedRule != "deleted peers" {
		return false
	}
	if n.rowWritten && !n.intro.Done() {
		p.conf.PeerIntroduced(n.name, c.now)
		p.status, p.trustedUntil = p.conf.Status(c.now, p.registered), p.conf.Until(c.now)
	}
	return slices.Contains(p.conf.Peers(), n.name)
}

// send starts a commit of an instance; it reaches the table later.
func (c *cell) send(cm *commit) bool {
	if !cm.writer.running() || !cm.writer.rowWritten || !cm.writer.intro.Done() && c.omittedRule != "introduction" {
		return false
	}
	if cm.session != "" {
		if s, ok := cm.writer.heartbeats[cm.session]; !ok || c.now-s.readAt < sessionExpiry || cm.session == cm.writer.name {
			return false
		}
		cm.writer.deletedSessions[cm.session] = true
	}
	c.inFlight = append(c.inFlight, cm)
	return true
}

// deliver lets a commit reach the table. With lost, the writer gets no answer.
func (c *cell) deliver(cm *commit, lost bool) {
	if !slices.Contains(c.inFlight, cm) {
		return
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(o *commit) bool { return o == cm })
	w := cm.writer
	if _, ok := c.sessions[w.name]; c.down || w.partitioned || !ok && c.omittedRule != "session" {
		return
	}
	if cm.session != "" {
		if c.sessions[cm.session] == w.heartbeats[cm.session].heartbeat {
			delete(c.sessions, cm.session)
		}
		return
	}
	c.version++
	e := DeletedEntry(cm.name, c.version)
	if !cm.deletes {
		e = KeyEntry(cm.name, c.version, NewKey(cm.name, "red", TeamRole, ""))
	}
	c.rows[cm.name] = e
	c.changes = append(c.changes, &change{entry: e})
	if lost || !w.running() {
		return
	}
	w.store.Push(c.version, []Entry{e})
	c.acceptVisibleChanges(w)
}

// push sends the last change from one instance to another.
func (c *cell) push(from, to *node) {
	if len(c.changes) == 0 || !from.running() || !to.running() || !c.connected(from.name, to.name) {
		return
	}
	if ch := c.changes[len(c.changes)-1]; from.has(ch.entry) {
		to.store.Push(ch.entry.rowVersion, []Entry{ch.entry})
	}
}

func (c *cell) check(t anvilassert.T) {
	for _, n := range c.nodes {
		if !n.running() || !n.status.Trusted() || c.now > n.trustedUntil {
			continue
		}
		for _, ch := range c.changes {
			if ch.acceptedAt != 0 && c.now-ch.acceptedAt > maxChangeDelay && !n.has(ch.entry) {
				t.Fatalf("%s is %s without row %d, accepted %v ago", n.name, n.status, ch.entry.rowVersion, c.now-ch.acceptedAt)
			}
		}
	}
}
