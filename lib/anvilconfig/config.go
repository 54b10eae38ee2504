// Package anvilconfig holds the versioned configuration: contracts, keys and leave marks.
package anvilconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"anvilhold.org/lib/anvilsize"
)

// Contract is one team's contract.
type Contract struct {
	team        string
	limit       anvilsize.Size
	weight      int64
	rate        int64
	maxInFlight int64
	pools       []string
}

// ContractOption sets an optional part of a Contract.
type ContractOption func(*Contract)

// WithLimit sets the upper limit of what the team has running across the fleet.
func WithLimit(s anvilsize.Size) ContractOption { return func(c *Contract) { c.limit = s } }

// WithWeight sets the weight of the team's share; the default is 1.
func WithWeight(n int64) ContractOption { return func(c *Contract) { c.weight = max(n, 1) } }

// WithRate sets the requests a second that each entry instance admits; 0 means no limit.
func WithRate(n int64) ContractOption { return func(c *Contract) { c.rate = n } }

// WithMaxInFlight sets the requests in flight that each entry instance admits; 0 means no limit.
func WithMaxInFlight(n int64) ContractOption { return func(c *Contract) { c.maxInFlight = n } }

// WithPools sets the pools that the team may use; none means all.
func WithPools(pools ...string) ContractOption { return func(c *Contract) { c.pools = pools } }

// NewContract returns a contract.
func NewContract(team string, opts ...ContractOption) Contract {
	c := Contract{team: team, weight: 1}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Team returns the team.
func (c Contract) Team() string { return c.team }

// Limit returns the upper limit.
func (c Contract) Limit() anvilsize.Size { return c.limit }

// Weight returns the weight of the team's share.
func (c Contract) Weight() int64 { return c.weight }

// Rate returns the admitted requests a second; 0 means no limit.
func (c Contract) Rate() int64 { return c.rate }

// MaxInFlight returns the admitted requests in flight; 0 means no limit.
func (c Contract) MaxInFlight() int64 { return c.maxInFlight }

// Pools returns the pools that the team may use; none means all.
func (c Contract) Pools() []string { return slices.Clone(c.pools) }

// Allows reports whether the team may use a pool.
func (c Contract) Allows(pool string) bool {
	return len(c.pools) == 0 || slices.Contains(c.pools, pool)
}

// Role is what a key gives access to.
type Role string

// The roles.
const (
	TeamRole     Role = "team"
	OperatorRole Role = "operator"
)

// Key is a key as it is stored: by its hash.
type Key struct {
	hash  string
	team  string
	role  Role
	label string
}

// NewKey returns a stored key.
func NewKey(hash, team string, role Role, label string) Key {
	return Key{hash: hash, team: team, role: role, label: label}
}

// Hash returns the hash.
func (k Key) Hash() string { return k.hash }

// Team returns the team; empty for an operator's key.
func (k Key) Team() string { return k.team }

// Role returns the role.
func (k Key) Role() Role { return k.role }

// Label returns the operator's note on the key.
func (k Key) Label() string { return k.label }

// HashKey returns the stored form of a secret. Secrets are random and long, so a plain digest is
// enough.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
