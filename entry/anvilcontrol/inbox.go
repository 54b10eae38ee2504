package anvilcontrol

import "sync"

// Sizes of the inbox. Results are bounded by the calls in flight; the bound on requests is what a
// loop that decides 5,000 requests a second works off in less than half a second.
const (
	maxPendingResults  = 8192
	maxPendingRequests = 2048
)

// Inbox carries messages from traffic goroutines to the loop.
type Inbox struct {
	results  chan Message
	requests chan Message
	closed   chan struct{}
	once     sync.Once
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox {
	return &Inbox{
		results:  make(chan Message, maxPendingResults),
		requests: make(chan Message, maxPendingRequests),
		closed:   make(chan struct{}),
	}
}

// Post delivers the result of an effect. It waits while the inbox is full and drops the message
// when the loop has ended.
func (in *Inbox) Post(m Message) {
	select {
	case in.results <- m:
	case <-in.closed:
	}
}

// Offer delivers a request of a caller, an operator or another entry instance. It reports false at
// once when the inbox is full or the loop has ended; the request then has not run.
func (in *Inbox) Offer(m Message) bool {
	select {
	case <-in.closed:
		return false
	default:
	}
	select {
	case in.requests <- m:
		return true
	default:
		return false
	}
}

func (in *Inbox) close() { in.once.Do(func() { close(in.closed) }) }
