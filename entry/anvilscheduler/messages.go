package anvilscheduler

import (
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// message is posted to the loop, which calls deliver on its own goroutine.
type message interface{ deliver(l *Loop) }

// policyRead is the result of a read of the configuration; since is a time from which on it was the newest. complete says that the page
// lacks no change up to its version.
type policyRead struct {
	page     anvilstorage.PolicyPage
	since    anvilclock.Millis
	complete bool
}

// statesRead is the result of a read of the states of jobs: all of them if full, else the changes. readAt is when they were read from the
// store, by this instance or the one that it asked.
type statesRead struct {
	page   anvilstorage.Page
	full   bool
	readAt anvilclock.Millis
}

// leadershipRead is the result of a read of the leadership row; since is when the read was sent, and now the store's time, or
// 0. The row's version is 0 when there is none.
type leadershipRead struct {
	row   anvilstorage.Row
	since anvilclock.Millis
	now   anvilclock.Millis
	err   error
}

// peersRead holds the number of other instances, and the most CPU that one of them has, in millicores.
type peersRead struct {
	maxCPU int64
	count  int
}

// claimAnswered is the result of a claim of the leadership; since is when the claim was sent, rowVersion the new
// version of the leadership row, and now the store's time, or 0. A deferred claim wasn't sent.
type claimAnswered struct {
	leadership anvilstorage.Leadership
	extension  extension
	deferred   bool
	now        anvilclock.Millis
	since      anvilclock.Millis
	rowVersion int64
	err        error
}

// leaderStateRead holds the tables that a new leader reads.
type leaderStateRead struct {
	token     int64
	intake    anvilstorage.Page
	progress  anvilstorage.Page
	instances anvilstorage.Page
	states    anvilstorage.Page
	leases    anvilstorage.Page
	workers   WorkerPage
	err       error
}

// cleanAnswered is the result of a removal of old rows; jobs are the ids of the jobs whose submissions it removes.
type cleanAnswered struct {
	token int64
	jobs  []string
	err   error
}

// intakeRead holds changes of the intake table.
type intakeRead struct {
	token int64
	page  anvilstorage.Page
}

// rowsReceived holds rows that another instance has stored and sent ahead of the feed.
type rowsReceived struct{ rows []anvilstorage.Row }

// instancesRead holds changes of the instances table.
type instancesRead struct {
	token int64
	page  anvilstorage.Page
}

// workersRead holds all entries of the worker registry if full, else the changes. They were written at the local time
// writtenAfter or later; 0 when that is not known.
type workersRead struct {
	token        int64
	page         WorkerPage
	full         bool
	writtenAfter anvilclock.Millis
}

// commitAnswered is the result of a commit of the leader: the new version of the leadership row, and the store's time.
type commitAnswered struct {
	batch      *batch
	rowVersion int64
	now        anvilclock.Millis
	err        error
}

// startAnswered is the result of an attempt of a start with a fencing token, which was sent at a local time when the worker's clock
// could show earliestClock at the earliest, and ended after timeout without an answer. The clock is the worker's, 0 without an answer.
type startAnswered struct {
	token         int64
	fence         int64
	worker        *worker
	task          *task
	run           int
	round         int
	sent          anvilclock.Millis
	timeout       anvilclock.Millis
	earliestClock anvilclock.Millis
	clock         anvilclock.Millis
	err           error
}

// stopAnswered is the result of a stop. The task is nil if the run was bound to none.
type stopAnswered struct {
	token  int64
	fence  int64
	worker *worker
	task   *task
	run    int
	// patient means that the answer may be late; timeout is how long the call may take.
	patient bool
	timeout anvilclock.Millis
	clock   anvilclock.Millis
	err     error
}

// paceAnswered is the result of a pace order.
type paceAnswered struct {
	token   int64
	fence   int64
	worker  *worker
	task    *task
	run     int
	percent int
	err     error
}

// holdAnswered is the result of a hold that acknowledged run ends up to acked.
type holdAnswered struct {
	token  int64
	fence  int64
	worker *worker
	// patient means that the answer may be late; timeout is how long the call may take.
	patient bool
	sent    anvilclock.Millis
	timeout anvilclock.Millis
	acked   int64
	report  Report
	err     error
}

// adviceReceived is the result of an advisor query for a stage.
type adviceReceived struct {
	token   int64
	stage   *stage
	queue   string
	via     *proxy
	sent    anvilclock.Millis
	cost    anvilclock.Millis
	workers []*worker
	// soleQuery means that no other query was in flight through the instance when this one was sent.
	soleQuery bool
	advice    Advice
	err       error
}

// shutdown makes the loop release the leadership for good.
type shutdown struct{ done chan struct{} }
