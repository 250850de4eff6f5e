package trial

import (
	"math"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
)

// ejector implements an ejection policy on one VM.
type ejector interface {
	// begin records the start of an attempt. The caller passes its result to end.
	begin(backend string) (end func(health.Result))
	isOut(backend string) bool
	out() []string
	// trial returns the backend server that should receive this idempotent request because it is in a trial or probably
	// unhealthy, or "".
	trial() string
	// trialTimeout returns how long a trial request may take.
	trialTimeout(backend string) time.Duration
	// share returns how much of its usual share of the requests the backend server should receive, from 0 to 1.
	share(backend string) float64
	tick()
}

// boardEjector applies a detection policy of package health.
type boardEjector struct {
	board *health.Board
	now   func() time.Time
}

func (c Config) sensitivity() float64 {
	if c.Sensitivity == 0 {
		return 1
	}
	return c.Sensitivity
}

func newBoardEjector(self health.Observer, policy catalogue.DetectionPolicy, s *simulation, hooks health.Hooks) *boardEjector {
	settings := health.SettingsFor(catalogue.Health{Detection: policy, FloorPercent: s.config.FloorPercent})
	settings.FailureScore *= s.config.sensitivity()
	settings.SlowThreshold /= s.config.sensitivity()
	settings.Now = s.wallClock
	settings.Jitter = func(d time.Duration) time.Duration {
		return d*3/4 + time.Duration(s.network.Int64N(int64(d)/2+1))
	}
	board := health.NewBoard(self, settings, hooks)
	var vms []fleet.VM
	for _, server := range s.servers {
		vms = append(vms, fleet.VM{Name: server.name, Region: "perth", State: fleet.StateLive})
	}
	board.SetBackends(vms, zoneCount)
	return &boardEjector{board: board, now: s.wallClock}
}

func (e *boardEjector) begin(backend string) func(health.Result) { return e.board.Begin(backend).End }

func (e *boardEjector) isOut(backend string) bool    { return e.board.IsExcluded(backend) }
func (e *boardEjector) out() []string                { return e.board.Out() }
func (e *boardEjector) tick()                        { e.board.Tick() }
func (e *boardEjector) share(backend string) float64 { return e.board.View().Share(backend, e.now()) }

func (e *boardEjector) trialTimeout(backend string) time.Duration {
	return e.board.TrialTimeout(backend)
}

func (e *boardEjector) trial() string {
	for _, name := range e.board.View().Trials {
		if e.board.ClaimTrial(name) {
			return name
		}
	}
	return ""
}

// noEjector never ejects a backend server.
type noEjector struct{}

func (noEjector) begin(string) func(health.Result)  { return func(health.Result) {} }
func (noEjector) isOut(string) bool                 { return false }
func (noEjector) out() []string                     { return nil }
func (noEjector) trial() string                     { return "" }
func (noEjector) share(string) float64              { return 1 }
func (noEjector) tick()                             {}
func (noEjector) trialTimeout(string) time.Duration { return 0 }

const (
	// consecutiveFailures is how many failures in a row eject a backend server.
	consecutiveFailures = 5
	// baseEjectionTime is the length of the first ejection. Each further one is longer by the same time.
	baseEjectionTime = 30 * time.Second
	// rateInterval is the time between two comparisons of success rates.
	rateInterval = 10 * time.Second
	// rateMinRequests is how many requests a backend server needs to be compared, rateMinServers how many such backend
	// servers a comparison needs.
	rateMinRequests = 5
	rateMinServers  = 5
	// rateDeviations is how many standard deviations below the mean success rate eject a backend server.
	rateDeviations = 1.9
)

// localEjector uses only the results on its VM. It ejects after several failures in a row or by the success rate.
type localEjector struct {
	now    func() time.Time
	floor  int
	byRate bool
	// failures is how many failures in a row eject, deviations how many standard deviations below the mean.
	failures   int
	deviations float64
	order      []string
	servers    map[string]*localServer
	// nextComparison is when the success rates are compared next.
	nextComparison time.Time
}

type localServer struct {
	failures    int
	done, total int
	outUntil    time.Time
	ejections   int
}

func newLocalEjector(s *simulation, byRate bool) *localEjector {
	e := &localEjector{
		now: s.wallClock, byRate: byRate, servers: map[string]*localServer{},
		failures:   max(1, int(math.Round(consecutiveFailures/s.config.sensitivity()))),
		deviations: rateDeviations / s.config.sensitivity(),
	}
	for _, server := range s.servers {
		e.order = append(e.order, server.name)
		e.servers[server.name] = &localServer{}
	}
	e.floor = health.Floor(len(s.servers), s.config.FloorPercent)
	e.nextComparison = s.wallClock().Add(rateInterval)
	return e
}

func (e *localEjector) begin(backend string) func(health.Result) {
	return func(r health.Result) { e.record(e.servers[backend], r) }
}

func (e *localEjector) record(s *localServer, r health.Result) {
	if r == health.ResultIgnored {
		return
	}
	s.total++
	if r == health.ResultSuccess {
		s.done++
		s.failures = 0
		return
	}
	s.failures++
	if !e.byRate && s.failures >= e.failures {
		e.eject(s)
	}
}

func (e *localEjector) eject(s *localServer) {
	now := e.now()
	if now.Before(s.outUntil) || len(e.order)-len(e.out())-1 < e.floor {
		return
	}
	s.ejections++
	s.failures = 0
	s.outUntil = now.Add(time.Duration(s.ejections) * baseEjectionTime)
}

func (e *localEjector) isOut(backend string) bool { return e.now().Before(e.servers[backend].outUntil) }

func (e *localEjector) out() []string {
	var out []string
	for _, name := range e.order {
		if e.isOut(name) {
			out = append(out, name)
		}
	}
	return out
}

func (e *localEjector) trialTimeout(string) time.Duration { return 0 }
func (e *localEjector) trial() string                     { return "" }
func (e *localEjector) share(string) float64              { return 1 }

func (e *localEjector) tick() {
	if !e.byRate || e.now().Before(e.nextComparison) {
		return
	}
	e.nextComparison = e.now().Add(rateInterval)
	minimum, enough := e.minSuccessRate()
	for _, name := range e.order {
		s := e.servers[name]
		if enough && s.total >= rateMinRequests && float64(s.done)/float64(s.total) < minimum {
			e.eject(s)
		}
		s.done, s.total = 0, 0
	}
}

// minSuccessRate returns the success rate below which a backend server is ejected. It returns false if too few backend
// servers can be compared.
func (e *localEjector) minSuccessRate() (minimum float64, enough bool) {
	var rates []float64
	sum := 0.0
	for _, name := range e.order {
		if s := e.servers[name]; s.total >= rateMinRequests {
			rate := float64(s.done) / float64(s.total)
			rates = append(rates, rate)
			sum += rate
		}
	}
	if len(rates) < rateMinServers {
		return 0, false
	}
	mean := sum / float64(len(rates))
	squares := 0.0
	for _, rate := range rates {
		squares += (rate - mean) * (rate - mean)
	}
	return mean - e.deviations*math.Sqrt(squares/float64(len(rates))), true
}
