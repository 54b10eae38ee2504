package anvilcaller

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refreshInterval is how often the balancer checks the health of the entry instances.
	refreshInterval = 500 * time.Millisecond
	// healthTimeout is how long a healthy instance may take to answer.
	healthTimeout = 400 * time.Millisecond
)

// Fronts lists the front addresses of the entry instances among which a balancer chooses. The list may change between
// calls.
type Fronts interface {
	Fronts() []string
}

// FixedFronts is a list of front addresses that doesn't change.
type FixedFronts []string

// Fronts returns the list itself.
func (f FixedFronts) Fronts() []string { return f }

// Balancer chooses the ready entry instances in turn, like the platform's load balancer. It is safe for concurrent
// use.
type Balancer struct {
	fronts Fronts
	client *http.Client
	ready  atomic.Pointer[[]string]
	next   atomic.Uint64
	cancel context.CancelFunc
	done   chan struct{}
}

// NewBalancer returns a balancer that checks the instances until ctx is done or it is closed. The first check
// is complete when NewBalancer returns.
func NewBalancer(ctx context.Context, f Fronts) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{
		fronts: f, cancel: cancel, done: make(chan struct{}),
		client: &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	b.refresh(ctx)
	go b.run(ctx)
	return b
}

// NewPinned returns a balancer that always chooses one address, whether the instance there is ready or not.
func NewPinned(addr string) *Balancer {
	b := &Balancer{fronts: FixedFronts{addr}, cancel: func() {}, done: make(chan struct{})}
	b.ready.Store(&[]string{addr})
	close(b.done)
	return b
}

func (b *Balancer) run(ctx context.Context) {
	defer close(b.done)
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			b.refresh(ctx)
		}
	}
}

func (b *Balancer) refresh(ctx context.Context) {
	addrs := b.fronts.Fronts()
	ok := make([]bool, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Go(func() { ok[i] = b.healthy(ctx, a) })
	}
	wg.Wait()
	ready := make([]string, 0, len(addrs))
	for i, a := range addrs {
		if ok[i] {
			ready = append(ready, a)
		}
	}
	b.ready.Store(&ready)
}

func (b *Balancer) healthy(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1024))
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Ready returns the addresses that were ready at the last check.
func (b *Balancer) Ready() []string { return *b.ready.Load() }

// Pick returns a ready address. It returns avoid only if no other address is ready, and an empty string if none is.
func (b *Balancer) Pick(avoid string) string {
	ready := b.Ready()
	for range ready {
		if a := ready[b.next.Add(1)%uint64(len(ready))]; a != avoid || len(ready) == 1 {
			return a
		}
	}
	return ""
}

// Close stops the checks and waits for the current one.
func (b *Balancer) Close() {
	b.cancel()
	<-b.done
}
