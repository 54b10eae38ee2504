package anvillistener

import (
	"sync"

	"anvilhold.org/lib/anvilbudget"
	"anvilhold.org/lib/anvilclock"
)

// DefaultMemory is the memory of the smallest machine that the programs run on, in bytes.
const DefaultMemory = 184 << 20

const (
	// memoryShare is the part of the process's memory that callers' requests and answers may use. The collector lets the heap
	// grow to twice what is in use, and the process needs memory of its own.
	memoryShare = 4
	// bodyCopies is what is reserved for each byte that is read: the byte, and the space in segments that isn't filled yet.
	bodyCopies = 2
	// chunkedCopies takes its place in chunks, for which the parser grows a buffer of its own.
	chunkedCopies = 4
	// handlerCopies is reserved for each byte of a body while it is handled: the handler's copy and what is decoded from it.
	handlerCopies = 2
	// headerLineCost is the memory of a header line beside its text.
	headerLineCost = 160
)

// Memory is the budget of all listeners of a process. It is safe for concurrent use.
type Memory struct {
	clock anvilclock.Clock
	mu    sync.Mutex
	sum   *anvilbudget.Budget
	drop  map[anvilbudget.Holder]func()
}

// NewMemory returns the budget of a process whose machine has bytes of memory; 0 stands for DefaultMemory.
func NewMemory(bytes int64, clock anvilclock.Clock) *Memory {
	if bytes <= 0 {
		bytes = DefaultMemory
	}
	return &Memory{clock: clock, sum: anvilbudget.New(bytes / memoryShare), drop: map[anvilbudget.Holder]func(){}}
}

// Used returns the bytes that are reserved.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum.Used()
}

// open adds a holder. drop is called on the goroutine of another holder when this one has to go, and must not block.
func (m *Memory) open(drop func()) anvilbudget.Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.sum.Open(m.clock.Now())
	m.drop[h] = drop
	return h
}

func (m *Memory) close(h anvilbudget.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum.Close(h)
	delete(m.drop, h)
}

// reserve reserves n bytes and drops other holders if that is needed. It returns false if n bytes don't fit, or if the
// holder has been dropped.
func (m *Memory) reserve(h anvilbudget.Holder, n int64) bool {
	m.mu.Lock()
	dropped, ok := m.sum.Reserve(h, n, m.clock.Now())
	drops := make([]func(), 0, len(dropped))
	for _, d := range dropped {
		drops = append(drops, m.drop[d])
		delete(m.drop, d)
	}
	m.mu.Unlock()
	for _, drop := range drops {
		drop()
	}
	return ok
}

// pin keeps a holder from being dropped. It returns false if the holder has been dropped already.
func (m *Memory) pin(h anvilbudget.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum.Pin(h)
	return m.drop[h] != nil
}

// unpin allows a holder to be dropped again and leaves it with n bytes. It returns false if these don't fit.
func (m *Memory) unpin(h anvilbudget.Holder, n int64) bool {
	m.mu.Lock()
	m.sum.Unpin(h, m.clock.Now())
	held := m.sum.Held(h)
	m.sum.Release(h, held-n)
	m.mu.Unlock()
	return n <= held || m.reserve(h, n-held)
}

func (m *Memory) progress(h anvilbudget.Holder, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum.Progress(h, n, m.clock.Now())
}
