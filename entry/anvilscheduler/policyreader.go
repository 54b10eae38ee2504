package anvilscheduler

import (
	"context"

	"anvilhold.org/entry/anvilrelay"
	"anvilhold.org/lib/anvilclock"
)

// WithPolicyPeers makes all instances but a few read the configuration from others. regions maps failure domains to their regions;
// domains that it lacks are one region. Without this option every instance reads the configuration from the store.
func WithPolicyPeers(peers anvilrelay.Peers, parser anvilrelay.Parser, regions map[string]string) Option {
	return func(l *Loop) {
		l.readerOptions, l.regions = append(l.readerOptions, anvilrelay.WithPeers(peers, parser)), regions
	}
}

// Policy returns what this instance knows of the configuration, for another one. It waits until there is something newer than the query
// names, and fails when the configuration was not confirmed recently. It is safe for concurrent use.
func (l *Loop) Policy(ctx context.Context, q anvilrelay.Query) (anvilrelay.Update, error) {
	return l.relay.Answer(ctx, q)
}

// policyFleet is what the reader of the configuration asks about this instance and the others.
type policyFleet struct {
	loop   *Loop
	limits evacuations
}

// Parents implements anvilrelay.Fleet. The leader reads from the store, so that it learns of a change no later than those that send it
// jobs.
func (f policyFleet) Parents() []string {
	members := f.loop.members.Load()
	if members == nil || f.loop.isLeader.Load() {
		return nil
	}
	return anvilrelay.Parents(f.loop.self, *members, f.loop.View().LeaderAddr(), f.loop.regions)
}

// Known implements anvilrelay.Fleet.
func (f policyFleet) Known() (rowVersion int64, document []byte) {
	v := f.loop.View()
	return v.policyRowVersion, v.document
}

// ReadLimits implements anvilrelay.Fleet.
func (f policyFleet) ReadLimits(after int64, age anvilclock.Millis) (wait, timeout anvilclock.Millis) {
	return f.limits.policyReadLimits(after, age)
}

// watchPolicy follows the configuration, through another instance or in the store. Every answer confirms the version in force, also one
// without a change.
func (l *Loop) watchPolicy(ctx context.Context) {
	l.followFeed(ctx, "configuration", 0, fixedInterval(policyFeedInterval), func(after int64) (int64, error) {
		page, since, err := l.policyReader.Read(ctx, after)
		if err != nil {
			return 0, err
		}
		l.post(policyRead{page: page, since: since, complete: true})
		return max(page.Version(), after), nil
	})
}
