// Package anvilevent defines the numbered events of the log and the catalogue that docs/events.md
// repeats.
package anvilevent

import (
	"slices"

	"github.com/go-logr/logr"
)

// ID is the number of an event, by which operators' tools recognise it.
type ID int

// Events of an entry instance's start, stop and membership.
const (
	InstanceJoined   ID = 1001
	InstanceStopping ID = 1002
	InstanceLeft     ID = 1003
	SessionExpired   ID = 1004
	SettingsLoaded   ID = 1005
	ListenerOpened   ID = 1006
)

// Events of shard ownership and of the workers of owned shards.
const (
	ShardClaimed      ID = 2001
	ShardAcquired     ID = 2002
	ShardLost         ID = 2003
	ShardReleased     ID = 2004
	ClaimRefused      ID = 2005
	WorkerFenced      ID = 2101
	WorkerNoReply     ID = 2102
	WorkerExpired     ID = 2103
	WorkerRemoved     ID = 2104
	WorkerRestarted   ID = 2105
	WorkerQuarantined ID = 2106
	WorkerProbed      ID = 2107
)

// Events of decisions on tasks and of their ends.
const (
	TaskPlaced       ID = 3001
	TaskRouted       ID = 3002
	TaskQueued       ID = 3003
	TaskRefused      ID = 3004
	TaskAccepted     ID = 3005
	TaskRequeued     ID = 3006
	TaskPreempted    ID = 3007
	TaskDone         ID = 3101
	TaskFailed       ID = 3102
	TaskStopped      ID = 3103
	TaskUnknown      ID = 3104
	TaskAdopted      ID = 3105
	StartUnconfirmed ID = 3106
	DuplicateServed  ID = 3107
)

// Events of the configuration and of limits.
const (
	ConfigApplied     ID = 4001
	ConfigChanged     ID = 4002
	ConfigConflict    ID = 4003
	ConfigUnconfirmed ID = 4004
	ConfigCurrent     ID = 4005
	ConfigOutage      ID = 4006
	AllocationChanged ID = 4101
	AllocationRefused ID = 4102
	ClientsLimited    ID = 4103
)

// Events of failures of the table and of faults in anvilhold itself.
const (
	TableFailed       ID = 5001
	ChartRefused      ID = 5002
	InvariantViolated ID = 9001
)

// Events of the leadership of the instance that schedules jobs. Their names in the log say tenure.
const (
	LeadershipClaimed  ID = 6001
	LeadershipDenied   ID = 6002
	LeadershipGranted  ID = 6003
	LeadershipLost     ID = 6004
	LeadershipDeposed  ID = 6005
	LeadershipReleased ID = 6006
	LeadershipEnded    ID = 6007
	OutageConfirmed    ID = 6008
)

// Events of the workers that run the tasks of jobs. In their names in the log, listed means registered
// with the platform, and lapsed that the lease has expired.
const (
	WorkerRegistered   ID = 6101
	WorkerAdopted      ID = 6102
	WorkerUnresponsive ID = 6103
	WorkerRecovered    ID = 6104
	WorkerLeaseExpired ID = 6105
	WorkerDraining     ID = 6106
	WorkerDeregistered ID = 6107
	WorkerReplaced     ID = 6108
	LeaseBounded       ID = 6109
)

// Events of decisions on jobs and their runs.
const (
	JobAccepted           ID = 6201
	JobRefused            ID = 6202
	JobRead               ID = 6203
	JobStateChanged       ID = 6204
	JobCancelled          ID = 6205
	JobAnswered           ID = 6206
	SubmissionOverload    ID = 6207
	RunPlaced             ID = 6301
	StartRefused          ID = 6302
	RunEnded              ID = 6303
	RunStopped            ID = 6304
	RunVanished           ID = 6305
	RunUnbound            ID = 6306
	RunStalled            ID = 6307
	RunPaced              ID = 6308
	RunMoved              ID = 6309
	TaskAttemptsExhausted ID = 6310
	StartWithheld         ID = 6311
	RunGivenUp            ID = 6312
	AckedWithOpenStart    ID = 6313
	ReportDropped         ID = 6314
	NearWaitStarted       ID = 6321
	NearWaitEnded         ID = 6322
	AdviceGiven           ID = 6401
	AdviceFailed          ID = 6402
	PassSummary           ID = 6403
	PoolSummary           ID = 6404
	CapacityReserved      ID = 6405
	ReservationLapsed     ID = 6406
	BacklogChanged        ID = 6407
)

// Events of the configuration, the store and the other systems that the scheduler of jobs depends on,
// and of the process itself. In their names in the log, contact is the network path to the store, and a
// detour is a call that is forwarded to an instance that reaches the store.
const (
	PolicyApplied       ID = 6501
	RowUnreadable       ID = 6502
	StoreFailed         ID = 6503
	DependencyLost      ID = 6504
	DependencyBack      ID = 6505
	LinesDropped        ID = 6506
	ConnectivityChanged ID = 6507
	ForwardFailed       ID = 6508
	EvacuationBegun     ID = 6509
	EvacuationEnded     ID = 6510
	DomainEmpty         ID = 6511
	StartsHeld          ID = 6512
	StartsResumed       ID = 6513
	StoreTraffic        ID = 6514
	RelayFailed         ID = 6515
	ProcessStarted      ID = 6601
	ProcessLeaving      ID = 6602
	ProcessStopped      ID = 6603
	SettingsReloaded    ID = 6604
)

// Entry describes an event in the catalogue.
type Entry struct {
	id   ID
	name string
	text string
}

// ID returns the event's number.
func (e Entry) ID() ID { return e.id }

// Name returns the event's name, which is the log line's message.
func (e Entry) Name() string { return e.name }

// Text returns the sentence that says when the event is logged.
func (e Entry) Text() string { return e.text }

var catalogue = []Entry{
	{InstanceJoined, "instance joined", "The entry instance has read the configuration and accepts requests."},
	{InstanceStopping, "instance stopping", "The entry instance was asked to stop and reports that it is leaving."},
	{InstanceLeft, "instance left", "The graceful stop has ended, normally with every request answered and every shard released."},
	{SessionExpired, "session expired", "The session of an entry instance has expired and its row was deleted."},
	{SettingsLoaded, "settings loaded", "The settings file has been read and checked."},
	{ListenerOpened, "listener opened", "A listener accepts connections."},
	{ShardClaimed, "shard claimed", "A claim of a shard was sent to the table."},
	{ShardAcquired, "shard acquired", "The table shows this instance as the owner; the workers are fenced with the new epoch."},
	{ShardLost, "shard lost", "Another instance owns the shard."},
	{ShardReleased, "shard released", "This instance released the shard, which now has no owner."},
	{ClaimRefused, "claim refused", "Another instance claimed the shard first."},
	{WorkerFenced, "worker fenced", "The worker has installed the epoch of the shard."},
	{WorkerNoReply, "worker silent", "A fence request to the worker failed or got no answer."},
	{WorkerExpired, "worker expired", "The worker's lease and its margin have expired, so the worker's tasks have ended."},
	{WorkerRemoved, "worker removed", "The worker is no longer part of an owned shard."},
	{WorkerRestarted, "worker restarted", "The worker's process was restarted, so the tasks of the old process have ended."},
	{WorkerQuarantined, "worker quarantined", "The worker's tasks failed repeatedly, so it gets no new tasks except probes."},
	{WorkerProbed, "worker probed", "A quarantined worker may be given one task as a probe."},
	{TaskPlaced, "task placed", "A worker was chosen for a task and the start was sent."},
	{TaskRouted, "task routed", "A task was forwarded to another entry instance."},
	{TaskQueued, "task queued", "No worker had free capacity, so the task waits in the queue."},
	{TaskRefused, "task refused", "The task was refused and is not started."},
	{TaskAccepted, "task accepted", "The row of a batch task or a gang job is committed."},
	{TaskRequeued, "task requeued", "A start was refused or a run ended without a result; the task waits again."},
	{TaskPreempted, "task preempted", "A batch task is checkpointed to free capacity for an urgent task."},
	{TaskDone, "task done", "The task ended with its result."},
	{TaskFailed, "task failed", "The task ran and failed; it is not retried."},
	{TaskStopped, "task stopped", "The caller cancelled the task."},
	{TaskUnknown, "task unknown", "It is not known whether the task ran."},
	{TaskAdopted, "task adopted", "A task that an earlier owner started was found on a worker."},
	{StartUnconfirmed, "start doubtful", "A start got no answer; a stop makes the worker report the task or reject its id."},
	{DuplicateServed, "duplicate served", "A duplicate of a non-idempotent request got the recorded outcome."},
	{ConfigApplied, "configuration applied", "A newer version of the configuration is in force here."},
	{ConfigChanged, "configuration changed", "An operator's change was accepted."},
	{ConfigConflict, "configuration conflict", "An operator's change was rejected because another change was committed first."},
	{ConfigUnconfirmed, "configuration unconfirmed", "The configuration can't be confirmed as current; requests with a key are refused."},
	{ConfigCurrent, "configuration current", "The configuration is confirmed as current."},
	{ConfigOutage, "configuration outage", "Neither this instance nor any known peer reaches the table; the configuration stays in force."},
	{AllocationChanged, "part moved", "A transfer changed the allocations of a team's limit in the table."},
	{AllocationRefused, "part refused", "A transfer of a team's allocations conflicted with a newer row in the table."},
	{ClientsLimited, "clients limited", "A limit has refused requests or closed connections of callers; the line has the reason and the number since its last line."},
	{TableFailed, "table failed", "A write to the table was refused or got no answer."},
	{ChartRefused, "chart refused event", "An event occurred for which no transition of the chart's current state applies."},
	{LeadershipClaimed, "tenure claimed", "This instance claims the leadership, which is vacant, was not renewed in time or ended early."},
	{LeadershipDenied, "tenure denied", "The claim failed, usually because another instance claimed the leadership first."},
	{LeadershipGranted, "tenure granted", "This instance is the leader: it has read all jobs and workers and starts to schedule."},
	{LeadershipLost, "tenure lost", "This instance is no longer the leader and has dropped the state that only a leader keeps."},
	{LeadershipDeposed, "tenure deposed", "The leader steps down, because another instance is the leader or may be."},
	{LeadershipReleased, "tenure released", "The leader releases the leadership, at a planned stop or in favour of an instance with more CPU; the line has the number of ends of runs that it has processed and not stored."},
	{LeadershipEnded, "tenure over", "The leader reports that its leadership has ended, or its process seems to have exited; the leadership may be claimed early."},
	{OutageConfirmed, "outage confirmed", "The store can't be reached, and all other instances confirm that the leader may go on extending leases."},
	{WorkerRegistered, "worker listed", "A worker was registered with the platform, or registered again."},
	{WorkerAdopted, "worker adopted", "The worker has accepted the fencing token and reported its running tasks."},
	{WorkerUnresponsive, "worker unanswering", "Orders to the worker get no answer."},
	{WorkerRecovered, "worker recovered", "The worker answers again."},
	{WorkerLeaseExpired, "worker lapsed", "The worker's runs have certainly ended; their tasks wait for another worker."},
	{WorkerDraining, "worker draining", "The worker is leaving; no more tasks are started on it."},
	{WorkerDeregistered, "worker unlisted", "The worker is no longer registered with the platform."},
	{WorkerReplaced, "worker replaced", "This incarnation of the worker has ended."},
	{LeaseBounded, "lease bounded", "The time until which the leases of a worker that doesn't answer last is being stored, for a next leader."},
	{JobAccepted, "job accepted", "A submission is stored."},
	{JobRefused, "job refused", "A submission was not accepted, or its outcome is unknown."},
	{JobRead, "job taken", "The leader has read a submission."},
	{JobStateChanged, "job state", "The state of a job has changed."},
	{JobCancelled, "job cancelled", "The leader has read a cancellation."},
	{JobAnswered, "job answered", "A call about a job, other than a submission, had a result other than a state or a count."},
	{SubmissionOverload, "job overload", "A submission is refused, because there is no capacity for the job while it has a value."},
	{RunPlaced, "run placed", "The choice of a worker is stored and the start is sent."},
	{StartRefused, "start refused", "A start was refused or got no answer."},
	{RunEnded, "run ended", "A worker reports the end of a run. If it is not the present run of the task there, the line has the state of the task and its present run and worker."},
	{RunStopped, "run stopped", "A stop is sent for a run."},
	{RunVanished, "run vanished", "A worker neither runs a task that it had confirmed nor reports its end."},
	{RunUnbound, "run stray", "A worker runs a task that is not bound to it; the run is stopped."},
	{RunStalled, "run stalled", "A run makes no progress and is stopped."},
	{RunPaced, "run paced", "An opportunistic task is throttled or resumed because of a serving task."},
	{RunMoved, "run moved", "A run is stopped because its worker will leave before the run ends, or its failure domain is evacuated."},
	{TaskAttemptsExhausted, "task spent", "A task has failed as often as its queue allows."},
	{StartWithheld, "start withheld", "A start is not sent, because its worker can't be used for the task any more."},
	{RunGivenUp, "run given up", "A run is given up without a reported end, because its lease has expired or its worker has ended; the line has the reason."},
	{AckedWithOpenStart, "ack with open start", "The end of a run is acknowledged although a start of its task may still arrive; the line has the start and why the end does not wait."},
	{ReportDropped, "report dropped", "An answer of a worker that lists ends of runs is dropped, because the leadership or the incarnation of the worker has ended."},
	{NearWaitStarted, "near wait", "A step waits for places near its data or its group, although it could start elsewhere."},
	{NearWaitEnded, "near wait over", "The step's wait for near places is over."},
	{AdviceGiven, "advice given", "The advisor has answered which workers may run a step."},
	{AdviceFailed, "advice failed", "A query to the advisor failed or got no answer."},
	{PassSummary, "pass summary", "Once a second: how many steps wait, and for what."},
	{PoolSummary, "pool summary", "Once a second: the used and the total capacity of a pool."},
	{CapacityReserved, "capacity reserved", "A step that can't start yet begins to reserve capacity, with the expected time to its start."},
	{ReservationLapsed, "reservation lapsed", "A step has not started in time after it began to reserve capacity, and reserves nothing for a while."},
	{BacklogChanged, "backlog changed", "The leader finds the first jobs for which there is no capacity while they have a value, or no more of them."},
	{PolicyApplied, "policy applied", "A newer configuration of the platform is in force here."},
	{RowUnreadable, "row unreadable", "A row or entry can't be decoded or encoded and is skipped, or names something unknown."},
	{StoreFailed, "store failed", "A transaction or a read of the store failed."},
	{DependencyLost, "dependency lost", "A system that the instance depends on fails or doesn't answer."},
	{DependencyBack, "dependency back", "The system answers again."},
	{LinesDropped, "lines dropped", "Log lines were dropped because the output could not keep up."},
	{ConnectivityChanged, "contact changed", "The instance is partitioned from the store while others reach it, or no longer is."},
	{ForwardFailed, "detour failed", "An instance that reaches the store did not answer a forwarded call."},
	{EvacuationBegun, "evacuation begun", "An operator has requested that no work be sent to a failure domain."},
	{EvacuationEnded, "evacuation ended", "A failure domain gets work again."},
	{DomainEmpty, "domain empty", "No task is left at the workers of an evacuated failure domain."},
	{StartsHeld, "starts held", "The leader sends no starts, because its knowledge of evacuations is too old."},
	{StartsResumed, "starts resumed", "The leader knows the evacuations again, or is no longer leader."},
	{StoreTraffic, "store traffic", "Every 5 s: for each kind of call of the store, the calls, those that failed, and the bytes sent and received."},
	{RelayFailed, "relay failed", "An instance did not give this one the configuration, which is read from another one or from the store."},
	{ProcessStarted, "process started", "The process accepts calls."},
	{ProcessLeaving, "process leaving", "The process was asked to stop."},
	{ProcessStopped, "process stopped", "The process ends."},
	{SettingsReloaded, "reload asked", "The settings file was read again and checked."},
	{InvariantViolated, "invariant violated", "An invariant of section 1.2 of the design does not hold."},
}

var names = func() map[ID]string {
	m := make(map[ID]string, len(catalogue))
	for _, e := range catalogue {
		m[e.id] = e.name
	}
	return m
}()

// Catalogue returns a copy of the list of all events, in order of their numbers.
func Catalogue() []Entry { return slices.Clone(catalogue) }

// Name returns the name of an event; empty when the catalogue doesn't have it.
func (id ID) Name() string { return names[id] }

// Log writes numbered events. The zero value discards them. It is safe for concurrent use if its sink is.
type Log struct {
	sink logr.Logger
}

// New returns a log that writes its events to sink.
func New(sink logr.Logger) *Log { return &Log{sink: sink} }

// Record writes an event with alternating keys and values. It writes nothing when the sink is disabled.
func (l *Log) Record(id ID, kv ...any) {
	if !l.sink.Enabled() {
		return
	}
	l.sink.Info(names[id], append([]any{"event", int(id)}, kv...)...)
}

// Fault writes an event at the error level, with an error and alternating keys and values.
func (l *Log) Fault(id ID, err error, kv ...any) {
	l.sink.Error(err, names[id], append([]any{"event", int(id)}, kv...)...)
}
