package anvilstorage

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"anvilhold.org/lib/anviljob"
)

// Phase is the part of a task's state that a new leader must know.
type Phase int

// The phases. A task that has never been placed has no entry in its job's record.
const (
	Waiting Phase = iota // no run of the task is active
	Bound                // a run may be active on the worker
	Done                 // the task has succeeded
)

// Run is the stored progress of a task: its newest run, and the failures and checkpoint of the earlier ones.
type Run struct {
	occurrence  int
	step        int
	index       int
	phase       Phase
	number      int
	failures    int
	lastFailed  int
	worker      string
	incarnation int64
	checkpoint  string
}

// NewRun returns the record of a task, which is named by the job's occurrence, the step and the index in the step.
// number is that of its newest run.
func NewRun(occurrence, step, index int, phase Phase, number int) Run {
	return Run{occurrence: occurrence, step: step, index: index, phase: phase, number: number}
}

// WithFailures returns the record with the number of failed runs and the number of the newest failed run. Workers
// report ended runs again to a new leader, which must not count a failure twice.
func (r Run) WithFailures(failures, newest int) Run {
	r.failures, r.lastFailed = failures, newest
	return r
}

// WithWorker returns the record with the worker, and its incarnation, to which the newest run is bound.
func (r Run) WithWorker(worker string, incarnation int64) Run {
	r.worker, r.incarnation = worker, incarnation
	return r
}

// WithCheckpoint returns the record with the newest checkpoint.
func (r Run) WithCheckpoint(checkpoint string) Run {
	r.checkpoint = checkpoint
	return r
}

// Occurrence returns the repetition of the job that the task belongs to, from 0.
func (r Run) Occurrence() int { return r.occurrence }

// Step returns the index of the task's step in the job.
func (r Run) Step() int { return r.step }

// Index returns the index of the task in its step.
func (r Run) Index() int { return r.index }

// Phase returns whether a run of the task may be active, or the task has succeeded.
func (r Run) Phase() Phase { return r.phase }

// Number returns the number of the task's newest run.
func (r Run) Number() int { return r.number }

// Failures returns how many runs of the task have failed.
func (r Run) Failures() int { return r.failures }

// LastFailed returns the number of the newest failed run; 0 when none has failed.
func (r Run) LastFailed() int { return r.lastFailed }

// Worker returns the id of the worker to which the newest run is bound.
func (r Run) Worker() string { return r.worker }

// Incarnation returns the start time of the worker process to which the newest run is bound, in milliseconds since 1970.
func (r Run) Incarnation() int64 { return r.incarnation }

// Checkpoint returns the newest checkpoint of the task; empty when it has none.
func (r Run) Checkpoint() string { return r.checkpoint }

// SegmentTasks is the number of consecutive tasks of an occurrence whose progress is in one row. With it, a row of tasks
// whose checkpoints are as long as maxCheckpoint fits into MaxRowBytes.
const SegmentTasks = 64

// maxCheckpoint is the length up to which checkpoints are stored, in bytes of JSON, when the row would be too large with
// longer ones.
const maxCheckpoint = 512

// Segment names a part of a job's progress that is stored in one row: a block of up to SegmentTasks tasks of an
// occurrence.
type Segment struct {
	occurrence int
	block      int
}

// NewSegment returns the segment of a block of tasks, numbered from 0, in an occurrence.
func NewSegment(occurrence, block int) Segment { return Segment{occurrence: occurrence, block: block} }

// Occurrence returns the number of the segment's occurrence, from 0.
func (s Segment) Occurrence() int { return s.occurrence }

// Block returns the number of the segment's block of tasks, from 0.
func (s Segment) Block() int { return s.block }

// Key returns the key of the segment's row. The first segment of a job has the job's id as its key.
func (s Segment) Key(id string) string {
	if s == (Segment{}) {
		return id
	}
	return id + "." + strconv.Itoa(s.occurrence) + "." + strconv.Itoa(s.block)
}

// ParseProgressKey returns the id of the job and the segment of it that a key of the progress table names.
func ParseProgressKey(key string) (id string, seg Segment, err error) {
	parts := strings.Split(key, ".")
	switch len(parts) {
	case 1:
		return key, Segment{}, nil
	case 3:
		var errs [2]error
		seg.occurrence, errs[0] = strconv.Atoi(parts[1])
		seg.block, errs[1] = strconv.Atoi(parts[2])
		if errors.Join(errs[:]...) == nil && seg.occurrence >= 0 && seg.block >= 0 {
			return parts[0], seg, nil
		}
	}
	return "", Segment{}, fmt.Errorf("%.80q is no key of a progress row", key)
}

// endedSuffix ends the keys of the rows that name the ended occurrences of jobs.
const endedSuffix = ".ended"

// EndedKey returns the key of the progress row that names the occurrences of a job in which all tasks have succeeded.
func EndedKey(id string) string { return id + endedSuffix }

// ParseEndedKey returns the id of the job whose ended occurrences the row with a key names; false for the key of a segment.
func ParseEndedKey(key string) (id string, ok bool) { return strings.CutSuffix(key, endedSuffix) }

// EndedRow returns the row that names the ended occurrences of a job. It stands for their segments.
func EndedRow(id string, ended *anviljob.Occurrences) (Row, error) {
	value, err := json.Marshal(ended.Ranges())
	if err != nil {
		return Row{}, fmt.Errorf("ended occurrences of %s: %w", id, err)
	}
	return NewRow(Progress, EndedKey(id), value), nil
}

// ParseEnded decodes the row that names the ended occurrences of a job with count occurrences.
func ParseEnded(r Row, count int) (*anviljob.Occurrences, error) {
	var ranges [][2]int
	if err := json.Unmarshal(r.value, &ranges); err != nil {
		return nil, fmt.Errorf("ended occurrences in %s: %w", r.key, err)
	}
	return anviljob.ParseOccurrences(ranges, count)
}

type runRow struct {
	Task        [3]int `json:"t"`
	Phase       int    `json:"p"`
	Number      int    `json:"n"`
	Failures    int    `json:"f,omitempty"`
	LastFailed  int    `json:"k,omitempty"`
	Worker      string `json:"w,omitempty"`
	Incarnation int64  `json:"l,omitempty"`
	Checkpoint  string `json:"c,omitempty"`
}

// ProgressRow returns the row that stores the progress of the tasks of a segment. When it would be larger than
// MaxRowBytes, it leaves out long checkpoints: their tasks begin anew if a successor has to start them.
func ProgressRow(id string, seg Segment, runs []Run) (Row, error) {
	out := make([]runRow, 0, len(runs))
	for _, r := range runs {
		out = append(out, runRow{
			Task: [3]int{r.occurrence, r.step, r.index}, Phase: int(r.phase), Number: r.number, Failures: r.failures, LastFailed: r.lastFailed,
			Worker: r.worker, Incarnation: r.incarnation, Checkpoint: r.checkpoint,
		})
	}
	value, err := json.Marshal(out)
	if err == nil && len(value) > MaxRowBytes {
		for i := range out {
			if text, _ := json.Marshal(out[i].Checkpoint); len(text) > maxCheckpoint {
				out[i].Checkpoint = ""
			}
		}
		value, err = json.Marshal(out)
	}
	if err != nil {
		return Row{}, fmt.Errorf("progress of %s: %w", id, err)
	}
	return NewRow(Progress, seg.Key(id), value), nil
}

// ParseProgress decodes a progress row. A phase that is not known is an error.
func ParseProgress(r Row) ([]Run, error) {
	var in []runRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return nil, fmt.Errorf("progress of %s: %w", r.key, err)
	}
	out := make([]Run, 0, len(in))
	for _, v := range in {
		if v.Phase < int(Waiting) || v.Phase > int(Done) {
			return nil, fmt.Errorf("progress of %s: unknown phase %d", r.key, v.Phase)
		}
		run := NewRun(v.Task[0], v.Task[1], v.Task[2], Phase(v.Phase), v.Number)
		out = append(out, run.WithFailures(v.Failures, v.LastFailed).WithWorker(v.Worker, v.Incarnation).WithCheckpoint(v.Checkpoint))
	}
	return out, nil
}
