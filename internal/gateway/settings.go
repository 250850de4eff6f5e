// Package gateway puts the parts of primrose-gateway together. One process on each VM takes callers' requests, carries
// them out on backend servers, and tells callers which VMs to use.
//
// While the store is away, the last configuration and the last backend servers stay in force. A VM that has never read
// a configuration is not ready and refuses requests as not run.
package gateway

import (
	"reflect"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/logevent"
)

// Settings are what the platform tells a VM.
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
	// PeerListen is the address for datagrams between VMs.
	PeerListen   string
	StoreAddress string
	// IsFirstStart tells that the whole fleet starts for the first time.
	IsFirstStart bool
	// Cores is the VM's share of a processor core.
	Cores    float64
	LinkMbps float64
	// Grace is the time between the order to stop and the end of the process by force.
	Grace time.Duration
	// MaxAnswerTTL is the longest lifetime of an answer to callers that counts.
	MaxAnswerTTL time.Duration
	// RetryRatio is the part of a service's requests that the fleet may send once more in a RetryWindow, RetrySlack the
	// number above that.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// LiveSettings holds the settings in force. They may be loaded again while the process runs.
type LiveSettings struct{ current atomic.Pointer[Settings] }

// NewLiveSettings returns settings in force.
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
	"StoreAddress", "IsFirstStart",
}

// Reload puts settings in force that were loaded anew. With an error the ones before stay in force. Fields that a running
// process cannot change keep their values until its next start, and are named in the log.
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

// Headers names the headers that are exchanged with callers and backend servers.
type Headers struct {
	// RequestID names one attempt of a caller.
	RequestID string
	// DeadlineMS is how many milliseconds the caller waits.
	DeadlineMS string
	// Signature is set by backend servers on whole answers.
	Signature string
	// ExpectedInstance names the only backend server that may run the request.
	ExpectedInstance string
	// NotExecuted is set by backend servers that have not run the request.
	NotExecuted string
	// Instance names the backend server that answers.
	Instance string
}

// Paths are the paths of the calls that are made to a VM.
type Paths struct {
	// Ready answers 200 while the VM takes callers.
	Ready string
	// Resolve tells callers which VMs to use.
	Resolve string
}
