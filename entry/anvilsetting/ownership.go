package anvilsetting

import "anvilhold.org/lib/anvilclock"

// Ownership holds the settings of shards and leases. They must be the same on all entry instances.
type Ownership struct {
	shards int64
	lease  int64
	margin int64
}

// Shards returns the number of shards that each pool has in a failure domain.
func (o *Ownership) Shards() int { return int(o.shards) }

// Lease returns the time after which a worker stops its tasks if its lease is not renewed.
func (o *Ownership) Lease() anvilclock.Millis { return anvilclock.Millis(o.lease) }

// Margin returns the allowance for clock drift and late processing that owners add to a lease.
func (o *Ownership) Margin() anvilclock.Millis { return anvilclock.Millis(o.margin) }

func (o *Ownership) section() section {
	return section{
		name: "ownership", doc: "Shards of workers and leases. These must be the same on all entry instances.",
		keys: []key{
			optional("shards", intValue{&o.shards, "shards", 2, 1, 64}, "Number of shards that each pool has in a failure domain."),
			optional("lease", intValue{&o.lease, "ms", 8000, 2000, 60000}, "Time after which a worker whose lease is not renewed stops its tasks."),
			optional("margin", intValue{&o.margin, "ms", 2000, 100, 30000}, "Allowance for clock drift and late processing on top of a lease."),
		},
	}
}
