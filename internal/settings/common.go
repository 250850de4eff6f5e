package settings

// Common holds the settings that the processes of an entry VM have in common: its name, its location and the
// addresses of the listeners.
type Common struct {
	// VM is this VM's name in the VM list.
	VM string `yaml:"vm"`
	// Region and Zone are the location of this VM.
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// CallerListen is the listen address for callers.
	CallerListen string `yaml:"caller_listen"`
	// PeerListen is the listen address for processes of other VMs and of this VM.
	PeerListen string `yaml:"peer_listen"`
	// OperatorListen is the listen address for operators.
	OperatorListen string `yaml:"operator_listen"`
}

// Check adds the problems of the values to c. others are further addresses that must be valid and differ from those of
// the listeners.
func (s Common) Check(c *Checks, others ...NamedValue) {
	c.Required("vm", s.VM)
	c.Required("region", s.Region)
	c.Required("zone", s.Zone)
	addresses := append([]NamedValue{
		{Field: "caller_listen", Value: s.CallerListen},
		{Field: "peer_listen", Value: s.PeerListen},
		{Field: "operator_listen", Value: s.OperatorListen},
	}, others...)
	for _, a := range addresses {
		c.Address(a.Field, a.Value)
	}
	c.Distinct(addresses)
}
