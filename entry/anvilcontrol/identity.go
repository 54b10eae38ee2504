package anvilcontrol

// Identity holds the id, the address and the location of an entry instance. A restarted process is a new instance with
// a new id.
type Identity struct {
	instance string
	addr     string
	domain   string
	region   string
}

// NewIdentity returns an identity; addr is the ip:port at which the instance serves the peer protocol.
func NewIdentity(instance, addr, domain, region string) Identity {
	return Identity{instance: instance, addr: addr, domain: domain, region: region}
}

// Instance returns the instance's id.
func (i Identity) Instance() string { return i.instance }

// Addr returns the ip:port at which the instance serves the peer protocol.
func (i Identity) Addr() string { return i.addr }

// Domain returns the failure domain in which the instance runs.
func (i Identity) Domain() string { return i.domain }

// Region returns the region in which the instance runs.
func (i Identity) Region() string { return i.region }
