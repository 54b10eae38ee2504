// Package anvilcrowd tests how the programs bear clients that hold connections, send more than they may or don't read their
// answers. The tests start the programs on loopback addresses, one system at a time, when ANVIL_CROWD is set.
package anvilcrowd
