// Package trial simulates ejection policies in virtual time against backend servers with scripted faults. It reports for
// how long an unhealthy backend server received requests and for how long healthy ones were ejected. It uses no network
// and no goroutines, so a seed gives the same result on each run.
package trial

import "time"

// Policy is the name of an ejection policy.
type Policy string

// The policies.
const (
	// PolicyNone never ejects a backend server.
	PolicyNone Policy = "none"
	// PolicyConsecutive ejects after five consecutive failures, independently on each VM.
	PolicyConsecutive Policy = "consecutive"
	// PolicySuccessRate ejects a backend server whose success rate is far below the mean of all, independently on each VM.
	PolicySuccessRate Policy = "success-rate"
	// PolicyQuick and PolicyCareful are the two detection policies of package health.
	PolicyQuick   Policy = "quick"
	PolicyCareful Policy = "careful"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyNone, PolicyConsecutive, PolicySuccessRate, PolicyQuick, PolicyCareful}
}

// Fault is the name of a fault of the unhealthy backend servers, of the whole service or of network paths.
type Fault string

// The faults.
const (
	FaultNone Fault = "none"
	// FaultRefuse refuses connections.
	FaultRefuse Fault = "refuse"
	// FaultErrors answers all requests with a 5xx status.
	FaultErrors Fault = "errors"
	// FaultSomeErrors answers a third of the requests with a 5xx status.
	FaultSomeErrors Fault = "some-errors"
	// FaultTruncated truncates every answer.
	FaultTruncated Fault = "truncated"
	// FaultHang never answers.
	FaultHang Fault = "hang"
	// FaultSlow3 and FaultSlow10 multiply the service time.
	FaultSlow3  Fault = "slow-x3"
	FaultSlow10 Fault = "slow-x10"
	// FaultFlap2 and FaultFlap20 switch FaultErrors on and off with a period of 2 s and 20 s.
	FaultFlap2  Fault = "flap-2s"
	FaultFlap20 Fault = "flap-20s"
	// FaultOwnPath cuts the first VM off from all backend servers.
	FaultOwnPath Fault = "own-path"
	// FaultOneWayZone cuts the VMs of the first availability zone off from the backend servers of the second.
	FaultOneWayZone Fault = "one-way-zone"
	// FaultAllSlow makes the whole service five times slower.
	FaultAllSlow Fault = "all-slow"
	// FaultAllErrors makes the whole service fail a third of its requests.
	FaultAllErrors Fault = "all-errors"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultRefuse, FaultErrors, FaultSomeErrors, FaultTruncated, FaultHang, FaultSlow3, FaultSlow10,
		FaultFlap2, FaultFlap20, FaultOwnPath, FaultOneWayZone, FaultAllSlow, FaultAllErrors,
	}
}

// Config describes one run.
type Config struct {
	Policy Policy
	Fault  Fault
	Seed   uint64
	// Sensitivity above 1 makes the policy eject sooner, below 1 later. 0 means 1.
	Sensitivity float64
	// Entries is the number of VMs of the group, alternating between two availability zones.
	Entries int
	// Servers is the number of backend servers, alternating between two availability zones. The first
	// UnhealthyServers of them have the fault.
	Servers          int
	UnhealthyServers int
	// Slots is how many requests a backend server runs at a time. It sheds further ones.
	Slots int
	// Rate is the number of requests per second.
	Rate float64
	// IdempotentShare is the share of requests that can serve as trials and be retried.
	IdempotentShare float64
	// ServiceTime is the median of the lognormal service time, Spread the standard deviation of its logarithm.
	ServiceTime time.Duration
	Spread      float64
	// ErrorShare is the share of requests that fail without a fault.
	ErrorShare float64
	// Timeout is how long a caller waits.
	Timeout time.Duration
	// Onset is when the fault begins, FaultTime how long it lasts, Duration when new requests cease.
	Onset, FaultTime, Duration time.Duration
	FloorPercent               int
	// MinDelay and MaxDelay bound the transmission time of an opinion to another VM.
	MinDelay, MaxDelay time.Duration
}

// Default returns a configuration like the deposits service of the site Kalgoorie in one region: 18 backend servers and
// 50 requests/s.
func Default() Config {
	return Config{
		Policy: PolicyQuick, Fault: FaultErrors, Seed: 1, Entries: 6, Servers: 18, UnhealthyServers: 1, Slots: 3, Rate: 50,
		IdempotentShare: 0.5, ServiceTime: 40 * time.Millisecond, Spread: 0.5, Timeout: 3 * time.Second,
		Onset: 30 * time.Second, FaultTime: 60 * time.Second, Duration: 150 * time.Second, FloorPercent: 60,
		MinDelay: time.Millisecond, MaxDelay: 12 * time.Millisecond,
	}
}

// Result holds the measurements of a run.
type Result struct {
	Policy Policy `json:"policy"`
	Fault  Fault  `json:"fault"`
	Seed   uint64 `json:"seed"`
	// DetectionMS is the time from the onset to the last request that was dispatched to an unhealthy backend server before
	// all VMs had ejected it for the first time. It is -1 if that did not happen.
	DetectionMS float64 `json:"detection_ms"`
	// LastWorkMS is the time from the onset to the last request, other than a trial, to an unhealthy backend server
	// during the fault. It is -1 if there was none.
	LastWorkMS float64 `json:"last_work_ms"`
	// UnhealthyWork counts the requests other than trials to unhealthy backend servers during the fault, UnhealthyTrials
	// the trials.
	UnhealthyWork   int `json:"sick_work"`
	UnhealthyTrials int `json:"sick_trials"`
	// FalseOutSeconds is the time for which healthy backend servers were ejected, summed over the backend servers and
	// averaged over the VMs.
	FalseOutSeconds float64 `json:"false_out_seconds"`
	// AvoidedSeconds is the same for healthy backend servers that the VM could not reach.
	AvoidedSeconds float64 `json:"avoided_seconds"`
	// FalseEjections counts the ejections of healthy backend servers.
	FalseEjections int `json:"false_ejections"`
	// ReturnMS is the time from the end of the fault until no VM had any backend server ejected. It is -1 if that did not
	// happen.
	ReturnMS float64 `json:"return_ms"`
	// Requests is the sum of Done, Failed and Refused.
	Requests int `json:"requests"`
	Done     int `json:"done"`
	Failed   int `json:"failed"`
	Refused  int `json:"refused"`
	// Opinions counts the messages of all VMs, each to one peer.
	Opinions int `json:"opinions"`
	// MaxOpinionsPerSecond is the largest number of opinions that one VM sent in a second.
	MaxOpinionsPerSecond int `json:"max_opinions_per_second"`
	// FloorBroken counts the ticks at which a VM had more backend servers ejected than the floor allows. It must be 0.
	FloorBroken int `json:"floor_broken"`
}
