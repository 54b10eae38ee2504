// Package anvilscheduler schedules jobs on the workers of a fleet. A job consists of steps, and a step of tasks.
//
// Every entry instance runs a Loop. One of them is the leader and schedules; the others are followers, which read the
// states of jobs. A row of the store names the leader and its fencing token. Everything that must outlive the leader is
// stored before the leader acts on it: the choice of a worker before a start is sent, and the end of a run before it is
// acknowledged to the worker.
//
// One goroutine owns all control state. Traffic goroutines call the store, workers, advisors and other instances, and
// post the answers as messages. The package does not depend on how messages are encoded.
package anvilscheduler
