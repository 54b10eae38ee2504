package anvilapi

import (
	"anvilhold.org/standin/anvilcontrolplane"
	"anvilhold.org/standin/anvilfault"
	"anvilhold.org/standin/anvilregistry"
	"anvilhold.org/standin/anvilstore"
)

// Messages of the HTTP handlers to the goroutine that owns the control plane. Each reply channel is buffered for the one
// reply, so that this goroutine never blocks.

type commitResult struct {
	version  int64
	conflict *anvilstore.Row
	err      error
}

type commitMessage struct {
	change *anvilstore.Change
	reply  chan commitResult
}

func (m commitMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	version, conflict, err := cp.Commit(m.change)
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

func (m rowsMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	rows, version, err := cp.Rows(m.prefix, m.after)
	m.reply <- rowsResult{rows: rows, version: version, err: err}
}

type putMessage struct {
	name  string
	data  []byte
	reply chan error
}

func (m putMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	m.reply <- cp.PutObject(m.name, m.data)
}

type objectResult struct {
	data []byte
	err  error
}

type getMessage struct {
	name  string
	reply chan objectResult
}

func (m getMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	data, err := cp.GetObject(m.name)
	m.reply <- objectResult{data: data, err: err}
}

type deleteMessage struct {
	name  string
	reply chan error
}

func (m deleteMessage) Apply(cp *anvilcontrolplane.ControlPlane) { m.reply <- cp.DeleteObject(m.name) }

type registerMessage struct {
	instance anvilregistry.Instance
	reply    chan error
}

func (m registerMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	m.reply <- cp.Register(m.instance)
}

type unregisterMessage struct {
	id    string
	reply chan error
}

func (m unregisterMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	cp.Unregister(m.id)
	m.reply <- nil
}

type listMessage struct {
	reply chan []anvilregistry.Instance
}

func (m listMessage) Apply(cp *anvilcontrolplane.ControlPlane) { m.reply <- cp.Instances() }

type faultEffectMessage struct {
	region string
	reply  chan anvilfault.Effect
}

func (m faultEffectMessage) Apply(cp *anvilcontrolplane.ControlPlane) {
	m.reply <- cp.FaultEffect(m.region)
}

type faultMessage struct {
	fault *anvilfault.Fault
	reply chan error
}

func (m faultMessage) Apply(cp *anvilcontrolplane.ControlPlane) { m.reply <- cp.AddFault(m.fault) }
