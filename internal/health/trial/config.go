// Package trial runs ejection policies under an explicit clock against backend servers with scripted faults, and
// reports how long a sick one kept receiving work and how long healthy ones were out. It talks to no peer and starts no
// goroutine; one seed gives the same result on each run.
package trial

import "time"

// Policy names an ejection policy.
type Policy string

// The policies.
const (
	// PolicyNone chooses uniformly and ejects nobody.
	PolicyNone Policy = "none"
	// PolicyConsecutive ejects on each VM alone after five failures in a row.
	PolicyConsecutive Policy = "consecutive"
	// PolicySuccessRate ejects on each VM alone by a success rate below the others'.
	PolicySuccessRate Policy = "success-rate"
	// PolicyQuick and PolicyCareful are the two settings of package health.
	PolicyQuick   Policy = "quick"
	PolicyCareful Policy = "careful"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyNone, PolicyConsecutive, PolicySuccessRate, PolicyQuick, PolicyCareful}
}

// Fault names what happens to the sick backend servers, or to the paths of VMs.
type Fault string

// The faults.
const (
	FaultNone Fault = "none"
	// FaultRefuse refuses connections.
	FaultRefuse Fault = "refuse"
	// FaultErrors answers all work with 5xx.
	FaultErrors Fault = "errors"
	// FaultSomeErrors answers a third of the work with 5xx.
	FaultSomeErrors Fault = "some-errors"
	// FaultTruncated breaks off each answer.
	FaultTruncated Fault = "truncated"
	// FaultHang never answers.
	FaultHang Fault = "hang"
	// FaultSlow3 and FaultSlow10 multiply the service time.
	FaultSlow3  Fault = "slow-x3"
	FaultSlow10 Fault = "slow-x10"
	// FaultFlap2 and FaultFlap20 turn FaultErrors on and off, with the period in seconds.
	FaultFlap2  Fault = "flap-2s"
	FaultFlap20 Fault = "flap-20s"
	// FaultOwnPath lets the first VM reach no backend server.
	FaultOwnPath Fault = "own-path"
	// FaultOneWayZone lets the VMs of the first availability zone not reach the backend servers of the second.
	FaultOneWayZone Fault = "one-way-zone"
	// FaultAllSlow makes the whole service five times slower.
	FaultAllSlow Fault = "all-slow"
	// FaultAllErrors makes the whole service fail a third of its work.
	FaultAllErrors Fault = "all-errors"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultRefuse, FaultErrors, FaultSomeErrors, FaultTruncated, FaultHang, FaultSlow3, FaultSlow10,
		FaultFlap2, FaultFlap20, FaultOwnPath, FaultOneWayZone, FaultAllSlow, FaultAllErrors,
	}
}

// Config is one run.
type Config struct {
	Policy Policy
	Fault  Fault
	Seed   uint64
	// Sensitivity makes the policy eject sooner above 1 and later below. 0 stands for 1.
	Sensitivity float64
	// Entries are the VMs of the group, in two availability zones in turn.
	Entries int
	// Servers are the backend servers, in two availability zones in turn. SickServers of them get the fault.
	Servers          int
	UnhealthyServers int
	// Slots is how many requests a backend server runs at a time. It sheds more.
	Slots int
	// Rate is the requests a second.
	Rate float64
	// IdempotentShare of the requests may serve as trials and be retried.
	IdempotentShare float64
	// ServiceTime is the median, Spread the standard deviation of its logarithm.
	ServiceTime time.Duration
	Spread      float64
	// ErrorShare of all work fails in any case.
	ErrorShare float64
	// Timeout is the time a caller waits.
	Timeout time.Duration
	// Onset is when the fault begins, FaultTime how long it lasts, Duration the end of the run.
	Onset, FaultTime, Duration time.Duration
	FloorPercent               int
	// MinDelay and MaxDelay bound the way of an opinion to another VM.
	MinDelay, MaxDelay time.Duration
}

// Default returns the deposits service of Kalgoorie in one region: 18 backend servers and 50 requests/s.
func Default() Config {
	return Config{
		Policy: PolicyQuick, Fault: FaultErrors, Seed: 1, Entries: 6, Servers: 18, UnhealthyServers: 1, Slots: 3, Rate: 50,
		IdempotentShare: 0.5, ServiceTime: 40 * time.Millisecond, Spread: 0.5, Timeout: 3 * time.Second,
		Onset: 30 * time.Second, FaultTime: 60 * time.Second, Duration: 150 * time.Second, FloorPercent: 60,
		MinDelay: time.Millisecond, MaxDelay: 12 * time.Millisecond,
	}
}

// Result is what came of a run.
type Result struct {
	Policy Policy `json:"policy"`
	Fault  Fault  `json:"fault"`
	Seed   uint64 `json:"seed"`
	// DetectionMS is the time from onset to the last request that was dispatched to a sick backend server before all
	// VMs had it out for the first time. It is -1 where that never came.
	DetectionMS float64 `json:"detection_ms"`
	// LastWorkMS is the time from onset to the last request, other than a trial, on a sick one during the fault.
	LastWorkMS float64 `json:"last_work_ms"`
	// UnhealthyWork and SickTrials count the requests on sick backend servers during the fault.
	UnhealthyWork   int `json:"sick_work"`
	UnhealthyTrials int `json:"sick_trials"`
	// FalseOutSeconds are backend-server-seconds of healthy ones out of service, as a mean over the VMs.
	FalseOutSeconds float64 `json:"false_out_seconds"`
	// AvoidedSeconds are the same for healthy ones that the VM could not reach.
	AvoidedSeconds float64 `json:"avoided_seconds"`
	// FalseEjections counts the times that a VM took out a healthy one.
	FalseEjections int `json:"false_ejections"`
	// ReturnMS is the time from the end of the fault until no VM had a sick one out. It is -1 where that never came.
	ReturnMS float64 `json:"return_ms"`
	// Requests end as Done, Failed or Refused.
	Requests int `json:"requests"`
	Done     int `json:"done"`
	Failed   int `json:"failed"`
	Refused  int `json:"refused"`
	// Opinions are messages to one peer, in all.
	Opinions int `json:"opinions"`
	// MaxOpinionsPerSecond is the most that one VM sent in a second.
	MaxOpinionsPerSecond int `json:"max_opinions_per_second"`
	// FloorBroken counts the moments at which a VM had more out than the floor allows. It must be 0.
	FloorBroken int `json:"floor_broken"`
}
