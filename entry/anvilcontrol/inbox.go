package anvilcontrol

import "sync"

// Capacities of the inbox. Results are bounded by the calls in flight. At 5,000 decisions per second a full inbox of
// requests is handled in less than half a second.
const (
	maxPendingResults  = 8192
	maxPendingRequests = 2048
)

// Inbox carries messages from other goroutines to the loop. Its exported methods are safe for concurrent use.
type Inbox struct {
	results  chan Message
	requests chan Message
	closed   chan struct{}
	once     sync.Once
}

// NewInbox returns an inbox for one Loop.
func NewInbox() *Inbox {
	return &Inbox{
		results:  make(chan Message, maxPendingResults),
		requests: make(chan Message, maxPendingRequests),
		closed:   make(chan struct{}),
	}
}

// Post delivers a message that must not be lost, such as the result of a call that the loop made. It blocks while the
// inbox is full, and drops the message once the loop has ended.
func (in *Inbox) Post(m Message) {
	select {
	case in.results <- m:
	case <-in.closed:
	}
}

// Offer delivers a request of a caller, an operator or another entry instance. It doesn't block: it reports false if
// the inbox is full or the loop has ended. The request then has no effect and gets no reply.
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
