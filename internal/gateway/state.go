package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/kv"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/membership"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/roster"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Codec decodes the entries that the operator and backend servers write to the store.
type Codec interface {
	// IsConfig reports whether the key holds the configuration.
	IsConfig(key string) bool
	// ServerID returns the id of the backend server whose entry the key holds.
	ServerID(key string) (id string, ok bool)
	// DecodeConfig decodes and checks the configuration.
	DecodeConfig(value []byte) (*route.Config, error)
	// DecodeServer decodes the entry of a backend server.
	DecodeServer(item kv.Item) (roster.Server, error)
	// IsNewer reports whether the owner of a key, the operator or a backend server, wrote the state a after the state b.
	IsNewer(a, b kv.Item) bool
}

// State holds the configuration and the backend servers in force on this VM. It applies the changes of the store to them,
// to the fleet and to the list of blocked requests.
type State struct {
	codec      Codec
	roster     *roster.Roster
	dispatcher *dispatch.Dispatcher
	fleet      *membership.Fleet
	blocks     *blocklist.List
	self       membership.Member
	// onSelfRemoved is called when the store has removed the registration of this VM before a planned stop.
	onSelfRemoved func()
	log           zerolog.Logger

	started time.Time
	table   atomic.Pointer[route.Table]
	// configAdopted is closed when the first configuration comes into force.
	configAdopted chan struct{}
	// isLeaving is set when a planned stop begins.
	isLeaving atomic.Bool

	// isEnding is set when a planned stop begins to refuse further requests: the process could end before they are answered.
	isEnding atomic.Bool

	// mu serializes changes.
	mu sync.Mutex
}

// NewState returns a State without a configuration. onSelfRemoved is called when the store has removed the registration of
// this VM before a planned stop.
func NewState(
	codec Codec, d *dispatch.Dispatcher, f *membership.Fleet, b *blocklist.List, self membership.Member, onSelfRemoved func(),
	log zerolog.Logger,
) *State {
	return &State{
		codec: codec, roster: roster.New(), dispatcher: d, fleet: f, blocks: b, self: self, onSelfRemoved: onSelfRemoved,
		started: time.Now(), configAdopted: make(chan struct{}), log: log,
	}
}

// Table returns the routes in force, or nil before the first configuration.
func (s *State) Table() *route.Table { return s.table.Load() }

// limitsOrganisations reports whether the configuration in force limits any organisation.
func (s *State) limitsOrganisations() bool {
	table := s.Table()
	return table != nil && table.Config.Organisations != nil && table.Config.Organisations.IsAnyLimited()
}

// startupTime is the time after its start within which a VM normally receives its first configuration. On links of
// 10 Mbit/s the copies spread over a zone of 28 VMs within 0.5 s.
const startupTime = time.Second

// AwaitTable returns the routes in force. Within startupTime of the VM's start it waits for the first ones. Later it
// returns nil at once if there are none, since the VM cannot know whether they will come.
func (s *State) AwaitTable(ctx context.Context) *route.Table {
	if table := s.Table(); table != nil {
		return table
	}
	if left := time.Until(s.started.Add(startupTime)); left > 0 {
		periodic.Await(ctx, s.configAdopted, left)
	}
	return s.Table()
}

// IsReady reports whether the VM accepts callers.
func (s *State) IsReady() bool { return s.Table() != nil && !s.isLeaving.Load() }

// IsEnding reports whether a planned stop refuses further requests.
func (s *State) IsEnding() bool { return s.isEnding.Load() }

// IsLeaving reports whether a planned stop has begun.
func (s *State) IsLeaving() bool { return s.isLeaving.Load() }

// Apply applies changes of the store.
func (s *State) Apply(changes []kv.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	affectsDispatch := false
	for _, item := range changes {
		if s.codec.IsConfig(item.Key) {
			s.adoptConfig(item)
			affectsDispatch = true
		} else if id, ok := s.codec.ServerID(item.Key); ok {
			s.adoptServer(id, item)
			affectsDispatch = true
		} else if name, ok := membership.VMName(item.Key); ok {
			s.adoptMember(name, item)
		} else if f, ok := blocklist.Fingerprint(item.Key); ok {
			s.blocks.Apply(f, item)
		}
	}
	if affectsDispatch {
		s.updateDispatcher()
	}
}

// updateDispatcher passes the changed services and the configuration in force to the dispatcher.
func (s *State) updateDispatcher() {
	var config *route.Config
	if table := s.Table(); table != nil {
		config = table.Config
	}
	s.dispatcher.UpdateChanged(s.roster.TakeChanged(), config)
}

// adoptConfig puts a configuration in force unless it is invalid or its version is not newer than that in force. A deleted
// configuration stays in force.
func (s *State) adoptConfig(item kv.Item) {
	if item.Deleted {
		return
	}
	config, err := s.codec.DecodeConfig(item.Value)
	if err != nil {
		logevent.ConfigRefused.Log(s.log).Uint64("store_revision", item.Revision).Err(err).Send()
		return
	}
	old := s.Table()
	if old != nil && config.Version <= old.Config.Version {
		return
	}
	s.table.Store(route.NewTable(config, old))
	if old == nil {
		close(s.configAdopted)
	}
	logevent.ConfigAdopted.Log(s.log).Uint64("version", config.Version).Uint64("store_revision", item.Revision).
		Int("routes", len(config.Routes)).Send()
}

// adoptServer adds, replaces or removes a backend server. One whose entry cannot be decoded is removed.
func (s *State) adoptServer(id string, item kv.Item) {
	if item.Deleted {
		s.roster.Remove(id)
		return
	}
	server, err := s.codec.DecodeServer(item)
	if err != nil {
		logevent.ServerEntryUnusable.Log(s.log).Uint64("store_revision", item.Revision).Err(err).Send()
		s.roster.Remove(id)
		return
	}
	s.roster.Put(server)
}

// adoptMember adds, replaces or removes the registration of a VM.
func (s *State) adoptMember(name string, item kv.Item) {
	if item.Deleted {
		s.fleet.Unregister(name)
		if name == s.self.Name && !s.IsLeaving() {
			s.onSelfRemoved()
		}
		return
	}
	m, err := membership.DecodeRegistration(item.Value)
	if err != nil {
		logevent.RegistrationFailed.Log(s.log).Str("neighbour", name).Err(err).Send()
		return
	}
	s.fleet.Register(m)
}
