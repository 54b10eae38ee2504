// Package anvilscheduler schedules jobs that consist of steps of tasks on the workers of a fleet.
//
// Every entry instance runs a Loop. One of them is the leader, a row of the store with a fencing
// token, and schedules; the others follow the states of jobs and stand by. Everything that must outlive
// the leader is in the store before the leader acts on it: the choice of a worker before a start is sent,
// and the end of a run before the worker may forget it.
//
// One goroutine owns all control state. Traffic goroutines carry out calls to the store, workers and
// advisors, and post the answers as messages. Decisions know nothing of how messages are encoded.
package anvilscheduler
