// Package fleet describes the VMs of the platform according to its VM list. A View is the immutable content of one VM
// list, and a Delta is the difference between two.
package fleet

// Role is the kind of a VM: an entry VM or a backend server.
type Role string

// The roles of a VM.
const (
	RoleEntry         Role = "entry"
	RoleBackendServer Role = "backend"
)

// State indicates whether a VM may be sent new requests.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one virtual machine of the VM list.
type VM struct {
	Name   string `json:"name"`
	Role   Role   `json:"role"`
	State  State  `json:"state"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Service and Address are set for backend servers.
	Service string `json:"service,omitempty"`
	Address string `json:"address,omitempty"`
	// The addresses of the four listeners of an entry VM for callers and for other VMs.
	CallerAddress       string `json:"caller_address,omitempty"`
	EntryAddress        string `json:"entry_address,omitempty"`
	KeeperAddress       string `json:"keeper_address,omitempty"`
	KeeperCallerAddress string `json:"keeper_caller_address,omitempty"`
	// The addresses of an entry VM's listeners for operators, if the VM list has them.
	EntryOperatorAddress  string `json:"entry_operator_address,omitempty"`
	KeeperOperatorAddress string `json:"keeper_operator_address,omitempty"`
}

// IsLive reports whether the VM may be sent new requests.
func (v VM) IsLive() bool { return v.State == StateLive }
