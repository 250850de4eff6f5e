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
	// weakOpinions bounds the opinions with low scores.
	weakOpinions tokenBucket
	// needsReassessment is set while any backend server has a score or is not in service.
	needsReassessment bool
	// distrusted holds the VMs whose own path looks sick.
	distrusted map[string]bool
	// isViewStale is set while the view does not show the last judgement.
	isViewStale   bool
	lastTick      time.Time
	mostOut       int
	mostEjections int
	floorBreaches int
	// pendingVerifications holds the backend servers for which finish calls Hooks.Verify.
	pendingVerifications []string
	// pendingTransitions holds what finish passes to Hooks.Moved.
	pendingTransitions []Explanation
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
	// evidence has one element for each observer. The own one stands first.
	evidence []*evidence
	// attempts are the attempts that have not ended.
	attempts []*Attempt
	// wantsConfirmation is set while it is in service and a request more would help to judge it.
	wantsConfirmation bool
	// assessment is what the last judgement made of the scores.
	assessment assessment
	// suspectSince is when the first score against it came. Requests begun later may speak for it.
	suspectSince time.Time
	lastVerify   time.Time
	// lastWork is when the last attempt began here, or the last opinion of a peer came.
	lastWork time.Time
	rate     failureRate

	state      State
	scope      Scope
	kind       Kind
	severity   float64
	stateSince time.Time
	leaseEnd   time.Time
	returnedAt time.Time
	// repeatLevel counts the absences that followed soon on a return.
	repeatLevel int
	// failedTrials counts the trials that failed since the last return.
	failedTrials int

	trialAttempts  int
	trialSuccesses int
	lastTrial      time.Time

	sentOpinion Opinion
	sentAt      time.Time
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
	b.finish(b.reassess(s.Now()))
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
	b.finish(b.reassess(b.settings.Now()))
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
	b.finish(append(b.reassess(now), b.newOpinion(s, now)))
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
	s.returnedAt = now
	b.finish(append(b.reassess(now), b.newOpinion(s, now)))
}

// Attempt is one attempt on a backend server.
type Attempt struct {
	board   *Board
	server  *server
	begin   time.Time
	isTrial bool
	// stalled is how long this VM itself stood still while the attempt ran.
	stalled time.Duration
	// overdueScore is the score for slowness that the attempt has added before its end.
	overdueScore float64
	ended        bool
}

// Begin notes that an attempt on the backend server begins. End must be called once.
func (b *Board) Begin(name string) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Attempt{board: b, begin: b.settings.Now()}
	s := b.byName[name]
	if s == nil {
		return a
	}
	a.server = s
	a.isTrial = s.state == StateTrial
	if a.isTrial {
		s.trialAttempts++
	}
	s.attempts = append(s.attempts, a)
	s.lastWork = a.begin
	return a
}

// IsTrial reports whether the attempt decides over the return of a backend server that is out of service.
func (a *Attempt) IsTrial() bool { return a.isTrial }

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
func (a *Attempt) End(result Result) {
	b := a.board
	b.mu.Lock()
	if a.server == nil || a.ended {
		b.mu.Unlock()
		return
	}
	a.ended = true
	now := b.settings.Now()
	a.server.removeAttempt(a)
	opinions := b.record(a, result, now)
	b.finish(opinions)
}

// finish unlocks the board and then passes on what the judgement led to.
func (b *Board) finish(opinions []Opinion) {
	changed := b.isViewStale && b.publish()
	b.isViewStale = false
	verify, moved := b.pendingVerifications, b.pendingTransitions
	b.pendingVerifications, b.pendingTransitions = nil, nil
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
		b.scoreOverdue(s, now)
	}
	if !b.needsReassessment && !b.hasAttemptOnSuspect() {
		b.mu.Unlock()
		return
	}
	b.finish(append(b.reassess(now), b.refresh(now)...))
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
	if s.state == StateTrial {
		return s.trialAttempts == 0 && now.Sub(s.lastTrial) >= b.settings.TrialInterval
	}
	return now.Sub(s.lastTrial) >= b.settings.ConfirmInterval
}

func (s *server) removeAttempt(a *Attempt) {
	last := len(s.attempts) - 1
	at := slices.Index(s.attempts, a)
	s.attempts[at] = s.attempts[last]
	s.attempts[last] = nil
	s.attempts = s.attempts[:last]
}

// Jitter spreads an interval so that VMs do not act in step.
func Jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
