package settings

// Common holds what each process of an entry VM is told about its place and its listeners.
type Common struct {
	// VM is the name of this VM in the VM list.
	VM string `yaml:"vm"`
	// Region and Zone tell where this VM stands.
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// CallerListen is the address for callers.
	CallerListen string `yaml:"caller_listen"`
	// PeerListen is the address for processes of other VMs, and of this one.
	PeerListen string `yaml:"peer_listen"`
	// OperatorListen is the address for operators.
	OperatorListen string `yaml:"operator_listen"`
}

// Check adds the problems of the values. Other addresses that must differ from the listeners may be given.
func (p Common) Check(c *Checks, others ...NamedValue) {
	c.Required("vm", p.VM)
	c.Required("region", p.Region)
	c.Required("zone", p.Zone)
	addresses := append([]NamedValue{
		{Field: "caller_listen", Value: p.CallerListen},
		{Field: "peer_listen", Value: p.PeerListen},
		{Field: "operator_listen", Value: p.OperatorListen},
	}, others...)
	for _, a := range addresses {
		c.Address(a.Field, a.Value)
	}
	c.Distinct(addresses)
}
