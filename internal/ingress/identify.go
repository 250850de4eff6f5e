package ingress

import (
	"net/http"
	"strings"
	"time"

	"github.com/primroseladder/primroseladder/internal/dispatch"
	"github.com/primroseladder/primroseladder/internal/organisation"
	"github.com/primroseladder/primroseladder/internal/route"
)

// Allowances limit the requests of each organisation over the whole fleet.
type Allowances interface {
	// Take takes a request from the allowance of an organisation. If nothing is left, ok is false and retryAfter is when a
	// request can be accepted again.
	Take(o *organisation.Organisation, now time.Time) (retryAfter time.Duration, ok bool)
	// GiveBack returns a request that no backend server has run to the allowance of the organisation with the name.
	GiveBack(name string, now time.Time)
}

const (
	authorizationHeader = "Authorization"
	keyScheme           = "Bearer"
	// retryAfterUnproven is the retry delay while this VM cannot show that its keys are current. Other VMs serve at once.
	retryAfterUnproven = minRetryAfter
)

// refusal is the response to a request that is not dispatched. The zero value means that it is.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// identify returns the organisation whose key the request carries, or nil if the request needs no key.
func (h *Handler) identify(r *http.Request, table *route.Table, target *route.Target) (*organisation.Organisation, refusal) {
	if table.Config.Organisations == nil || target.IsPublic {
		return nil, refusal{}
	}
	if !h.MayServeKeys() {
		return nil, refusal{http.StatusServiceUnavailable, "the VM cannot show that its keys are current", retryAfterUnproven}
	}
	key, ok := keyOf(r.Header)
	if !ok {
		return nil, refusal{status: http.StatusUnauthorized, reason: "no key"}
	}
	o := table.Config.Organisations.FindByKey(key)
	if o == nil {
		return nil, refusal{status: http.StatusUnauthorized, reason: "unknown key " + organisation.DigestOf(key).String()}
	}
	return o, refusal{}
}

// keyOf returns the key that the request carries. A request with several Authorization headers has none, since it is not clear
// whose it is.
func keyOf(h http.Header) (key string, ok bool) {
	values := h[authorizationHeader]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	return key, found && key != "" && strings.EqualFold(scheme, keyScheme)
}

// setOrganisation sets whose request it is. The key stays with the gateway, and backend servers are told the organisation alone.
func (h *Handler) setOrganisation(r *dispatch.Request, table *route.Table, o *organisation.Organisation) {
	r.Priority = r.Target.Priority
	r.Header.Del(h.Headers.Organisation)
	if table.Config.Organisations != nil {
		r.Header.Del(authorizationHeader)
	}
	if o == nil {
		return
	}
	r.Organisation = o.Name
	r.Header.Set(h.Headers.Organisation, o.Name)
	if o.HasPriority {
		r.Priority = o.Priority
	}
}

// takeAllowance takes a request from the allowance of the organisation, if it has one.
func (h *Handler) takeAllowance(o *organisation.Organisation, now time.Time) refusal {
	if o == nil || !o.IsLimited() {
		return refusal{}
	}
	if retryAfter, ok := h.Allowances.Take(o, now); !ok {
		return refusal{http.StatusTooManyRequests, "the allowance of the organisation is used up", retryAfter}
	}
	return refusal{}
}

// giveBackAllowance returns the request to the allowance of the organisation, if it has one.
func (h *Handler) giveBackAllowance(o *organisation.Organisation) {
	if o != nil && o.IsLimited() {
		h.Allowances.GiveBack(o.Name, time.Now())
	}
}

// unlimited are the Allowances of a fleet that limits no organisation.
type unlimited struct{}

func (unlimited) Take(*organisation.Organisation, time.Time) (time.Duration, bool) { return 0, true }
func (unlimited) GiveBack(string, time.Time)                                       {}
