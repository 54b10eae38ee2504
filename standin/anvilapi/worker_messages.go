package anvilapi

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilhost"
)

// Messages of the worker's handlers to the goroutine that owns the host. Each reply channel has
// room for the one reply, so that the owner never waits.

type fenced struct {
	report anvilhost.Report
	worker string
	boot   string
	size   anvilsize.Size
	err    error
}

type fenceMessage struct {
	shard  string
	epoch  int64
	lease  anvilclock.Millis
	cursor int64
	reply  chan fenced
}

func (m fenceMessage) Apply(h *anvilhost.Host) {
	report, err := h.Fence(m.shard, m.epoch, m.lease, m.cursor)
	m.reply <- fenced{report: report, worker: h.ID(), boot: h.Boot(), size: h.Size(), err: err}
}

type startMessage struct {
	order *anvilhost.Order
	reply chan anvilhost.Answer
}

func (m startMessage) Apply(h *anvilhost.Host) {
	h.Start(m.order, func(a anvilhost.Answer) { m.reply <- a })
}

type controlled struct {
	ack anvilhost.Ack
	err error
}

type controlMessage struct {
	shard string
	epoch int64
	id    string
	op    string
	until anvilclock.Millis
	reply chan controlled
}

func (m controlMessage) Apply(h *anvilhost.Host) {
	err := h.Control(m.shard, m.epoch, m.id, m.op, m.until, func(a anvilhost.Ack) { m.reply <- controlled{ack: a} })
	if err != nil {
		m.reply <- controlled{err: err}
	}
}
