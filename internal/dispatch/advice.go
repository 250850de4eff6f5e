package dispatch

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/roster"
)

// adviceLifetime is how long advice is kept for a backend server that is not in the list. If its entry comes back, it is the
// same process and still leaves.
const adviceLifetime = 10 * time.Minute

// incarnation identifies one run of a backend server.
type incarnation struct {
	id string
	// startedAt is in Unix milliseconds.
	startedAt int64
}

func incarnationOf(entry roster.Server) incarnation { return incarnation{entry.ID, entry.Incarnation} }

// advice is what one incarnation of a backend server has said about itself in its answers.
type advice struct {
	isLeaving bool
	limit     sharedLimit
	// pausedUntil is the time until which the backend server wants no requests from this VM.
	pausedUntil time.Time
	// limitToldAt is when other VMs were last told of a change of the limit.
	limitToldAt time.Time
	// heardAt is when the backend server was last heard of.
	heardAt time.Time
}

// Statement is what a backend server says about itself in an answer.
type Statement struct {
	// Incarnation is the start time of the backend server in Unix milliseconds.
	Incarnation int64
	// IsLeaving is set if the backend server is about to stop.
	IsLeaving bool
	// Limit is the number of requests a second that the backend server takes from all VMs together, 0 if it names none.
	Limit float64
	// HasNoLimit is set if the answer names no limit. With neither field set, the limit stays as it was.
	HasNoLimit bool
}

// readStatement returns what the backend server that was sent the request says about itself in the answer.
func readStatement(answer http.Header, p *Protocol, incarnation int64) Statement {
	out := Statement{Incarnation: incarnation, IsLeaving: answer.Get(p.Leaving) == "1"}
	named := answer.Get(p.Limit)
	if named == "" {
		out.HasNoLimit = true
		return out
	}
	// An unusable value leaves the limit as it was.
	if limit, err := strconv.ParseFloat(named, 64); err == nil && limit >= 0 && !math.IsInf(limit, 0) {
		out.Limit = max(limit, minLimit)
	}
	return out
}

// adviceFor returns the advice of an incarnation, which may be unknown so far. The caller must hold the service's lock.
func (s *service) adviceFor(i incarnation, now time.Time) *advice {
	known := s.advice[i]
	if known == nil {
		known = &advice{heardAt: now}
		s.advice[i] = known
	}
	return known
}

// adopt applies what the backend server id said in its answer to a request that was sent at the given time. It reports
// whether other VMs should be told at once. The caller must hold the service's lock.
func (s *service) adopt(id string, said Statement, sent, now time.Time) (isNews bool) {
	i := incarnation{id, said.Incarnation}
	if !said.IsLeaving && said.Limit == 0 && s.advice[i] == nil {
		return false
	}
	known := s.adviceFor(i, now)
	known.heardAt = now
	isNews = s.adoptLimit(id, known, said, sent, now)
	if said.IsLeaving && !known.isLeaving {
		known.isLeaving, isNews = true, true
		s.news.setLeaving(i)
		logevent.BackendLeaving.Log(s.options.Log).Str("service", s.name).Str("server", id).Send()
	}
	return isNews
}

// limitNewsInterval is how often other VMs are told of changes of one backend server's limit. VMs that share evidence hear
// of every change.
const limitNewsInterval = time.Second

func (s *service) adoptLimit(id string, known *advice, said Statement, sent, now time.Time) (isNews bool) {
	isChanged := false
	switch {
	case said.Limit > 0:
		zone := ""
		if srv := s.servers[id]; srv != nil {
			zone = srv.Zone
		}
		isChanged = known.limit.name(said.Limit*s.regionPart(zone), now)
	case said.HasNoLimit && known.limit.isNamed() && sent.After(known.limit.namedAt):
		// A request that was sent before the limit was named may have been answered before it too.
		known.limit.lift()
		isChanged = true
	}
	if !isChanged || now.Sub(known.limitToldAt) < limitNewsInterval {
		return false
	}
	known.limitToldAt = now
	logevent.BackendLimited.Log(s.options.Log).Str("service", s.name).Str("server", id).Float64("limit", said.Limit).Send()
	return true
}

// wasLimited reports whether the incarnation has ever named a limit. The caller must hold the service's lock.
func (s *service) wasLimited(id string, startedAt int64) bool {
	known := s.advice[incarnation{id, startedAt}]
	return known != nil && !known.limitToldAt.IsZero()
}

// expireAdvice removes old advice of backend servers that are not in the list. The caller must hold the service's lock.
func (s *service) expireAdvice(now time.Time) {
	maps.DeleteFunc(s.advice, func(i incarnation, a *advice) bool {
		listed := s.servers[i.id]
		isOld := (listed == nil || listed.advice != a) && now.Sub(a.heardAt) > adviceLifetime
		if isOld {
			s.news.forgetLeaving(i)
		}
		return isOld
	})
}

// isLeaving reports whether the backend server is about to stop.
func (srv *server) isLeaving() bool { return srv.IsDraining || srv.advice.isLeaving }

// admission returns how long it takes until the backend server may be sent a request by this VM. ok is false if it never may.
// Every request to a backend server, also a retry or a trial, passes this check. The caller must hold the service's lock.
func (s *service) admission(srv *server, now time.Time) (wait time.Duration, ok bool) {
	if srv.isLeaving() {
		return 0, false
	}
	limit := &srv.advice.limit
	if limit.isNamed() && !s.isServing {
		// This VM does not hear of the requests of others, which count against the same limit.
		return 0, false
	}
	return max(limit.wait(now), srv.advice.pausedUntil.Sub(now), 0), true
}
