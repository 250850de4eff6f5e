package trial

import (
	"slices"
	"time"

	"github.com/primroseladder/primroseladder/internal/health"
)

// request is one caller's request.
type request struct {
	entry      *entry
	deadline   time.Duration
	idempotent bool
	attempts   int
	sheds      int
	exclude    []int
}

// dispatch sends the request to a backend server, or refuses it.
func (s *simulation) dispatch(r *request) {
	chosen, isTrial := s.pick(r)
	if chosen == nil {
		s.result.Refused++
		return
	}
	r.entry.inFlight[chosen.index]++
	s.recorder.recordDispatch(s, chosen, isTrial)
	end := r.entry.ejector.begin(chosen.name)
	result, after := s.serve(r.entry, chosen)
	if isTrial && result != health.ResultIgnored {
		if limit := r.entry.ejector.trialTimeout(chosen.name); after >= limit {
			result, after = health.ResultTimeout, limit
		}
	}
	if s.now+after >= r.deadline && result != health.ResultIgnored {
		result, after = health.ResultTimeout, max(0, r.deadline-s.now)
	}
	s.at(after, func() {
		r.entry.inFlight[chosen.index]--
		end(result)
		s.handleResult(r, chosen, result)
	})
}

// pick returns the backend server named by ejector.trial, otherwise the less loaded of two random backend servers. It
// returns nil if all backend servers are busy or excluded.
func (s *simulation) pick(r *request) (chosen *server, isTrial bool) {
	if r.idempotent {
		if name := r.entry.ejector.trial(); name != "" {
			return s.serverOf(name), r.entry.ejector.isOut(name)
		}
	}
	var free, inSlowStart []*server
	for _, server := range s.servers {
		if r.entry.inFlight[server.index] >= s.config.Slots || slices.Contains(r.exclude, server.index) {
			continue
		}
		if r.entry.ejector.isOut(server.name) {
			continue
		}
		if share := r.entry.ejector.share(server.name); share < 1 && s.choice.Float64() >= share {
			inSlowStart = append(inSlowStart, server)
			continue
		}
		free = append(free, server)
	}
	if len(free) == 0 {
		free = inSlowStart
	}
	if len(free) == 0 {
		return nil, false
	}
	a, b := free[s.choice.IntN(len(free))], free[s.choice.IntN(len(free))]
	if r.entry.inFlight[b.index] < r.entry.inFlight[a.index] {
		return b, false
	}
	return a, false
}

// serve returns the result of an attempt and how long it takes.
func (s *simulation) serve(e *entry, chosen *server) (health.Result, time.Duration) {
	if !s.isReachable(e, chosen) {
		return health.ResultUnreachable, refusalTime
	}
	isHung := s.config.Fault == FaultHang && chosen.unhealthy && s.isFaultActive()
	if chosen.running >= s.config.Slots && !isHung {
		return health.ResultIgnored, networkTime
	}
	result, d := s.resultOf(chosen), time.Duration(float64(s.serviceTime())*s.slowdown(chosen))
	chosen.running++
	s.at(min(d, s.config.Timeout), func() { chosen.running-- })
	return result, d + networkTime
}

// handleResult completes the request or sends it to another backend server.
func (s *simulation) handleResult(r *request, chosen *server, result health.Result) {
	switch result {
	case health.ResultSuccess:
		s.result.Done++
		return
	case health.ResultIgnored:
		r.sheds++
		r.exclude = append(r.exclude, chosen.index)
		if r.sheds >= maxSheds {
			s.result.Refused++
			return
		}
		s.dispatch(r)
		return
	}
	r.attempts++
	r.exclude = append(r.exclude, chosen.index)
	canRetry := (r.idempotent || result == health.ResultUnreachable) && r.attempts < maxAttempts && s.now < r.deadline
	if !canRetry {
		s.result.Failed++
		return
	}
	s.dispatch(r)
}

// isFaultActive reports whether the fault is active now. A flapping fault is active in one half of each period.
func (s *simulation) isFaultActive() bool {
	since := s.now - s.config.Onset
	if since < 0 || since >= s.config.FaultTime {
		return false
	}
	switch s.config.Fault {
	case FaultFlap2:
		return since%(2*time.Second) < time.Second
	case FaultFlap20:
		return since%(20*time.Second) < 10*time.Second
	default:
		return s.config.Fault != FaultNone
	}
}

// isReachable reports whether the VM can connect to the backend server now.
func (s *simulation) isReachable(e *entry, to *server) bool {
	if !s.isFaultActive() {
		return true
	}
	switch s.config.Fault {
	case FaultRefuse:
		return !to.unhealthy
	case FaultOwnPath:
		return e.index != 0
	case FaultOneWayZone:
		return e.index%zoneCount != 0 || to.index%zoneCount != 1
	default:
		return true
	}
}

// someErrors is the share of requests that fail with FaultSomeErrors and FaultAllErrors.
const someErrors = 1.0 / 3

func (s *simulation) resultOf(chosen *server) health.Result {
	failShare, failure := s.config.ErrorShare, health.ResultFailure
	if s.isFaultActive() {
		switch {
		case s.config.Fault == FaultAllErrors:
			failShare = someErrors
		case !chosen.unhealthy:
		case s.config.Fault == FaultErrors, s.config.Fault == FaultFlap2, s.config.Fault == FaultFlap20:
			failShare = 1
		case s.config.Fault == FaultSomeErrors:
			failShare = someErrors
		case s.config.Fault == FaultTruncated:
			failShare, failure = 1, health.ResultBroken
		}
	}
	if s.service.Float64() < failShare {
		return failure
	}
	return health.ResultSuccess
}

func (s *simulation) slowdown(chosen *server) float64 {
	if !s.isFaultActive() {
		return 1
	}
	switch {
	case s.config.Fault == FaultAllSlow:
		return 5
	case !chosen.unhealthy:
		return 1
	case s.config.Fault == FaultSlow3:
		return 3
	case s.config.Fault == FaultSlow10:
		return 10
	case s.config.Fault == FaultHang:
		return 1e6
	default:
		return 1
	}
}
