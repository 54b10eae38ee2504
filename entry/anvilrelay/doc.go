// Package anvilrelay reads the operator's configuration through other instances, so that a change crosses a link between two regions
// once, and gives it to others. It decides whom to ask and what counts as confirmed; messages and the store are the callers'.
package anvilrelay
