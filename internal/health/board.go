// Package health detects unhealthy backend servers of one service from the results of real requests and ejects them,
// but never so many that the service falls below its floor.
//
// Each entry VM scores each backend server by its own requests and shares the scores, as opinions, with the other VMs of
// the service's group. A backend server is ejected on every VM when two VMs, in two availability zones if the group spans
// two, consider it unhealthy. It is ejected on a single VM when that VM alone has strong evidence. An ejection is a
// lease: when it expires, trial requests decide whether the backend server returns. With neither evidence nor peers,
// every backend server stays in service.
//
// Scores have no unit; a score of 1 ejects a backend server. All functions are safe for concurrent use.
package health

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// Board holds the health of the backend servers of one service as seen from this VM.
type Board struct {
	self  Observer
	epoch uint64
	hooks Hooks
	view  atomic.Pointer[View]

	mu       sync.Mutex
	settings Settings
	servers  []*server
	byName   map[string]*server
	// references holds the usual latencies by region.
	references map[string]*reference
	// observerZones is how many availability zones the service's group spans.
	observerZones int
	sequence      uint64
	// weakOpinions limits the rate of opinions with low scores.
	weakOpinions tokenBucket
	// needsReassessment is set while any backend server has a score or is not in service. Tick has little to do otherwise.
	needsReassessment bool
	// distrusted holds the VMs whose network path to the service is considered unhealthy. Their evidence is ignored.
	distrusted map[string]bool
	// isViewStale is set while the view does not reflect the last assessment.
	isViewStale bool
	lastTick    time.Time
	// mostOut, mostEjections and floorBreaches are described at Report.
	mostOut       int
	mostEjections int
	floorBreaches int
	// pendingVerifications holds the names of the backend servers for which finish calls Hooks.Verify.
	pendingVerifications []string
	// pendingTransitions holds what finish passes to Hooks.Transitioned.
	pendingTransitions []Explanation
}

// Hooks are called after the board's lock is released. Each may be nil.
type Hooks struct {
	// ShareOpinion passes an opinion to the other VMs of the group.
	ShareOpinion func(Opinion)
	// Verify opens a connection to a backend server and reports the result to Board.RecordVerification.
	Verify func(backend string)
	// Transitioned is called after a backend server was ejected or returned to service, with the reasons.
	Transitioned func(Explanation)
	// ViewChanged is called after the view changed.
	ViewChanged func()
}

// server is the state of one backend server. It is guarded by the board's lock.
type server struct {
	name, region string
	draining     bool
	// evidence has one element for each observer. The element of this VM comes first.
	evidence []*evidence
	// attempts are the attempts in flight.
	attempts []*Attempt
	// wantsConfirmation is set while the backend server is in service but probably unhealthy, and extra requests would
	// help to decide.
	wantsConfirmation bool
	// assessment is the result of the last call of Board.reassess.
	assessment assessment
	// suspectSince is when the backend server became suspected: some observer's score reached negligibleScore. The time is
	// zero while the backend server is not suspected. Only successes of requests that began after this time can lower the
	// scores below 0.
	suspectSince time.Time
	lastVerify   time.Time
	// lastWork is when the last attempt began on this VM or the last opinion of a peer was received.
	lastWork time.Time
	rate     failureRate

	// state is the current state, which began at stateSince.
	state State
	// scope, kind and severity describe the current ejection. severity ranks it against those of other backend servers.
	scope      Scope
	kind       Kind
	severity   float64
	stateSince time.Time
	// leaseEnd is when the lease of the ejection expires.
	leaseEnd time.Time
	// returnedAt is when the backend server last returned to service.
	returnedAt time.Time
	// repeatLevel counts the ejections in a row that each followed a return within Settings.ResetTime.
	repeatLevel int
	// failedTrials counts the failed trials since the last return.
	failedTrials int

	// trialAttempts counts the trial requests in flight, trialSuccesses those that succeeded since the trial began.
	trialAttempts  int
	trialSuccesses int
	lastTrial      time.Time

	// sentOpinion is the last opinion shared with the group, at sentAt.
	sentOpinion Opinion
	sentAt      time.Time
}

// NewBoard returns the board of the VM self. It has no backend servers yet.
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

// SetSettings replaces the settings except Now and Jitter. A higher floor returns the least severe cases to service at
// once.
func (b *Board) SetSettings(s Settings) {
	b.mu.Lock()
	s.Now, s.Jitter = b.settings.Now, b.settings.Jitter
	b.settings = s
	b.finish(b.reassess(s.Now()))
}

// SetBackends replaces the list of live backend servers and sets how many availability zones the service's group spans.
// The floor is a percentage of the length of this list.
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

// SetDraining marks a backend server that has announced that it accepts no new work, and informs the group.
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

// EndDraining returns a draining backend server to service after it has stopped and become reachable again, and informs
// the group.
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

// Attempt is one request sent to a backend server.
type Attempt struct {
	board   *Board
	server  *server
	begin   time.Time
	isTrial bool
	// stalled is how long this VM itself was stalled while the attempt was in flight.
	stalled time.Duration
	// overdueScore is the score for slowness that the attempt has added while in flight.
	overdueScore float64
	ended        bool
}

// Begin records the start of an attempt on the backend server. Attempt.End must be called once. Attempts on a backend
// server that is not live are not recorded.
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

// IsTrial reports whether the result of the attempt counts towards the return of an ejected backend server.
func (a *Attempt) IsTrial() bool { return a.isTrial }

// TrialTimeout returns how long a trial request on the backend server may take. It is short because the backend server
// may still hang, and the caller waits meanwhile.
func (b *Board) TrialTimeout(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byName[name]
	if s == nil {
		return maxTrialTime
	}
	return b.references[s.region].trialTimeout()
}

// End records the result of the attempt. Further calls have no effect.
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

// finish publishes the view, unlocks the board and calls the hooks.
func (b *Board) finish(opinions []Opinion) {
	changed := b.isViewStale && b.publish()
	b.isViewStale = false
	verifications, transitions := b.pendingVerifications, b.pendingTransitions
	b.pendingVerifications, b.pendingTransitions = nil, nil
	b.mu.Unlock()
	if b.hooks.Transitioned != nil {
		for _, e := range transitions {
			b.hooks.Transitioned(e)
		}
	}
	for _, name := range verifications {
		b.hooks.Verify(name)
	}
	if b.hooks.ShareOpinion != nil {
		for _, o := range opinions {
			b.hooks.ShareOpinion(o)
		}
	}
	if changed && b.hooks.ViewChanged != nil {
		b.hooks.ViewChanged()
	}
}

// Tick scores overdue requests, ends leases and refreshes shared opinions. It is called every TickInterval.
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

// ClaimTrial allows one request on a backend server that View.Trials lists. It returns false if another request was
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

// Jitter returns a random duration between 3/4 and 5/4 of d, so that VMs do not act simultaneously.
func Jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
