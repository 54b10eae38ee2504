package anvilagent

import (
	"time"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilhost"
)

const (
	// drainTimeout is how long a leaving worker waits for its tasks to end.
	drainTimeout = 10 * time.Second
	// drainPollInterval is the interval at which a leaving worker checks whether its tasks have ended.
	drainPollInterval = 50 * time.Millisecond
)

type leaveMessage struct {
	reply chan bool
}

func (m leaveMessage) Apply(h *anvilhost.Host) {
	h.Leave()
	m.reply <- h.Drained()
}

type abortMessage struct {
	reply chan bool
}

func (m abortMessage) Apply(h *anvilhost.Host) {
	h.Abort()
	m.reply <- true
}

// Drain makes the worker refuse new tasks, then blocks until no task is live and the shard owners have read all ended
// tasks. Tasks that are still live after 10 s are stopped.
func Drain(actor *anvilactor.Actor[*anvilhost.Host]) {
	timeout := time.NewTimer(drainTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		reply := make(chan bool, 1)
		if drained, ok := anvilactor.Ask(actor, leaveMessage{reply: reply}, reply); drained || !ok {
			return
		}
		select {
		case <-timeout.C:
			reply := make(chan bool, 1)
			anvilactor.Ask(actor, abortMessage{reply: reply}, reply)
			return
		case <-ticker.C:
		}
	}
}
