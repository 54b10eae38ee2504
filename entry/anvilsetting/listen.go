package anvilsetting

import "net/netip"

// Listen holds the addresses of the listeners as ip:port.
type Listen struct {
	front string
	peer  string
}

// Front returns the address of the HTTP listener for callers and operators.
func (l *Listen) Front() string { return l.front }

// Peer returns the address of the gRPC listener, at which other entry instances reach this one.
func (l *Listen) Peer() string { return l.peer }

func (l *Listen) section() section {
	return section{name: "listen", doc: "Addresses of the listeners.", keys: []key{
		required("front", address(&l.front, "127.0.0.1:7070", func(netip.AddrPort) bool { return true },
			"ip:port with a port from 1 to 65535"), "Listener for callers and operators (HTTP)."),
		required("peer", address(&l.peer, "127.0.0.1:7071",
			func(a netip.AddrPort) bool { return !a.Addr().IsUnspecified() },
			"ip:port with a port from 1 to 65535 and an address that others can reach, so not 0.0.0.0 or [::]"),
			"Listener for other entry instances (gRPC), which connect to this address."),
	}}
}
