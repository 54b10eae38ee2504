package anvilagent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

// heartbeat is the interval of registrations; the platform drops an instance after five of them.
const heartbeatInterval = time.Second

// Registrar keeps the worker on the platform's list of instances.
type Registrar struct {
	client       *client
	log          logr.Logger
	registration func(state string) *anvilwire.Instance
	id           string
	leaving      atomic.Bool
	stateChanged chan struct{}
	failing      bool
}

// Place says where a worker is.
type Place struct {
	addr, domain, region, pool string
}

// NewPlace returns the place of a worker that listens on addr.
func NewPlace(addr, domain, region, pool string) Place {
	return Place{addr: addr, domain: domain, region: region, pool: pool}
}

// NewRegistrar returns a registrar of worker id at the platform's address.
func NewRegistrar(platform, id string, p Place, size anvilsize.Size, log logr.Logger) *Registrar {
	return &Registrar{
		client: newClient(platform, p.region), log: log, id: id, stateChanged: make(chan struct{}, 1),
		registration: func(state string) *anvilwire.Instance {
			return anvilwire.Instance_builder{
				Id: id, Kind: "worker", Addr: p.addr, Domain: p.domain, Region: p.region, Pool: p.pool, State: state,
				Size: anvilwire.Size_builder{Cpu: size.CPU(), Memory: size.Memory(), Accel: size.Accel()}.Build(),
			}.Build()
		},
	}
}

// Leave registers the worker as leaving from now on.
func (r *Registrar) Leave() {
	if !r.leaving.Swap(true) {
		r.stateChanged <- struct{}{}
	}
}

// Run registers the worker until ctx ends, and then takes it off the list.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		r.register(ctx)
		select {
		case <-ctx.Done():
			// The parent context has ended; a last request gets its own short time.
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), heartbeatInterval)
			defer cancel()
			if err := r.client.unregister(last, r.id); err != nil {
				r.log.Info("could not unregister", "event", eventRegister, "reason", err.Error())
			}
			return
		case <-ticker.C:
		case <-r.stateChanged:
		}
	}
}

func (r *Registrar) register(ctx context.Context) {
	state := "live"
	if r.leaving.Load() {
		state = "leaving"
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	err := r.client.register(ctx, r.registration(state))
	if lost := err != nil; lost != r.failing && ctx.Err() != context.Canceled {
		r.failing = lost
		if lost {
			r.log.Info("registration failed", "event", eventRegister, "reason", err.Error())
		} else {
			r.log.Info("registered", "event", eventRegister, "state", state)
		}
	}
}
