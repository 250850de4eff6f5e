package trial

import (
	"math"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
)

// judge is an ejection policy on one VM.
type judge interface {
	// begin notes an attempt. end is called with its result.
	begin(backend string) (end func(health.Result))
	isOut(backend string) bool
	out() []string
	// trial returns a backend server that should get this idempotent request, or "".
	trial() string
	// trialTimeout is how long a trial request may take.
	trialTimeout(backend string) time.Duration
	// share is the part of its ordinary work that a backend server should get.
	share(backend string) float64
	tick()
}

// boardJudge is the policy of package health.
type boardJudge struct {
	board *health.Board
	now   func() time.Time
}

func (c Config) sensitivity() float64 {
	if c.Sensitivity == 0 {
		return 1
	}
	return c.Sensitivity
}

func newBoardJudge(self health.Observer, policy catalogue.DetectionPolicy, s *simulation, hooks health.Hooks) *boardJudge {
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
	return &boardJudge{board: board, now: s.wallClock}
}

func (j *boardJudge) begin(backend string) func(health.Result) { return j.board.Begin(backend).End }
func (j *boardJudge) isOut(backend string) bool                { return j.board.IsExcluded(backend) }
func (j *boardJudge) out() []string                            { return j.board.Out() }
func (j *boardJudge) tick()                                    { j.board.Tick() }
func (j *boardJudge) share(backend string) float64             { return j.board.View().Share(backend, j.now()) }

func (j *boardJudge) trialTimeout(backend string) time.Duration { return j.board.TrialTimeout(backend) }

func (j *boardJudge) trial() string {
	for _, name := range j.board.View().Trials {
		if j.board.ClaimTrial(name) {
			return name
		}
	}
	return ""
}

// noneJudge ejects nobody.
type noneJudge struct{}

func (noneJudge) begin(string) func(health.Result)  { return func(health.Result) {} }
func (noneJudge) isOut(string) bool                 { return false }
func (noneJudge) out() []string                     { return nil }
func (noneJudge) trial() string                     { return "" }
func (noneJudge) share(string) float64              { return 1 }
func (noneJudge) tick()                             {}
func (noneJudge) trialTimeout(string) time.Duration { return 0 }

const (
	// consecutiveFailures in a row eject.
	consecutiveFailures = 5
	// baseAbsence is the first absence; each further one is longer by the same time.
	baseAbsence = 30 * time.Second
	// rateInterval is the time between two comparisons of success rates.
	rateInterval = 10 * time.Second
	// rateMinRequests and rateMinServers are what a comparison needs.
	rateMinRequests = 5
	rateMinServers  = 5
	// rateDeviations below the mean eject.
	rateDeviations = 1.9
)

// localJudge ejects by this VM's own failures alone, either after some in a row or by the success rate.
type localJudge struct {
	now    func() time.Time
	floor  int
	byRate bool
	// failures in a row, or so many deviations below the mean, eject.
	failures   int
	deviations float64
	order      []string
	servers    map[string]*localServer
	nextAt     time.Time
}

type localServer struct {
	failures    int
	done, total int
	outUntil    time.Time
	absences    int
}

func newLocalJudge(s *simulation, byRate bool) *localJudge {
	j := &localJudge{
		now: s.wallClock, byRate: byRate, servers: map[string]*localServer{},
		failures:   max(1, int(math.Round(consecutiveFailures/s.config.sensitivity()))),
		deviations: rateDeviations / s.config.sensitivity(),
	}
	for _, server := range s.servers {
		j.order = append(j.order, server.name)
		j.servers[server.name] = &localServer{}
	}
	j.floor = health.Floor(len(s.servers), s.config.FloorPercent)
	j.nextAt = s.wallClock().Add(rateInterval)
	return j
}

func (j *localJudge) begin(backend string) func(health.Result) {
	return func(r health.Result) { j.record(j.servers[backend], r) }
}

func (j *localJudge) record(s *localServer, r health.Result) {
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
	if !j.byRate && s.failures >= j.failures {
		j.eject(s)
	}
}

func (j *localJudge) eject(s *localServer) {
	now := j.now()
	if now.Before(s.outUntil) || len(j.order)-len(j.out())-1 < j.floor {
		return
	}
	s.absences++
	s.failures = 0
	s.outUntil = now.Add(time.Duration(s.absences) * baseAbsence)
}

func (j *localJudge) isOut(backend string) bool { return j.now().Before(j.servers[backend].outUntil) }

func (j *localJudge) out() []string {
	var out []string
	for _, name := range j.order {
		if j.isOut(name) {
			out = append(out, name)
		}
	}
	return out
}

func (j *localJudge) trialTimeout(string) time.Duration { return 0 }
func (j *localJudge) trial() string                     { return "" }
func (j *localJudge) share(string) float64              { return 1 }

func (j *localJudge) tick() {
	if !j.byRate || j.now().Before(j.nextAt) {
		return
	}
	j.nextAt = j.now().Add(rateInterval)
	limit, enough := j.rateLimit()
	for _, name := range j.order {
		s := j.servers[name]
		if enough && s.total >= rateMinRequests && float64(s.done)/float64(s.total) < limit {
			j.eject(s)
		}
		s.done, s.total = 0, 0
	}
}

// rateLimit returns the success rate below which a backend server is out.
func (j *localJudge) rateLimit() (limit float64, enough bool) {
	var rates []float64
	sum := 0.0
	for _, name := range j.order {
		if s := j.servers[name]; s.total >= rateMinRequests {
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
	return mean - j.deviations*math.Sqrt(squares/float64(len(rates))), true
}
