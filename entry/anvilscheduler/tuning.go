package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// Timing of the leadership.
const (
	// renewInterval is the longest time between two commits of the leader. Three renewals fit into validity.
	renewInterval = anvilclock.Millis(300)
	// leadershipValidity is how long after the sending of its last applied commit the leader may send starts. It
	// ends before others may claim the leadership.
	leadershipValidity = anvilclock.Millis(1000)
	// vacantAfter is how long the row of the leadership must stay unchanged before another instance claims it.
	// A slow store answers after 240 ms, so a living leader changes the row every 540 ms.
	vacantAfter = anvilclock.Millis(1100)
	// exitedVacantAfter is the same when the leader's process seems to be gone: a link may refuse connections, too, but the
	// row of a living leader changes every 300 ms.
	exitedVacantAfter = anvilclock.Millis(450)
	// firstClaimDelay is the wait before the first claim of all, and firstFactor multiplies the delay by distance:
	// instances start within 0.3 s of each other, and their first round trips are slow.
	firstClaimDelay     = anvilclock.Millis(800)
	firstDistanceFactor = 4
	// maxCPUDelay is how much later an instance claims that has hardly any processor beside the strongest one.
	maxCPUDelay = anvilclock.Millis(1500)
	// minLeadTime is how long an instance schedules at least before it leaves that to one that has yieldFactor
	// times its processor.
	minLeadTime    = anvilclock.Millis(3000)
	yieldCPUFactor = 2
	// pollInterval is the pause between two looks at the row of the leadership.
	pollInterval = anvilclock.Millis(300)
	// weakPollInterval is the same for an instance that claims later than others anyway. It is below watchGap.
	weakPollInterval = anvilclock.Millis(800)
	// maxPollGap is the longest time between two successful looks that count as one observation: after an
	// outage of the store, the leader gets its time to renew first.
	maxPollGap = anvilclock.Millis(1000)
	// distanceFactor delays the claim of instances far from the store by multiples of their round trip,
	// since the leader commits all the time. 24 ms between regions delay it by 240 ms.
	distanceFactor = 10
	// leaseGrace is how long a leader that can't renew goes on holding the leases of running tasks, so
	// that an outage of the store stops no work. A successor waits for it before it counts on a lapse.
	leaseGrace = anvilclock.Millis(8000)
)

// Timing of commits.
const (
	// minCommitInterval is the least time between two commits of the leader. 40 commits a second leave five sixths
	// of what one part of the store takes to submissions.
	minCommitInterval = anvilclock.Millis(25)
	// commitTimeout bounds one try of a commit; a slow store takes a quarter of a second, after up to a second
	// of others that wait.
	commitTimeout = anvilclock.Millis(1600)
	// commitRetry is the pause before a commit is tried again. It is short, so that the leader gets through
	// between the submissions of all instances when the store is slow.
	commitRetry = anvilclock.Millis(25)
	// readTimeout bounds reading a table.
	readTimeout = anvilclock.Millis(3000)
	// answerTimeout bounds the answer to a reading of one page, beyond the time that the store may wait for a change.
	// What was sent during an outage gets no answer afterwards, so this is how long a process that starts meanwhile
	// stays without a configuration once the store is back; a slow store takes a quarter of a second.
	answerTimeout = anvilclock.Millis(1000)
	// scanTimeout bounds the first reading of a whole table that others follow. Each failure doubles the time, up to
	// scanDoublings times, which is 8 s.
	scanTimeout   = anvilclock.Millis(1000)
	scanDoublings = 3
	// policyFeedInterval is the least time between two readings of the changes of the configuration.
	policyFeedInterval = anvilclock.Millis(15)
	// workerFeedInterval is the same for the list of workers, which changes with each of their reports; 48 workers report 32 times
	// a second, and each reading is priced.
	workerFeedInterval = anvilclock.Millis(120)
	// stateFeedInterval is the same for the states of jobs at every instance. Ends are announced by the leader, the
	// rest may be this much older; readings are priced.
	stateFeedInterval = anvilclock.Millis(600)
	// stateFeedIntervalPerPeer is what each other instance adds to it, from 75 instances on: all read over the same links. At
	// 300 it is 2.4 s; states may be 3 s old.
	stateFeedIntervalPerPeer = anvilclock.Millis(8)
	// intakeFeedInterval is the same for submissions and cancellations at the leader, which the instances that take them
	// announce to it.
	intakeFeedInterval = anvilclock.Millis(100)
	// feedWait is how long the store may wait for a change before it answers.
	feedWait = anvilclock.Millis(2000)
	// policyWait is the same for the configuration; every answer confirms the version in force.
	policyWait = anvilclock.Millis(700)
	// readRetry is the pause after a failed reading.
	readRetry = anvilclock.Millis(120)
	// maxEntriesPerJob is how many entries one job may add to a commit.
	maxEntriesPerJob = 4
)

// Timing of workers.
const (
	// leaseDuration is how long runs are held beyond the last order. A lost leader and its successor need
	// about 3 s until the successor has spoken to all workers.
	leaseDuration = anvilclock.Millis(5000)
	// leaseSlack keeps a lease below the longest that workers allow.
	leaseSlack = anvilclock.Millis(500)
	// leaseRefreshAge is the age of the last order at which a lease is extended.
	leaseRefreshAge = anvilclock.Millis(1200)
	// maxHoldWait is how long a worker may wait for an end before it answers a hold.
	maxHoldWait = anvilclock.Millis(1000)
	// minHoldInterval is the least time between two holds of one worker, so that ends shortly after each other
	// need one look.
	minHoldInterval = anvilclock.Millis(30)
	// orderTimeout bounds a start, a stop, and a hold beyond its wait.
	orderTimeout = anvilclock.Millis(700)
	// orderRetry is the pause before an order without an answer is sent again.
	orderRetry = anvilclock.Millis(150)
	// unresponsiveAfter is the number of orders in a row without an answer after which a worker counts as silent.
	unresponsiveAfter = 2
	// probeInterval is the pause between holds of a silent worker.
	probeInterval = anvilclock.Millis(300)
	// maxProbes is how many holds may be on their way to workers that are not known to answer. A new leader of
	// thousands of workers would otherwise be too busy to take the answers before the holds time out.
	maxProbes = 128
	// maxIdleProbes is the same for those without tasks, whose turn comes last: no lease runs out there.
	maxIdleProbes = 64
	// unavailableBackoff is how long a worker that refused gets no starts.
	unavailableBackoff = anvilclock.Millis(400)
	// leaseExpiryMargin is added before a lapsed lease is relied on.
	leaseExpiryMargin = anvilclock.Millis(250)
	// maxClockLag is how much a worker's clock may lag, in parts of 100.
	maxClockLag = 2
	// drainStopMargin is added to the time of a stop when work is moved off a worker that leaves.
	drainStopMargin = anvilclock.Millis(600)
	// deregistrationGrace is how long an entry may be missing from the list before the worker gets no starts.
	deregistrationGrace = anvilclock.Millis(2500)
)

// Scheduling.
const (
	// minPassInterval is the least time between two passes over the waiting steps.
	minPassInterval = anvilclock.Millis(8)
	// maxPassInterval is the longest time between passes while steps wait: tickets lapse and questions may be asked
	// again without an event.
	maxPassInterval = anvilclock.Millis(150)
	// passIdleFactor is the pause between two passes in multiples of the time that the last one took: with less
	// than a core, passes must leave most of it to the calls that they lead to.
	passIdleFactor = 6
	// tickLeading and tickFollowing are the resolutions of timers.
	tickLeading   = anvilclock.Millis(20)
	tickFollowing = anvilclock.Millis(100)
	// ticketSendMargin is how long a ticket must still be valid when its start is sent.
	ticketSendMargin = anvilclock.Millis(25)
	// shareWindow is the time over which a team may use its share of jobs a second at once.
	shareWindow = anvilclock.Millis(5000)
	// ticketDecisionMargin is how long a ticket must still be valid when a start is decided: the start is stored
	// first and then travels to the worker.
	ticketDecisionMargin = anvilclock.Millis(120)
	// queryMargin is added to the time that a question may take.
	queryMargin = anvilclock.Millis(1500)
	// queryRetry is the pause after a failed question.
	queryRetry = anvilclock.Millis(100)
	// proxyBackoff is how long an instance that failed to ask is left alone.
	proxyBackoff = anvilclock.Millis(3000)
	// latencySamples is how many answers the time that questions travel through an instance is averaged over.
	latencySamples = 4
	// maxRelayReplyAge is the age of an answer up to which an instance is preferred for passing news on.
	maxRelayReplyAge = anvilclock.Millis(5000)
	// maxAliveReplyAge is the age of an answer up to which an instance counts as alive.
	maxAliveReplyAge = anvilclock.Millis(1000)
	// maxQueuedCost bounds the work of the advisor that one instance may have waiting: the way there and back
	// takes up to 50 ms, and what waits longer is better asked by another instance.
	maxQueuedCost = anvilclock.Millis(100)
	// queryTravelTime is how long a question and its answer are on their way, beside the advisor's own time.
	queryTravelTime = anvilclock.Millis(120)
	// ticketTravelTime is how old a ticket may be when it arrives: its time runs from the advisor's answer, which
	// comes through another instance, and both may be in another region.
	ticketTravelTime = anvilclock.Millis(80)
	// maxQueryWorkers is how many workers a question may name.
	maxQueryWorkers = 100
	// openTaskFactor and gangNames are how many tasks a question must promise room for, in multiples of those that
	// wait: not all that looks free will be, and a gang waits for its last task.
	openTaskFactor = 1.5
	gangTaskFactor = 2.0
	// maxReservations is how many stages may keep room free for themselves at a time.
	maxReservations = 3
	// largeTaskShare is the share of a worker, in parts of a million, from which a task has room kept free. On a
	// quiet day tasks of whole workers waited for up to 36 s while a quarter of the pool was free in pieces.
	largeTaskShare = 500_000
	// reservedPoolDivisor is the part of a pool, one in so many workers, that stages keep free beyond a pass.
	reservedPoolDivisor = 4
	// typicalQueryWorkers is the number of workers on which a question counts in a job's objective.
	typicalQueryWorkers = 30
	// worthlessFactor is the multiple of its objective after which a job earns nothing.
	worthlessFactor = 3
	// endedRetention is how long the state of an ended job is kept.
	endedRetention = anvilclock.Millis(150_000)
	// cleanInterval is the pause between two removals of old rows, cleanMost the jobs of one removal: each takes
	// two entries of a transaction.
	cleanInterval = anvilclock.Millis(1000)
	maxCleanJobs  = 24
	// stopRetry is the pause before a stop that has shown no end is sent again.
	stopRetry = anvilclock.Millis(600)
)
