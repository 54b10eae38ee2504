package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// Timing of the leadership.
const (
	// renewInterval is the longest time between two commits of the leader. Three renewals fit into leadershipValidity.
	renewInterval = anvilclock.Millis(300)
	// leadershipValidity is how long the leader may send starts, counted from the sending of its last applied commit.
	// It ends before other instances may claim the leadership.
	leadershipValidity = anvilclock.Millis(1000)
	// vacantAfter is how long the leadership row must stay unchanged before another instance claims it. A slow store
	// answers after 240 ms, so a running leader changes the row every 540 ms.
	vacantAfter = anvilclock.Millis(1100)
	// exitedVacantAfter replaces vacantAfter when the leader's process seems to have exited. Connections can also fail
	// because of the network, so the row must stay unchanged for longer than a running leader takes, which is 300 ms.
	exitedVacantAfter = anvilclock.Millis(450)
	// While no leadership row exists, firstClaimDelay is added to the delay of a claim, and firstDistanceFactor multiplies
	// the part of the delay that comes from distanceFactor: instances start within 0.3 s of each other, and their first
	// round trips are slow.
	firstClaimDelay     = anvilclock.Millis(800)
	firstDistanceFactor = 4
	// maxCPUDelay bounds how much later an instance claims because another one has more CPU. The delay is proportional to
	// the share of CPU that the instance lacks compared with the one that has the most.
	maxCPUDelay = anvilclock.Millis(1500)
	// minLeadTime is how long a leader schedules at least before it yields to an instance that has at least yieldCPUFactor
	// times its CPU.
	minLeadTime    = anvilclock.Millis(3000)
	yieldCPUFactor = 2
	// pollInterval is the pause between two reads of the leadership row with up to pollPeers other instances. With more it
	// grows up to maxPollInterval, which an instance whose claim is delayed because of its CPU always uses.
	pollInterval    = anvilclock.Millis(300)
	maxPollInterval = anvilclock.Millis(800)
	pollPeers       = 10
	// maxPollDelay is by how much longer than the pause the time between two successful reads of the row may be, so that they
	// count as one observation. A longer gap, as after an outage of the store, starts a new observation, so that the
	// leader has time to renew.
	maxPollDelay = anvilclock.Millis(700)
	// pollTimeout bounds a read of the row.
	pollTimeout = anvilclock.Millis(1000)
	// distanceFactor is the delay of a claim in multiples of the round trip to the store. An instance near the store is a
	// better leader, because the leader commits all the time. 24 ms between regions delay a claim by 240 ms.
	distanceFactor = 10
	// extensionValidity is how long the leader may extend leases, counted from when its last applied commit was made. It
	// ends before the work of a worker that was lost beside the leader counts as away for too long, and spans two renewals
	// at a slow store.
	extensionValidity = anvilclock.Millis(800)
	// leaseGrace is how long a leader that can't renew still gives orders, and extends the leases of running tasks while its
	// witnesses confirm the outage of the store, so that the outage stops no work.
	leaseGrace = anvilclock.Millis(8000)
)

// Timing of commits and reads.
const (
	// minCommitInterval is the least time between two commits of the leader. 40 commits a second leave five sixths
	// of the throughput of a store partition to submissions.
	minCommitInterval = anvilclock.Millis(25)
	// commitTimeout bounds one attempt of a commit. A slow store takes a quarter of a second, after up to a second of
	// waiting for other commits.
	commitTimeout = anvilclock.Millis(1600)
	// commitRetryDelay is the delay before a commit is attempted again. It is short, so that the leader's commits get
	// through between the submissions of all instances when the store is slow.
	commitRetryDelay = anvilclock.Millis(25)
	// readTimeout bounds the first read of a whole table by the leader. Each failure of a new leader's read doubles it, up to
	// readDoublings times.
	readTimeout   = anvilclock.Millis(3000)
	readDoublings = 2
	// answerTimeout bounds the read of one page, beyond the time that the store may wait for a change. A request
	// that was sent during an outage gets no answer afterwards, so this is how long a process that starts during the
	// outage stays without a configuration once the store is back; a slow store takes a quarter of a second.
	answerTimeout = anvilclock.Millis(1000)
	// scanTimeout bounds the first read of a whole table. Each failure doubles the time, up to scanDoublings times,
	// which is 8 s.
	scanTimeout   = anvilclock.Millis(1000)
	scanDoublings = 3
	// policyFeedInterval is the least time between two reads of the changes of the configuration.
	policyFeedInterval = anvilclock.Millis(15)
	// workerFeedInterval is the least time between two reads of the changes of the worker registry, which changes with
	// each report of a worker. 48 workers report 32 times a second, and each read is charged for.
	workerFeedInterval = anvilclock.Millis(120)
	// stateFeedInterval is the least time between two reads of the changed states of jobs, at every instance. The leader
	// notifies the others of ends of jobs; other states may be this much older, because reads are charged for.
	stateFeedInterval = anvilclock.Millis(600)
	// stateFeedIntervalPerPeer times the number of other instances is another lower bound of the time between two reads of
	// changed states, because all instances read over the same network links. It matters from 75 instances on. With 300
	// instances the interval is 2.4 s; states may be 3 s old.
	stateFeedIntervalPerPeer = anvilclock.Millis(8)
	// intakeFeedInterval is the least time between two reads of new submissions and cancellations by the leader. The
	// instances that accept them also notify the leader.
	intakeFeedInterval = anvilclock.Millis(100)
	// feedWait is how long the store may wait for a change before it answers a read of changes.
	feedWait = anvilclock.Millis(2000)
	// stateWait replaces feedWait for the states of jobs, whose age must stay below maxStatesAge at an instance that others ask.
	stateWait = anvilclock.Millis(1000)
	// policyWait replaces feedWait for the configuration. It is shorter because every answer confirms the version in
	// force.
	policyWait = anvilclock.Millis(700)
	// readRetryDelay is the delay after a failed read, and the least time between two reads of the changed instances by the
	// leader.
	readRetryDelay = anvilclock.Millis(120)
)

// Timing of workers.
const (
	// leaseDuration is how long runs are leased, counted from the last order that extended the leases of their worker.
	// After the loss of a leader it takes about 3 s until the successor has reached all workers.
	leaseDuration = anvilclock.Millis(5000)
	// leaseSlack keeps a lease below the longest that workers grant.
	leaseSlack = anvilclock.Millis(500)
	// Once the last extension is leaseRefreshAge old, a hold is sent to extend leases although the ends that the worker
	// has reported are still being stored.
	leaseRefreshAge = anvilclock.Millis(1200)
	// maxHoldWait is how long a worker may wait for the end of a run before it answers a hold.
	maxHoldWait = anvilclock.Millis(1000)
	// minHoldInterval is the least time between two holds of one worker, so that one hold reports several runs that end
	// shortly after each other.
	minHoldInterval = anvilclock.Millis(30)
	// unverifiedHoldInterval is the least time between two holds while ends can't be acknowledged.
	unverifiedHoldInterval = anvilclock.Millis(200)
	// unextendedHoldWait replaces maxHoldWait while the leader may not extend leases, so that they are extended soon after that.
	unextendedHoldWait = anvilclock.Millis(200)
	// reviewInterval is the time between two looks at all workers for those that don't answer.
	reviewInterval = anvilclock.Millis(100)
	// boundedHoldInterval is the least time between two holds of a worker while its leases can't be extended.
	boundedHoldInterval = anvilclock.Millis(200)
	// lateOrderWindow is how long after its time-out an order may still be carried out. On the users' platform orders are
	// carried out up to 12 s late.
	lateOrderWindow = anvilclock.Millis(12_000)
	// exposedHoldInterval replaces maxHoldWait, clockRefreshAge and probeInterval for a worker at which the start of a run that has ended may still
	// arrive: its next process has to refuse that start soon after it has begun.
	exposedHoldInterval = anvilclock.Millis(200)
	// reconnectInterval is the pause between two attempts to connect to such a worker while nothing listens there.
	reconnectInterval = anvilclock.Millis(5)
	// firstReconnectTimeout replaces orderTimeout for the first hold after one that failed: it may be lost or late itself.
	firstReconnectTimeout = anvilclock.Millis(250)
	// reconnectsPerInterval is the number of probes in flight with which reconnectInterval is doubled.
	reconnectsPerInterval = 8
	// One in heldEndsDivisor ends of the last one or two times endPeriod may wait to be acknowledged. The platform accepts that one
	// in five isn't acknowledged in time.
	heldEndsDivisor = 10
	endPeriod       = anvilclock.Millis(30_000)
	// maxHeldEnds bounds the ends of one worker that wait: it lists only so many.
	maxHeldEnds = 250
	// heldAckInterval is the least time between two holds of a worker whose ends wait.
	heldAckInterval = anvilclock.Millis(200)
	// orderTimeout bounds a start, a stop, and a hold beyond its wait.
	orderTimeout = anvilclock.Millis(700)
	// secondStartDelay is how long a start may stay unanswered before it is sent a second time.
	secondStartDelay = anvilclock.Millis(200)
	// orderRetryDelay is the least time between two attempts of a start that gets no answer.
	orderRetryDelay = anvilclock.Millis(150)
	// gangStartWindow is how long starts of a gang's tasks are sent again to workers that refuse them as unavailable. The
	// other tasks wait for them, and their tickets expire.
	gangStartWindow = anvilclock.Millis(1200)
	// lateStartWindow is how long a start is sent again to a worker that answers that its lease has already expired.
	lateStartWindow = anvilclock.Millis(1200)
	// clockRefreshAge is the age of the last reply after which an idle worker gets a hold, because the estimate of its
	// clock becomes less certain: the first lease after the reply is shorter by up to maxClockLag of this age.
	clockRefreshAge = anvilclock.Millis(25_000)
	// lossReplyAge replaces clockRefreshAge in a pool with long-running tasks at workers that don't answer.
	lossReplyAge = anvilclock.Millis(2000)
	// unresponsiveAfter is the number of consecutive orders without an answer after which a worker counts as unresponsive.
	unresponsiveAfter = 2
	// probeInterval is the pause between holds of an unresponsive worker.
	probeInterval = anvilclock.Millis(300)
	// maxProbes is how many holds may be in flight to workers that are not known to answer. A new leader of thousands
	// of workers would otherwise be too busy to process the answers before the holds time out.
	maxProbes = 128
	// maxIdleProbes replaces maxProbes for workers without tasks. It is lower, so that workers with tasks, whose leases
	// may expire, are probed first.
	maxIdleProbes = 64
	// unavailableBackoff is how long a worker gets no starts after it has refused one as unavailable.
	unavailableBackoff = anvilclock.Millis(400)
	// leaseExpiryMargin is added to the duration of a lease before the leader treats the lease as expired.
	leaseExpiryMargin = anvilclock.Millis(250)
	// maxClockLag is by how much a worker's clock may run slower than the local one, in percent.
	maxClockLag = 2
	// Runs with checkpoints on a draining worker are stopped once the worker may leave within the platform's stop grace
	// plus drainStopMargin.
	drainStopMargin = anvilclock.Millis(600)
	// departureSilence is the number of heartbeat intervals below which the removal of a worker's entry isn't due to its
	// silence.
	departureSilence = 2
	// deregistrationGrace is how long an entry may be missing from the worker registry before the worker gets no starts.
	deregistrationGrace = anvilclock.Millis(2500)
)

// Timing and limits of the passes.
const (
	// minPassInterval is the least time between two passes over the waiting stages.
	minPassInterval = anvilclock.Millis(8)
	// maxPassInterval is the longest time between two passes while stages wait: tickets expire, and queries of the
	// advisor may be sent again, without an event that requests a pass.
	maxPassInterval = anvilclock.Millis(150)
	// passIdleFactor is the pause between two passes in multiples of the time that the last one took. With less than
	// one core, passes must leave most of it to the calls that they cause.
	passIdleFactor = 6
	// tickLeading and tickFollowing are the intervals of the loop's timer at the leader and at the other instances.
	tickLeading   = anvilclock.Millis(20)
	tickFollowing = anvilclock.Millis(100)
	// ticketSendMargin is how long a ticket must still be valid when its start is sent.
	ticketSendMargin = anvilclock.Millis(25)
	// shareWindow bounds the bursts of a team: it may submit its share of jobs for a period of this length at once.
	shareWindow = anvilclock.Millis(5000)
	// ticketDecisionMargin is how long a ticket must still be valid when a start is decided: the start is stored first
	// and then sent to the worker.
	ticketDecisionMargin = anvilclock.Millis(120)
	// queryMargin is added to the expected time of an advisor query for its timeout.
	queryMargin = anvilclock.Millis(1500)
	// queryRetryDelay is the delay after an advisor query before the stage queries again.
	queryRetryDelay = anvilclock.Millis(100)
	// proxyBackoff is how long an instance gets no queries after one through it has failed.
	proxyBackoff = anvilclock.Millis(3000)
	// latencySamples is the number of answers over which the latency of queries through an instance is averaged.
	latencySamples = 4
	// maxRelayReplyAge is the age of the last reply up to which an instance is preferred as a relay of notifications.
	maxRelayReplyAge = anvilclock.Millis(5000)
	// maxAliveReplyAge is the age of the last reply up to which an instance counts as running.
	maxAliveReplyAge = anvilclock.Millis(1000)
	// maxQueuedCost bounds the advisor's work that one instance may have queued. The round trip takes up to 50 ms, and
	// a query that would wait longer is better sent through another instance.
	maxQueuedCost = anvilclock.Millis(100)
	// queryTravelTime is how long an advisor query and its answer travel, in addition to the advisor's own time.
	queryTravelTime = anvilclock.Millis(120)
	// ticketTravelTime is how old a ticket may be when it arrives. Its validity is counted from the advisor's answer,
	// which comes through another instance, and both may be in another region.
	ticketTravelTime = anvilclock.Millis(80)
	// maxQueryWorkers is how many workers an advisor query may name.
	maxQueryWorkers = 100
	// A query is split once the workers that it names cost the advisor another splitCost, into one part more for each
	// idlePerPart idle instances.
	splitCost   = anvilclock.Millis(200)
	idlePerPart = 8
	// gangQueryParts times maxQueryWorkers is how many workers the queries of a gang may name together.
	gangQueryParts = 3
	// An advisor query names workers for more tasks than wait, because other stages will use some of the free capacity.
	// queryFactor is the multiple for a stage, gangQueryFactor that for a gang, which is larger because a gang starts only
	// once its last task fits.
	queryFactor     = 1.5
	gangQueryFactor = 3.0
	// maxReservations is how many stages may reserve capacity in a pass.
	maxReservations = 3
	// maxReservationAttempts is how many stages that have no reservation may search the workers for one in a pass. A search takes a
	// third of a millisecond with 700 workers.
	maxReservationAttempts = 3
	// Capacity is reserved for tasks that need at least largeTaskShare of a worker, in parts per million.
	// Without reservations, a task that needs a whole worker waits for up to 36 s under low load, while a quarter of the
	// pool is free in parts that are too small.
	largeTaskShare = 400_000
	// reservedPoolDivisor bounds the reservations that are kept from pass to pass: they cover at most one in
	// reservedPoolDivisor workers of a pool.
	reservedPoolDivisor = 4
	// reservationGrace is how long a reservation lasts after the stage should have started by the estimates, which are often too
	// short.
	reservationGrace = anvilclock.Millis(10_000)
	// freePoolGrace is how long a reservation lasts in a pool that is mostly free.
	freePoolGrace = anvilclock.Millis(2500)
	// maxLapses bounds how often reservationGrace is quadrupled.
	maxLapses = 2
	// mostlyFreeUse is the use of a pool, in parts per million, below which a job may not wait beside free capacity for 3 s.
	mostlyFreeUse = 500_000
	// reservationPause is how long a stage reserves nothing after its reservation has lapsed. A job of a queue with advice can
	// get a ticket in that time.
	reservationPause = anvilclock.Millis(2000)
	// estimateError is by how much a task may take longer than its estimate, in percent, and still end before a reservation.
	estimateError = 90
	// maxShortBackfill is the longest estimate of tasks that go ahead by the current expectation of a reservation's start, also when
	// the first one is over. They delay the stage by little, and would wait for many times their length.
	maxShortBackfill = anvilclock.Millis(500)
	// typicalQueryWorkers is the number of workers that an advisor query is assumed to name when its time is added to a
	// job's objective.
	typicalQueryWorkers = 30
	// worthlessFactor is the multiple of its objective after which the completion of a job has no value.
	worthlessFactor = 3
	// endedRetention is how long the state of an ended job is kept.
	endedRetention = anvilclock.Millis(150_000)
	// cleanInterval is the least time between two removals of old rows, busyCleanInterval that after a removal that had to
	// leave some: up to 48 submissions each, or 24 beside old states.
	cleanInterval     = anvilclock.Millis(1000)
	busyCleanInterval = anvilclock.Millis(200)
	// maxCleanStates is the largest number of jobs whose states one removal deletes: each takes three entries of the
	// transaction. Submissions of ended jobs take the rest, with two entries each.
	maxCleanStates = 16
	// removedRetention is how long the ids of jobs whose states were removed are kept. It is longer than a read of all
	// submissions takes.
	removedRetention = anvilclock.Millis(60_000)
	// maxCleanEntries bounds the entries of a removal.
	maxCleanEntries = 96
	// stopRetryDelay is the least time between two stops of a run whose end was not reported.
	stopRetryDelay = anvilclock.Millis(600)
	// maxPatientStops is how many stops at a worker may wait for late answers. Each keeps one of the few connections to the worker.
	maxPatientStops = 2
)
