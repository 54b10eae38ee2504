// Package anvilcontrol is the control loop of an entry instance. One goroutine owns all control state, interprets the
// state charts in charts/, and sends requests to workers, the table and other entry instances through interfaces that
// the package declares. It has no knowledge of HTTP or gRPC.
package anvilcontrol
