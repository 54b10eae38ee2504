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
	page anvilstorage.Page
	full bool
}

// leadershipRead is a look at the row of the leadership.
type leadershipRead struct {
	row   anvilstorage.Row
	since anvilclock.Millis
	err   error
}

// peersRead tells how many other instances there are, and how much processor the strongest of them has.
type peersRead struct {
	maxCPU int64
	count  int
}

// claimAnswered is the answer to a claim of the leadership.
type claimAnswered struct {
	leadership anvilstorage.Leadership
	since      anvilclock.Millis
	row        int64
	err        error
}

// loadAnswered is everything that a new leader reads.
type loadAnswered struct {
	token     int64
	intake    anvilstorage.Page
	progress  anvilstorage.Page
	instances anvilstorage.Page
	states    anvilstorage.Page
	workers   WorkerPage
	err       error
}

// cleanAnswered is the answer to a removal of old rows.
type cleanAnswered struct {
	token int64
	jobs  []string
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
	full  bool
}

// commitAnswered is the answer to a commit of the leader.
type commitAnswered struct {
	batch *batch
	row   int64
	now   anvilclock.Millis
	err   error
}

// startAnswered is the answer to a start.
type startAnswered struct {
	token  int64
	worker *worker
	task   *task
	run    int
	clock  anvilclock.Millis
	err    error
}

// stopAnswered is the answer to a stop.
type stopAnswered struct {
	token  int64
	worker *worker
	task   *task
	run    int
	clock  anvilclock.Millis
	err    error
}

// paceAnswered is the answer to a change of a task's pace.
type paceAnswered struct {
	token   int64
	worker  *worker
	task    *task
	run     int
	percent int
	err     error
}

// holdAnswered is the answer to a hold.
type holdAnswered struct {
	token  int64
	worker *worker
	sent   anvilclock.Millis
	acked  int64
	report Report
	err    error
}

// adviceReceived is the answer to a question about a step.
type adviceReceived struct {
	token   int64
	stage   *stage
	queue   string
	via     *proxy
	sent    anvilclock.Millis
	cost    anvilclock.Millis
	workers []*worker
	// soleQuery says that no other question was on its way through the instance.
	soleQuery bool
	advice    Advice
	err       error
}

// shutdown asks the loop to give up the leadership for good.
type shutdown struct{ done chan struct{} }
