package anvilapi

import (
	"anvilhold.org/standin/anvilcontrolplane"
	"anvilhold.org/standin/anvilfault"
	"anvilhold.org/standin/anvilregistry"
	"anvilhold.org/standin/anvilstore"
)

// Messages of the platform's handlers to the goroutine that owns the control plane. Each reply channel has
// room for the one reply, so that the owner never waits.

type commitResult struct {
	version  int64
	conflict *anvilstore.Row
	err      error
}

type commitMessage struct {
	change *anvilstore.Change
	reply  chan commitResult
}

func (m commitMessage) Apply(h *anvilcontrolplane.ControlPlane) {
	version, conflict, err := h.Commit(m.change)
	m.reply <- commitResult{version: version, conflict: conflict, err: err}
}

type rowsResult struct {
	rows    []*anvilstore.Row
	version int64
	err     error
}

type rowsMessage struct {
	prefix string
	after  int64
	reply  chan rowsResult
}

func (m rowsMessage) Apply(h *anvilcontrolplane.ControlPlane) {
	rows, version, err := h.Rows(m.prefix, m.after)
	m.reply <- rowsResult{rows: rows, version: version, err: err}
}

type putMessage struct {
	name  string
	data  []byte
	reply chan error
}

func (m putMessage) Apply(h *anvilcontrolplane.ControlPlane) { m.reply <- h.PutObject(m.name, m.data) }

type objectResult struct {
	data []byte
	err  error
}

type getMessage struct {
	name  string
	reply chan objectResult
}

func (m getMessage) Apply(h *anvilcontrolplane.ControlPlane) {
	data, err := h.GetObject(m.name)
	m.reply <- objectResult{data: data, err: err}
}

type deleteMessage struct {
	name  string
	reply chan error
}

func (m deleteMessage) Apply(h *anvilcontrolplane.ControlPlane) { m.reply <- h.DeleteObject(m.name) }

type registerMessage struct {
	instance anvilregistry.Instance
	reply    chan error
}

func (m registerMessage) Apply(h *anvilcontrolplane.ControlPlane) { m.reply <- h.Register(m.instance) }

type unregisterMessage struct {
	id    string
	reply chan error
}

func (m unregisterMessage) Apply(h *anvilcontrolplane.ControlPlane) {
	h.Unregister(m.id)
	m.reply <- nil
}

type listMessage struct {
	reply chan []anvilregistry.Instance
}

func (m listMessage) Apply(h *anvilcontrolplane.ControlPlane) { m.reply <- h.Instances() }

type faultEffectMessage struct {
	region string
	reply  chan anvilfault.Effect
}

func (m faultEffectMessage) Apply(h *anvilcontrolplane.ControlPlane) {
	m.reply <- h.FaultEffect(m.region)
}

type faultMessage struct {
	fault *anvilfault.Fault
	reply chan error
}

func (m faultMessage) Apply(h *anvilcontrolplane.ControlPlane) { m.reply <- h.AddFault(m.fault) }
