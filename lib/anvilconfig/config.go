// Package anvilconfig holds the versioned configuration: contracts of teams, keys, and marks of instances
// that are to leave. It also decides whether the configuration that an instance knows is current.
package anvilconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"anvilhold.org/lib/anvilsize"
)

// Contract holds a team's limit, its weight in fair sharing, its admission limits and its pools.
type Contract struct {
	team        string
	limit       anvilsize.Size
	weight      int64
	rate        int64
	maxInFlight int64
	pools       []string
}

// ContractOption configures a Contract.
type ContractOption func(*Contract)

// WithLimit sets the upper limit of the resources that the team's running tasks use across the fleet.
func WithLimit(s anvilsize.Size) ContractOption { return func(c *Contract) { c.limit = s } }

// WithWeight sets the weight of the team's share; the default is 1, and less counts as 1.
func WithWeight(n int64) ContractOption { return func(c *Contract) { c.weight = max(n, 1) } }

// WithRate sets how many requests a second each entry instance admits; 0 means no limit.
func WithRate(n int64) ContractOption { return func(c *Contract) { c.rate = n } }

// WithMaxInFlight sets how many requests may be in flight at each entry instance; 0 means no limit.
func WithMaxInFlight(n int64) ContractOption { return func(c *Contract) { c.maxInFlight = n } }

// WithPools sets the pools that the team may use; none means all. It keeps the slice.
func WithPools(pools ...string) ContractOption { return func(c *Contract) { c.pools = pools } }

// NewContract returns a contract of a team. Without options its limit is zero, so the team can run
// nothing.
func NewContract(team string, opts ...ContractOption) Contract {
	c := Contract{team: team, weight: 1}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Team returns the name of the team that the contract is for.
func (c Contract) Team() string { return c.team }

// Limit returns the upper limit of the resources that the team's running tasks use across the fleet.
func (c Contract) Limit() anvilsize.Size { return c.limit }

// Weight returns the weight of the team's share, at least 1.
func (c Contract) Weight() int64 { return c.weight }

// Rate returns how many requests a second each entry instance admits; 0 means no limit.
func (c Contract) Rate() int64 { return c.rate }

// MaxInFlight returns how many requests may be in flight at each entry instance; 0 means no limit.
func (c Contract) MaxInFlight() int64 { return c.maxInFlight }

// Pools returns the pools that the team may use; none means all.
func (c Contract) Pools() []string { return slices.Clone(c.pools) }

// Allows reports whether the team may use a pool.
func (c Contract) Allows(pool string) bool {
	return len(c.pools) == 0 || slices.Contains(c.pools, pool)
}

// Role says what a key gives access to: the work of one team, or the operators' requests.
type Role string

// Roles of keys.
const (
	TeamRole     Role = "team"
	OperatorRole Role = "operator"
)

// Key is an API key as it is stored: the hash of its secret, never the secret.
type Key struct {
	hash  string
	team  string
	role  Role
	label string
}

// NewKey returns a key. hash is the result of HashKey; team is empty for an operator's key.
func NewKey(hash, team string, role Role, label string) Key {
	return Key{hash: hash, team: team, role: role, label: label}
}

// Hash returns the hash of the secret, as HashKey computes it.
func (k Key) Hash() string { return k.hash }

// Team returns the name of the team; empty for an operator's key.
func (k Key) Team() string { return k.team }

// Role returns what the key gives access to.
func (k Key) Role() Role { return k.role }

// Label returns the operator's note on the key.
func (k Key) Label() string { return k.label }

// HashKey returns the stored form of a secret: its SHA-256 digest in hexadecimal. Secrets are random and
// long, so no salt and no slow hash are needed.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
