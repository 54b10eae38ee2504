package anvilshare

import (
	"maps"
	"math"
	"slices"

	"anvilhold.org/lib/anvilsize"
)

// claim is the state of one team while Ideal raises the shares.
type claim struct {
	team     string
	demand   anvilsize.Size
	maxShare float64 // dominant share of the whole demand, at which the share stops
	weight   float64
	share    float64
	done     bool
}

// rate returns the fraction of dimension d that the claim uses per unit of dominant share.
func (c *claim) rate(d anvilsize.Dimension, total anvilsize.Size) float64 {
	return float64(c.demand.In(d)) / float64(total.In(d)) / c.maxShare
}

// Ideal returns the dominant share, in parts per million, that each team would have under weighted max-min
// fairness if tasks were divisible, given the total demand of each team. All shares grow in proportion to the
// weights until a team has what it demands or a dimension that it needs is used up.
func (t *Tree) Ideal(demands map[string]anvilsize.Size) map[string]int64 {
	out := map[string]int64{}
	var claims []*claim
	for _, team := range slices.Sorted(maps.Keys(demands)) {
		out[team] = 0
		c := &claim{team: team, demand: demands[team], weight: float64(t.weight(team))}
		if c.maxShare = dominant(c.demand, t.total); c.maxShare > 0 {
			claims = append(claims, c)
		}
	}
	// Each round stops the growth of at least one claim.
	for range claims {
		t.raiseShares(claims)
	}
	for _, c := range claims {
		out[c.team] = int64(math.Round(c.share * ppm))
	}
	return out
}

// raiseShares raises the shares of all growing claims until the first of them has to stop.
func (t *Tree) raiseShares(claims []*claim) {
	step, full := math.Inf(1), anvilsize.Dimension(-1)
	for _, d := range anvilsize.Dimensions() {
		if t.total.In(d) <= 0 {
			continue
		}
		left, growth := 1.0, 0.0
		for _, c := range claims {
			left -= c.share * c.rate(d, t.total)
			if !c.done {
				growth += c.weight * c.rate(d, t.total)
			}
		}
		if growth > 0 && max(left, 0)/growth < step {
			step, full = max(left, 0)/growth, d
		}
	}
	for _, c := range claims {
		if !c.done && (c.maxShare-c.share)/c.weight < step {
			step, full = (c.maxShare-c.share)/c.weight, -1
		}
	}
	for _, c := range claims {
		if c.done {
			continue
		}
		c.share += c.weight * step
		c.done = c.share >= c.maxShare*(1-1e-12) || full >= 0 && c.demand.In(full) > 0
	}
}
