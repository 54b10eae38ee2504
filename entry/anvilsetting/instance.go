package anvilsetting

// Instance identifies the entry instance and where it runs.
type Instance struct {
	name   string
	domain string
	region string
}

// Name returns the configured name. It need not be unique: the program appends a random suffix at each start.
func (i *Instance) Name() string { return i.name }

// Domain returns the failure domain that the instance runs in.
func (i *Instance) Domain() string { return i.domain }

// Region returns the region that the instance runs in.
func (i *Instance) Region() string { return i.region }

func (i *Instance) section() section {
	return section{name: "instance", doc: "Name and location of this entry instance.", keys: []key{
		optional("name", name(&i.name, "entry"), "Name of the instance; each start of the program adds a random suffix."),
		required("domain", name(&i.domain, "a"), "Failure domain that the instance runs in."),
		required("region", name(&i.region, "main"), "Region that the instance runs in."),
	}}
}
