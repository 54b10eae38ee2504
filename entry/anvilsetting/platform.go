package anvilsetting

import "net/netip"

// Platform holds the addresses of the platform's services.
type Platform struct {
	table string
}

// Table returns the ip:port of the table service, which also has the registry of instances.
func (p *Platform) Table() string { return p.table }

func (p *Platform) section() section {
	return section{name: "platform", doc: "Services of the platform.", keys: []key{
		required("table", address(&p.table, "127.0.0.1:7090",
			func(a netip.AddrPort) bool { return !a.Addr().IsUnspecified() },
			"ip:port with a port from 1 to 65535"), "Table service and registry of instances (HTTP)."),
	}}
}
