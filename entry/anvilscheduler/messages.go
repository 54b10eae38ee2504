package anvilscheduler

import (
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// message is what traffic goroutines post to the loop.
type message interface{ deliver(l *Loop) }

// policyRead is a reading of the configuration that began at a time.
type policyRead struct {
	page  anvilstorage.PolicyPage
	since anvilclock.Millis
}

// statesRead is a reading of the states of jobs.
type statesRead struct {
	page  anvilstorage.Page
	whole bool
}

// leadershipRead is a look at the row of the leadership.
type leadershipRead struct {
	row   anvilstorage.Row
	since anvilclock.Millis
	err   error
}

// peersRead tells how many other instances there are, and how much processor the strongest of them has.
type peersRead struct {
	strongest int64
	count     int
}

// claimed is the answer to a claim of the leadership.
type claimed struct {
	leadership anvilstorage.Leadership
	since      anvilclock.Millis
	row        int64
	err        error
}

// loaded is everything that a new leader reads.
type loaded struct {
	token     int64
	intake    anvilstorage.Page
	progress  anvilstorage.Page
	instances anvilstorage.Page
	states    anvilstorage.Page
	workers   WorkerPage
	err       error
}

// cleaned is the answer to a removal of old rows.
type cleaned struct {
	token int64
	spent []string
	err   error
}

// intakeRead is news of the intake table.
type intakeRead struct {
	token int64
	page  anvilstorage.Page
}

// rowsReceived holds rows of the intake table ahead of the feed.
type rowsReceived struct{ rows []anvilstorage.Row }

// instancesRead is news of the instances table.
type instancesRead struct {
	token int64
	page  anvilstorage.Page
}

// workersRead is news of the list of workers.
type workersRead struct {
	token int64
	page  WorkerPage
	whole bool
}

// committed is the answer to a commit of the leader.
type committed struct {
	batch *batch
	row   int64
	now   anvilclock.Millis
	err   error
}

// startAnswered is the answer to a start.
type startAnswered struct {
	token int64
	w     *worker
	t     *task
	run   int
	clock anvilclock.Millis
	err   error
}

// stopAnswered is the answer to a stop.
type stopAnswered struct {
	token int64
	w     *worker
	t     *task
	run   int
	clock anvilclock.Millis
	err   error
}

// paceAnswered is the answer to a change of a task's pace.
type paceAnswered struct {
	token   int64
	w       *worker
	t       *task
	run     int
	percent int
	err     error
}

// held is the answer to a hold.
type held struct {
	token  int64
	w      *worker
	sent   anvilclock.Millis
	acked  int64
	report Report
	err    error
}

// advised is the answer to a question about a step.
type advised struct {
	token int64
	s     *stage
	queue string
	asker *asker
	sent  anvilclock.Millis
	cost  anvilclock.Millis
	asked []*worker
	// alone says that no other question was on its way through the instance.
	alone  bool
	advice Advice
	err    error
}

// shutdown asks the loop to give up the leadership for good.
type shutdown struct{ done chan struct{} }
