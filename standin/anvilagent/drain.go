package anvilagent

import (
	"time"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilhost"
)

const (
	// drainTime is how long a leaving worker waits for its tasks.
	drainTimeout = 10 * time.Second
	// drainCheck is the interval at which it looks whether they have ended.
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

// Drain refuses new work, waits until no task is left and the owners have read the ended ones, and
// stops what is left after 10 s.
func Drain(actor *anvilactor.Actor[*anvilhost.Host]) {
	limit := time.NewTimer(drainTimeout)
	defer limit.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		reply := make(chan bool, 1)
		if drained, ok := anvilactor.Ask(actor, leaveMessage{reply: reply}, reply); drained || !ok {
			return
		}
		select {
		case <-limit.C:
			reply := make(chan bool, 1)
			anvilactor.Ask(actor, abortMessage{reply: reply}, reply)
			return
		case <-ticker.C:
		}
	}
}
