package dispatch

import (
	"maps"
	"net/http"
	"time"

	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/roster"
)

// adviceLifetime is how long advice is kept for a backend server that is not in the list. A backend server whose entry
// disappears and comes back is the same process and still leaves.
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
	// heardAt is when the backend server last said something about itself.
	heardAt time.Time
}

// Statement is what a backend server says about itself in an answer.
type Statement struct {
	// Incarnation is the start time of the backend server in Unix milliseconds.
	Incarnation int64
	// IsLeaving is set if the backend server is about to stop.
	IsLeaving bool
}

// readStatement returns what the backend server that was sent the request says about itself in the answer.
func readStatement(answer http.Header, p *Protocol, incarnation int64) Statement {
	return Statement{Incarnation: incarnation, IsLeaving: answer.Get(p.Leaving) == "1"}
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

// adopt applies a statement of the backend server id and reports whether it was news. The caller must hold the service's
// lock.
func (s *service) adopt(id string, said Statement, now time.Time) (isNews bool) {
	if !said.IsLeaving {
		return false
	}
	known := s.adviceFor(incarnation{id, said.Incarnation}, now)
	known.heardAt = now
	if known.isLeaving {
		return false
	}
	known.isLeaving = true
	logevent.BackendLeaving.Log(s.options.Log).Str("service", s.name).Str("server", id).Send()
	return true
}

// expireAdvice removes old advice of backend servers that are not in the list. The caller must hold the service's lock.
func (s *service) expireAdvice(now time.Time) {
	maps.DeleteFunc(s.advice, func(i incarnation, a *advice) bool {
		listed := s.servers[i.id]
		return (listed == nil || listed.advice != a) && now.Sub(a.heardAt) > adviceLifetime
	})
}

// acceptsRequests reports whether the backend server may be sent requests.
func (srv *server) acceptsRequests() bool { return !srv.IsDraining && !srv.advice.isLeaving }
