package anvilplatform

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
)

// registration is the entry of a worker in the registry.
type registration struct {
	lastHeartbeat anvilclock.Millis
	value         string
}

// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which a worker is removed.
const missedHeartbeats = 3

// Heartbeat registers a worker with the value of its entry, or renews its registration. A value that differs from the
// last one is written to the table of workers. It returns Answered, or the outcome of an injected fault that prevented the
// heartbeat.
func (p *Platform) Heartbeat(id string, value []byte) Outcome {
	now := p.clock.Now()
	if outcome := p.faults.outcome(now, p.random, false); outcome != Answered {
		return outcome
	}
	reg := p.workers[id]
	if reg != nil && reg.value == string(value) {
		reg.lastHeartbeat = now
		return Answered
	}
	p.workers[id] = &registration{lastHeartbeat: now, value: string(value)}
	t := &Tx{}
	t.Set(RowID{table: TableWorkers, key: id}, value)
	return p.apply(t).outcome
}

// Unregister removes the registration of a worker and its row.
func (p *Platform) Unregister(id string) {
	delete(p.workers, id)
	t := &Tx{}
	t.Delete(RowID{table: TableWorkers, key: id})
	p.apply(t)
}

func (p *Platform) expireWorkers(now anvilclock.Millis) {
	for id, reg := range p.workers {
		if now-reg.lastHeartbeat > missedHeartbeats*p.heartbeatInterval {
			p.Unregister(id)
		}
	}
}

// approvedPercent is the percentage of workers that the advisor approves for a step.
const approvedPercent = 80

const ticketValidity = 2 * time.Second

// Approves reports whether the advisor lets a worker run a step. The result never changes: it depends only on a hash of
// both names.
func Approves(step, worker string) bool {
	return xxhash.Sum64String(step+" "+worker)%100 < approvedPercent
}

// Ticket returns a ticket with which a worker may run a step. It is valid for TicketValidity from the time at.
func Ticket(step, worker string, at time.Time) string {
	issued := strconv.FormatInt(at.UnixMilli(), 10)
	return issued + "-" + strconv.FormatUint(xxhash.Sum64String(issued+step+worker), 16)
}

// TicketValidity returns how long a ticket is valid after it was issued.
func TicketValidity() time.Duration { return ticketValidity }

// ValidTicket reports whether a ticket was issued for a worker and a step and has not expired at the time at.
func ValidTicket(ticket, step, worker string, at time.Time) bool {
	issued, _, ok := splitTicket(ticket)
	return ok && at.Sub(issued) <= ticketValidity && ticket == Ticket(step, worker, issued)
}

func splitTicket(ticket string) (issued time.Time, sum string, ok bool) {
	for i := range ticket {
		if ticket[i] == '-' {
			ms, err := strconv.ParseInt(ticket[:i], 10, 64)
			return time.UnixMilli(ms), ticket[i+1:], err == nil
		}
	}
	return time.Time{}, "", false
}
