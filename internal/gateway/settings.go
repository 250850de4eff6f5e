// Package gateway assembles primrose-gateway. One process on each VM accepts callers' requests, executes them on backend
// servers, and answers callers that ask which VMs to use.
//
// While the store is unavailable, the last known configuration and backend servers stay in force. A VM that has never
// received a configuration is not ready and refuses requests as not run.
package gateway

import (
	"reflect"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/logevent"
)

// Settings are the settings that the platform provides to a VM.
type Settings struct {
	VM     string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// CallerListen, ReadyListen, DirectoryListen and MetricsListen are the addresses of the listeners, as host:port.
	CallerListen    string
	ReadyListen     string
	DirectoryListen string
	MetricsListen   string
	// PeerListen is the address for datagrams and the transfer of store changes between VMs, as host:port.
	PeerListen   string
	StoreAddress string
	// IsFirstStart is set if the whole fleet starts for the first time.
	IsFirstStart bool
	// Cores is the number of processor cores, or the share of one, that the VM has.
	Cores float64
	// MemoryMB is the memory in MiB above which the platform ends the process, 0 if it does not.
	MemoryMB int64
	// LinkMbps is the rate of the VM's network link in Mbit/s.
	LinkMbps float64
	// Grace is the time between the order to stop and the forced end of the process.
	Grace time.Duration
	// MaxAnswerTTL is the longest time for which callers may cache the list of VMs to use.
	MaxAnswerTTL time.Duration
	// RetryRatio is the share of a service's requests in a RetryWindow that the fleet may retry. RetrySlack is the number
	// of retries that it may send in addition.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// RevocationBound is the time after which no VM may serve a key that was taken away, whether or not it can hear of that. It is
	// 0 if only VMs that hear of it are bound.
	RevocationBound time.Duration
	// The requests of an organisation in any QuotaWindow may exceed its allowance by the share QuotaOver and QuotaSlack requests.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
}

// LiveSettings holds the settings in force, which may be reloaded while the process runs. It is safe for concurrent use.
type LiveSettings struct{ current atomic.Pointer[Settings] }

// NewLiveSettings returns LiveSettings with s in force.
func NewLiveSettings(s *Settings) *LiveSettings {
	l := &LiveSettings{}
	l.current.Store(s)
	return l
}

// Get returns the settings in force.
func (l *LiveSettings) Get() *Settings { return l.current.Load() }

// fixedFields are the settings that a running process cannot change.
var fixedFields = []string{
	"VM", "Zone", "Region", "Regions", "CallerListen", "ReadyListen", "DirectoryListen", "MetricsListen", "PeerListen",
	"StoreAddress", "IsFirstStart", "Cores", "MemoryMB", "LinkMbps", "RetryRatio", "RetryWindow", "QuotaWindow", "QuotaOver", "QuotaSlack",
}

// Reload loads the settings again and puts them in force. If load fails, the previous ones stay in force. Fields that a
// running process cannot change keep their values until the next start; the log names them.
func (l *LiveSettings) Reload(load func() (*Settings, error), log zerolog.Logger) {
	next, err := load()
	if err != nil {
		logevent.ReloadFailed.Log(log).Err(err).Send()
		return
	}
	merged := *next
	from, to := reflect.ValueOf(l.Get()).Elem(), reflect.ValueOf(&merged).Elem()
	var kept []string
	for _, name := range fixedFields {
		if !reflect.DeepEqual(from.FieldByName(name).Interface(), to.FieldByName(name).Interface()) {
			kept = append(kept, name)
			to.FieldByName(name).Set(from.FieldByName(name))
		}
	}
	l.current.Store(&merged)
	logevent.Reloaded.Log(log).Strs("until_restart", kept).Send()
}

// Headers holds the names of the headers that are exchanged with callers and backend servers.
type Headers struct {
	// RequestID identifies one attempt of a caller.
	RequestID string
	// DeadlineMS is the number of milliseconds that the caller waits.
	DeadlineMS string
	// Signature is set by backend servers on complete answers.
	Signature string
	// ExpectedInstance identifies the only backend server that may run the request.
	ExpectedInstance string
	// NotExecuted is set by backend servers that have not run the request.
	NotExecuted string
	// Leaving is set to "1" by backend servers that are about to stop.
	Leaving string
	// Limit is the number of requests a second that a backend server takes from all VMs together.
	Limit string
	// Instance identifies the backend server that answers.
	Instance string
	// Organisation names the organisation of a request to backend servers.
	Organisation string
}

// Paths holds the URL paths that the gateway of a VM serves.
type Paths struct {
	// Ready answers 200 while the VM accepts callers.
	Ready string
	// Resolve answers callers that ask which VMs to use.
	Resolve string
}
