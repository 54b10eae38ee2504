package anvilplatform

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
)

// entry is a worker of the list.
type entry struct {
	heard anvilclock.Millis
	value string
}

// missedHeartbeats is the number of beats after which a silent worker is removed.
const missedHeartbeats = 3

// Heartbeat takes a worker's report about itself, unless the store is away.
func (s *Platform) Heartbeat(id string, value []byte) Outcome {
	now := s.clock.Now()
	if outcome := s.faults.judge(now, s.random, false); outcome != Answered {
		return outcome
	}
	e := s.workers[id]
	if e != nil && e.value == string(value) {
		e.heard = now
		return Answered
	}
	s.workers[id] = &entry{heard: now, value: string(value)}
	t := &Tx{}
	t.Set(Place{table: TableWorkers, key: id}, value)
	return s.apply(t).outcome
}

// Leave removes a worker that has left.
func (s *Platform) Leave(id string) {
	delete(s.workers, id)
	t := &Tx{}
	t.Delete(Place{table: TableWorkers, key: id})
	s.apply(t)
}

func (s *Platform) expireWorkers(now anvilclock.Millis) {
	for id, e := range s.workers {
		if now-e.heard > missedHeartbeats*s.heartbeat {
			s.Leave(id)
		}
	}
}

// approvedPercent is the share of the workers that may run a step.
const approvedPercent = 80

// ticketTime is how long a ticket is valid.
const ticketTime = 2 * time.Second

// Approves reports whether a worker may run a step. The answer never changes.
func Approves(step, worker string) bool {
	return xxhash.Sum64String(step+" "+worker)%100 < approvedPercent
}

// Ticket returns a ticket for a worker and a step, from a time on.
func Ticket(step, worker string, at time.Time) string {
	issued := strconv.FormatInt(at.UnixMilli(), 10)
	return issued + "-" + strconv.FormatUint(xxhash.Sum64String(issued+step+worker), 16)
}

// TicketTime returns how long a ticket is valid.
func TicketTime() time.Duration { return ticketTime }

// ValidTicket reports whether a ticket lets a worker run a step at a time.
func ValidTicket(ticket, step, worker string, at time.Time) bool {
	issued, _, ok := cutTicket(ticket)
	return ok && at.Sub(issued) <= ticketTime && ticket == Ticket(step, worker, issued)
}

func cutTicket(ticket string) (issued time.Time, sum string, ok bool) {
	for i := range ticket {
		if ticket[i] == '-' {
			ms, err := strconv.ParseInt(ticket[:i], 10, 64)
			return time.UnixMilli(ms), ticket[i+1:], err == nil
		}
	}
	return time.Time{}, "", false
}
