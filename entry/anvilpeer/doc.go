// Package anvilpeer is the protocol between entry instances over gRPC: a client that implements anvilcontrol.Peers,
// and a server.
package anvilpeer
