package anviltable

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilwire"
)

const registerInterval = time.Second

// Register renews this instance's entry in the platform's registry each second until ctx ends. leaving is called each
// time, on the caller's goroutine. Failures are logged and retried.
func (t *Table) Register(ctx context.Context, self anvilcontrol.Identity, leaving func() bool, log logr.Logger) {
	tick := time.NewTicker(registerInterval)
	defer tick.Stop()
	failing := false
	for {
		err := t.register(ctx, self, leaving())
		// An outage lasts many intervals; only its beginning and its end are logged.
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			if failed {
				log.Error(err, "registration failed")
			} else {
				log.Info("registration restored")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (t *Table) register(ctx context.Context, self anvilcontrol.Identity, leaving bool) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.client.Post(ctx, t.base+"/v1/instances", anvilwire.Instances_builder{List: []*anvilwire.Instance{
		anvilwire.Instance_builder{
			Id: self.Instance(), Kind: "entry", Addr: self.Addr(), Domain: self.Domain(), Region: self.Region(),
			State: anvilcodec.State(leaving),
		}.Build(),
	}}.Build(), nil)
}
