// Package health judges the backend servers of one service from real work and keeps the service above its floor.
//
// Each entry VM keeps a score of each backend server from its own requests and shares it with the other VMs of the
// service's group. A backend server leaves service everywhere when two VMs, in two availability zones where the group
// has two, hold it sick; it leaves service on one VM alone when that VM has strong evidence. An ejection is a lease:
// when it lapses, trial requests decide. Without evidence, and without peers, every backend server stays in service.
//
// Scores have no unit; 1 takes a backend server out. All functions may be called from several goroutines.
package health

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// Board holds the standing of the backend servers of one service as seen from this VM.
type Board struct {
	self  Observer
	epoch uint64
	hooks Hooks
	view  atomic.Pointer[View]

	mu         sync.Mutex
	settings   Settings
	servers    []*server
	byName     map[string]*server
	references map[string]*reference
	// observerZones is how many availability zones the service's group has.
	observerZones int
	sequence      uint64
	// weakShares bounds the opinions with low scores.
	weakShares rateLimit
	// suspicion is set while any backend server has a score or is not in service.
	suspicion bool
	// distrusted holds the VMs whose own path looks sick.
	distrusted map[string]bool
	// isStale is set while the view does not show the last judgement.
	isStale       bool
	lastTick      time.Time
	mostOut       int
	mostAbsences  int
	floorBreaches int
	// verify holds the backend servers for which finish calls Hooks.Verify.
	verify []string
	// moved holds what finish passes to Hooks.Moved.
	moved []Explanation
}

// Hooks are called without the board's lock. Each may be nil.
type Hooks struct {
	// Share passes an opinion to the other VMs of the group.
	Share func(Opinion)
	// Verify opens a connection to a backend server and reports the result with Board.RecordVerification.
	Verify func(backend string)
	// Transitioned is called after a backend server left service or came back, with the reasons.
	Transitioned func(Explanation)
	// UsableChanged is called after the set of usable backend servers changed.
	UsableChanged func()
}

// server is one backend server. It is guarded by the board's lock.
type server struct {
	name, region string
	draining     bool
	// scores has one element for each observer. The own one stands first.
	scores []*score
	// flights are the attempts that have not ended.
	flights []*Attempt
	// isSuspect is set while it is in service and a request more would help to judge it.
	isSuspect bool
	// verdict is what the last judgement made of the scores.
	verdict verdict
	// suspectSince is when the first score against it came. Requests begun later may speak for it.
	suspectSince time.Time
	lastVerify   time.Time
	// lastWork is when the last attempt began here, or the last opinion of a peer came.
	lastWork time.Time
	rate     failureRate

	standing State
	scope    Scope
	kind     Kind
	badness  float64
	since    time.Time
	until    time.Time
	returned time.Time
	// level counts the absences that followed soon on a return.
	level int
	// failedTrials counts the trials that failed since the last return.
	failedTrials int

	trialFlights   int
	trialSuccesses int
	lastTrial      time.Time

	sent   Opinion
	sentAt time.Time
}

// NewBoard returns a board without backend servers for the VM self.
func NewBoard(self Observer, s Settings, hooks Hooks) *Board {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Jitter == nil {
		s.Jitter = Jitter
	}
	b := &Board{
		self: self, settings: s, hooks: hooks, epoch: uint64(s.Now().UnixMicro()), observerZones: 1,
		byName: map[string]*server{}, references: map[string]*reference{},
	}
	b.view.Store(&View{})
	return b
}

// SetSettings adopts new settings. A higher floor brings back the least bad at once.
func (b *Board) SetSettings(s Settings) {
	b.mu.Lock()
	s.Now, s.Jitter = b.settings.Now, b.settings.Jitter
	b.settings = s
	b.finish(b.judge(s.Now()))
}

// SetBackends tells the board which backend servers are live, and how many availability zones the VMs of the
// service's group stand in. The floor counts from this list.
func (b *Board) SetBackends(live []fleet.VM, observerZones int) {
	b.mu.Lock()
	b.observerZones = max(1, observerZones)
	known := b.byName
	b.byName = make(map[string]*server, len(live))
	b.servers = b.servers[:0:0]
	for _, vm := range live {
		s := known[vm.Name]
		if s == nil {
			s = &server{name: vm.Name}
			b.clearScores(s, b.settings.Now())
		}
		s.region = vm.Region
		b.byName[vm.Name] = s
		b.servers = append(b.servers, s)
		if b.references[vm.Region] == nil {
			b.references[vm.Region] = &reference{}
		}
	}
	b.finish(b.judge(b.settings.Now()))
}

// SetDraining marks a backend server that said it takes no new work, and tells the group.
func (b *Board) SetDraining(name string) {
	b.mu.Lock()
	s := b.byName[name]
	if s == nil || s.draining {
		b.mu.Unlock()
		return
	}
	s.draining = true
	now := b.settings.Now()
	b.finish(append(b.judge(now), b.opinionOf(s, now)))
}

// EndDraining puts a backend server that drained, was gone and is back into service again, and tells the group.
func (b *Board) EndDraining(name string) {
	b.mu.Lock()
	s := b.byName[name]
	if s == nil || !s.draining {
		b.mu.Unlock()
		return
	}
	s.draining = false
	now := b.settings.Now()
	s.returned = now
	b.finish(append(b.judge(now), b.opinionOf(s, now)))
}

// Attempt is one attempt on a backend server.
type Attempt struct {
	board  *Board
	server *server
	begin  time.Time
	trial  bool
	// stalled is how long this VM itself stood still while the attempt ran.
	stalled time.Duration
	// overdue is the score for slowness that the attempt has added before its end.
	overdue float64
	ended   bool
}

// Begin notes that an attempt on the backend server begins. End must be called once.
func (b *Board) Begin(name string) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &Attempt{board: b, begin: b.settings.Now()}
	s := b.byName[name]
	if s == nil {
		return f
	}
	f.server = s
	f.trial = s.standing == StateTrial
	if f.trial {
		s.trialFlights++
	}
	s.flights = append(s.flights, f)
	s.lastWork = f.begin
	return f
}

// IsTrial reports whether the attempt decides over the return of a backend server that is out of service.
func (f *Attempt) IsTrial() bool { return f.trial }

// TrialTimeout returns how long a trial request on the backend server may take. The caller's time is not spent on a
// backend server that may still be hanging.
func (b *Board) TrialTimeout(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		return maxTrialTime
	}
	return b.references[s.region].trialTimeout()
}

// End notes how the attempt ended.
func (f *Attempt) End(result Result) {
	b := f.board
	b.mu.Lock()
	if f.server == nil || f.ended {
		b.mu.Unlock()
		return
	}
	f.ended = true
	now := b.settings.Now()
	f.server.removeFlight(f)
	opinions := b.record(f, result, now)
	b.finish(opinions)
}

// finish unlocks the board and then passes on what the judgement led to.
func (b *Board) finish(opinions []Opinion) {
	changed := b.isStale && b.publish()
	b.isStale = false
	verify, moved := b.verify, b.moved
	b.verify, b.moved = nil, nil
	b.mu.Unlock()
	if b.hooks.Transitioned != nil {
		for _, e := range moved {
			b.hooks.Transitioned(e)
		}
	}
	for _, name := range verify {
		b.hooks.Verify(name)
	}
	if b.hooks.Share != nil {
		for _, o := range opinions {
			b.hooks.Share(o)
		}
	}
	if changed && b.hooks.UsableChanged != nil {
		b.hooks.UsableChanged()
	}
}

// Tick judges requests that are overdue, ends leases and refreshes shared opinions. It is called every TickInterval.
func (b *Board) Tick() {
	b.mu.Lock()
	now := b.settings.Now()
	b.discountStall(now)
	for _, s := range b.servers {
		b.judgeOverdue(s, now)
	}
	if !b.suspicion && !b.anyScore() {
		b.mu.Unlock()
		return
	}
	b.finish(append(b.judge(now), b.refresh(now)...))
}

// TickInterval is the time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

// ClaimTrial allows one request on a backend server that View.Trials names. It reports false where another one was
// allowed shortly before.
func (b *Board) ClaimTrial(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	now := b.settings.Now()
	if s == nil || !b.isTrialDue(s, now) {
		return false
	}
	s.lastTrial = now
	return true
}

func (b *Board) isTrialDue(s *server, now time.Time) bool {
	if s.standing == StateTrial {
		return s.trialFlights == 0 && now.Sub(s.lastTrial) >= b.settings.TrialInterval
	}
	return now.Sub(s.lastTrial) >= b.settings.ConfirmInterval
}

func (s *server) removeFlight(f *Attempt) {
	last := len(s.flights) - 1
	at := slices.Index(s.flights, f)
	s.flights[at] = s.flights[last]
	s.flights[last] = nil
	s.flights = s.flights[:last]
}

// Jitter spreads an interval so that VMs do not act in step.
func Jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
