package anvilagent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

// heartbeatInterval is the interval of registrations. The platform removes an instance after five intervals without one.
const heartbeatInterval = time.Second

// Registrar keeps the worker in the platform's instance registry.
type Registrar struct {
	client       *client
	log          logr.Logger
	instance     func(state string) *anvilwire.Instance
	id           string
	leaving      atomic.Bool
	stateChanged chan struct{} // wakes Run after Leave
	failing      bool          // the last registration failed
}

// Registration is what a worker registers about itself apart from its id, state and capacity.
type Registration struct {
	addr, domain, region, pool string
}

// NewRegistration returns the registration of a worker that listens on addr, with its failure domain, region and pool.
func NewRegistration(addr, domain, region, pool string) Registration {
	return Registration{addr: addr, domain: domain, region: region, pool: pool}
}

// NewRegistrar returns a registrar for the worker id. platform is the address of the platform.
func NewRegistrar(platform, id string, reg Registration, size anvilsize.Size, log logr.Logger) *Registrar {
	return &Registrar{
		client: newClient(platform, reg.region), log: log, id: id, stateChanged: make(chan struct{}, 1),
		instance: func(state string) *anvilwire.Instance {
			return anvilwire.Instance_builder{
				Id: id, Kind: "worker", Addr: reg.addr, Domain: reg.domain, Region: reg.region, Pool: reg.pool, State: state,
				Size: anvilwire.Size_builder{Cpu: size.CPU(), Memory: size.Memory(), Accel: size.Accel()}.Build(),
			}.Build()
		},
	}
}

// Leave makes Run register the worker as leaving, at once and with each further heartbeat.
func (r *Registrar) Leave() {
	if !r.leaving.Swap(true) {
		r.stateChanged <- struct{}{}
	}
}

// Run registers the worker every second until ctx ends, then removes the registration and returns.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		r.register(ctx)
		select {
		case <-ctx.Done():
			// ctx has ended, so the last request needs a timeout of its own.
			unregisterCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), heartbeatInterval)
			defer cancel()
			if err := r.client.unregister(unregisterCtx, r.id); err != nil {
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
	err := r.client.register(ctx, r.instance(state))
	if failed := err != nil; failed != r.failing && ctx.Err() != context.Canceled {
		r.failing = failed
		if failed {
			r.log.Info("registration failed", "event", eventRegister, "reason", err.Error())
		} else {
			r.log.Info("registered", "event", eventRegister, "state", state)
		}
	}
}
