// Package anvilslope measures the cost of controlling fleets of several sizes and fits straight lines to the values, from
// which docs/CAPACITY.md derives the cost at the target scale.
//
// A control loop runs against stubs of the table, the workers and its peers that answer at once, so that its processor
// time and memory are those of the control state alone. Messages are measured as the programs encode them, over loopback
// connections that count bytes.
package anvilslope
