package anvilapi

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilhost"
)

// Messages of the HTTP handlers to the goroutine that owns the worker's state. Each reply channel is buffered for the one
// reply, so that this goroutine never blocks.

type fenceResult struct {
	reply  anvilhost.FenceReply
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
	reply  chan fenceResult
}

func (m fenceMessage) Apply(h *anvilhost.Host) {
	r, err := h.Fence(m.shard, m.epoch, m.lease, m.cursor)
	m.reply <- fenceResult{reply: r, worker: h.ID(), boot: h.Boot(), size: h.Size(), err: err}
}

type startMessage struct {
	req   *anvilhost.StartRequest
	reply chan anvilhost.StartReply
}

func (m startMessage) Apply(h *anvilhost.Host) {
	h.Start(m.req, func(r anvilhost.StartReply) { m.reply <- r })
}

type controlResult struct {
	reply anvilhost.ControlReply
	err   error
}

type controlMessage struct {
	shard    string
	epoch    int64
	id       string
	op       string
	deadline anvilclock.Millis
	reply    chan controlResult
}

func (m controlMessage) Apply(h *anvilhost.Host) {
	err := h.Control(m.shard, m.epoch, m.id, m.op, m.deadline, func(r anvilhost.ControlReply) { m.reply <- controlResult{reply: r} })
	if err != nil {
		m.reply <- controlResult{err: err}
	}
}
