package anvilagent

import (
	"encoding/json"
	"io"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilhost"
)

// taskLine is a line of the trace about a task.
type taskLine struct {
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Task   string `json:"task"`
	Job    string `json:"job"`
	Team   string `json:"team"`
	Size   string `json:"size"`
	Worker string `json:"worker"`
	Boot   string `json:"boot"`
	Epoch  int64  `json:"epoch"`
	Shard  string `json:"shard"`
	Once   bool   `json:"once"`
	State  string `json:"state"`
	Code   string `json:"code,omitempty"`
	Call   bool   `json:"call"`
}

// bootLine is the line of the trace for the start of the process.
type bootLine struct {
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Worker string `json:"worker"`
	Boot   string `json:"boot"`
	Size   string `json:"size"`
}

// Trace writes events as lines of JSON. It writes each line with one call of Write, so that a killed process leaves no
// partial line. It is not safe for concurrent use.
type Trace struct {
	out    io.Writer
	worker string
	boot   string
	failed func(error)
}

// NewTrace returns a trace that writes to out. failed is called with the error when a line can't be written.
func NewTrace(out io.Writer, worker, boot string, failed func(error)) *Trace {
	return &Trace{out: out, worker: worker, boot: boot, failed: failed}
}

// Boot records the start of the worker process at a Unix time, with the worker's capacity.
func (t *Trace) Boot(at anvilclock.Millis, size anvilsize.Size) {
	t.write(bootLine{At: int64(at), Kind: anvilhost.EventBoot, Worker: t.worker, Boot: t.boot, Size: size.String()})
}

// Record writes the event as one line.
func (t *Trace) Record(e anvilhost.Event) {
	t.write(taskLine{
		At: int64(e.At()), Kind: e.Kind(), Task: e.Task(), Job: e.Job(), Team: e.Team(),
		Size: e.Size().String(), Worker: t.worker, Boot: t.boot, Epoch: e.Epoch(), Shard: e.Shard(),
		Once: e.Once(), State: e.State(), Code: e.Code(), Call: e.Call(),
	})
}

func (t *Trace) write(v any) {
	data, err := json.Marshal(v)
	if err == nil {
		_, err = t.out.Write(append(data, '\n'))
	}
	if err != nil {
		t.failed(err)
	}
}
