package anvilscheduler

import (
	"slices"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// Jobs beyond a share of the memory are parked: the leader knows their ids, queues and teams, and reads their submissions from the
// store once there is space. The space is divided by dynamic thresholds (Choudhury and Hahne, 1998): a queue's jobs of one team may
// hold as much as is free, so whatever one of them hands in, there is space for the others.

const (
	// liveMemoryDivisor is the part of the process's memory that live jobs may hold by the estimates below. The garbage
	// collector may need as much again.
	liveMemoryDivisor = 8
	// defaultLiveBytes bounds what live jobs hold in a process whose memory isn't known.
	defaultLiveBytes = 32 << 20
	// liveStageBytes, liveJobBytes and unreadJobBytes are estimates of what a stage without tasks, a live job beside its
	// submission, and the submission of a job of which only the head was read hold.
	liveStageBytes = 1024
	liveJobBytes   = 1024
	unreadJobBytes = 4096
	// maxSubmissionReads is the number of submissions that are read at a time for jobs that are no longer parked.
	maxSubmissionReads = 16
)

// owner identifies the jobs of a team in a queue.
type owner struct{ queue, team string }

func (j *job) owner() owner { return owner{j.sub.Queue(), j.sub.Team()} }

// liveSet bounds what the leader holds of jobs that have not ended.
type liveSet struct {
	// held is what the live jobs hold in bytes, heldBy the part of each owner.
	held   int64
	heldBy map[owner]int64
	// parked holds the parked jobs of each owner, in the order of their arrival.
	parked map[owner][]*job
	count  int
	// reads is the number of submissions that are being read, retryAt when the next one may be after a failure.
	reads   int
	retryAt anvilclock.Millis
}

func newLiveSet() liveSet {
	return liveSet{heldBy: map[owner]int64{}, parked: map[owner][]*job{}}
}

// admitsLive reports whether an owner may hold n bytes more.
func (l *Loop) admitsLive(o owner, n int64) bool {
	s := &l.workload.live
	return s.heldBy[o] == 0 || s.heldBy[o]+n <= l.limits.liveBytes-s.held
}

// hold records that a job holds n bytes more, or less.
func (l *Loop) hold(j *job, n int64) {
	s, o := &l.workload.live, j.owner()
	j.held += n
	s.held += n
	if s.heldBy[o] += n; s.heldBy[o] == 0 {
		delete(s.heldBy, o)
	}
}

// liveCost estimates what a job holds that has one occurrence.
func liveCost(sub *anviljob.Submission) int64 {
	if sub.Spec() == nil {
		return unreadJobBytes
	}
	return liveJobBytes + sub.Spec().Footprint() + liveStageBytes*int64(sub.Spec().Steps())
}

// enliven makes a job live. It gets its first occurrence at once unless it has set times.
func (l *Loop) enliven(j *job) {
	l.hold(j, liveJobBytes+j.sub.Spec().Footprint())
	if j.sub.Spec().Repeat().Timed() {
		l.workload.timed[j] = true
	} else {
		l.addOccurrence(j, 0)
	}
}

// park keeps the head of a job's submission only, until there is space for the job.
func (l *Loop) park(j *job) {
	s, o := &l.workload.live, j.owner()
	j.parkedCost = liveCost(j.sub)
	j.sub, j.acceptedBy = j.sub.Head(), nil
	s.parked[o] = append(s.parked[o], j)
	s.count++
}

// unpark removes a job that has ended from the parked ones.
func (l *Loop) unpark(j *job) {
	s, o := &l.workload.live, j.owner()
	if at := slices.Index(s.parked[o], j); at >= 0 {
		s.parked[o] = slices.Delete(s.parked[o], at, at+1)
		s.count--
	}
}

// parked reports whether only the head of the job's submission is known.
func (j *job) parked() bool { return j.sub.Spec() == nil }

// resumeParked reads the submissions of parked jobs for which there is space.
func (l *Loop) resumeParked(now anvilclock.Millis) {
	s := &l.workload.live
	if now < s.retryAt {
		return
	}
	for o, list := range s.parked {
		for len(list) > 0 && (list[0].final() || (s.reads < maxSubmissionReads && l.admitsLive(o, list[0].parkedCost))) {
			if j := list[0]; !j.final() {
				l.readSubmission(j)
			}
			list[0], list = nil, list[1:]
			s.count--
		}
		if s.parked[o] = list; len(list) == 0 {
			delete(s.parked, o)
		}
	}
}

// readSubmission reads the submission of a parked job on a traffic goroutine, and reserves what the job will hold.
func (l *Loop) readSubmission(j *job) {
	l.workload.live.reads++
	l.hold(j, j.parkedCost)
	m := submissionRead{token: l.leadership.token, job: j}
	ctx, store, id := l.leadershipContext(), l.store, j.id()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, answerTimeout)
		defer cancel()
		m.row, m.err = store.Get(ctx, anvilstorage.Intake, id)
		l.post(m)
	})
}

// submissionRead is the result of a read of a parked job's submission.
type submissionRead struct {
	token int64
	job   *job
	row   anvilstorage.Row
	err   error
}

func (m submissionRead) deliver(l *Loop) {
	j, s := m.job, &l.workload.live
	if m.token != l.leadership.token {
		return
	}
	s.reads--
	if l.workload.jobs[j.id()] != j {
		return
	}
	l.hold(j, -j.parkedCost)
	if j.final() {
		return
	}
	if m.err != nil {
		s.retryAt = l.clock.Now() + readRetryDelay
		s.parked[j.owner()] = append([]*job{j}, s.parked[j.owner()]...)
		s.count++
		return
	}
	sub, err := anvilstorage.ParseSubmission(m.row)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Intake), "key", j.id())
		l.forgetJob(j)
		return
	}
	j.sub, j.acceptedBy, j.queue = sub, anvilstorage.ParseSubmittedQueue(m.row), nil
	l.enliven(j)
	l.markLiveReady(j)
}

// keepIntake returns a function that bounds the memory of a read of the intake table: it keeps whole submissions up to that bound, and
// the heads of the others.
func (l *Loop) keepIntake() func(anvilstorage.Row) anvilstorage.Row {
	kept, limit := int64(0), l.limits.liveBytes/2
	return func(r anvilstorage.Row) anvilstorage.Row {
		if kept += int64(len(r.Value())); kept <= limit {
			return r
		}
		return anvilstorage.SubmissionHead(r)
	}
}
