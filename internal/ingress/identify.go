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
	// Take takes a request from the allowance of an organisation. Unless the verdict is organisation.Within, retryAfter is when a
	// request can be accepted.
	Take(o *organisation.Organisation, now time.Time) (v organisation.Verdict, retryAfter time.Duration)
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
func (h *Handler) identify(r *http.Request, basis basis, target *route.Target) (*organisation.Organisation, refusal) {
	owner, why := h.findOwner(r, basis, target)
	if why == "" {
		return owner, refusal{}
	}
	h.CountRefusedKey(why)
	switch why {
	case RefusedUnproven:
		return nil, refusal{http.StatusServiceUnavailable, "the VM cannot show that its keys are current", retryAfterUnproven}
	case RefusedNotCurrent:
		return nil, refusal{http.StatusServiceUnavailable, "the key is unknown here and the VM's configuration may be old", retryAfterUnproven}
	}
	key, ok := keyOf(r.Header)
	if !ok {
		return nil, refusal{status: http.StatusUnauthorized, reason: "no key"}
	}
	return nil, refusal{status: http.StatusUnauthorized, reason: "unknown key " + organisation.DigestOf(key).String()}
}

// findOwner returns the organisation whose key the request carries, nil if the request needs no key, or why its key is refused.
func (h *Handler) findOwner(r *http.Request, basis basis, target *route.Target) (*organisation.Organisation, KeyRefusal) {
	directory := basis.table.Config.Organisations
	if directory == nil || target.IsPublic {
		return nil, ""
	}
	if !basis.keys.MayServe {
		return nil, RefusedUnproven
	}
	if key, ok := keyOf(r.Header); ok {
		if o := directory.FindByKey(key); o != nil {
			return o, ""
		}
	}
	if !basis.keys.IsCurrent {
		// The key, or a route that needs none, may just have been added.
		return nil, RefusedNotCurrent
	}
	return nil, RefusedUnknown
}

// KeyState is what a VM may do with the keys of its configuration.
type KeyState struct {
	// MayServe is set if none was taken away so long ago that it binds VMs that have not heard of it.
	MayServe bool
	// IsCurrent is set if a key that the configuration does not hold is certainly unknown.
	IsCurrent bool
	// ProofAge is how long ago the keys were known to be current, negative if they never were.
	ProofAge time.Duration
}

// KeyRefusal is the reason why a request was refused because of its key.
type KeyRefusal string

// Reasons of refusals.
const (
	// RefusedUnknown means that the configuration does not hold the key, or that there was none.
	RefusedUnknown KeyRefusal = "unknown"
	// RefusedNotCurrent is the same while a newer configuration may exist.
	RefusedNotCurrent KeyRefusal = "not_current"
	// RefusedUnproven means that the VM could not show that no key was taken away.
	RefusedUnproven KeyRefusal = "unproven"
)

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
	switch v, retryAfter := h.Allowances.Take(o, now); v {
	case organisation.Exceeded:
		return refusal{http.StatusTooManyRequests, "the allowance of the organisation is used up", retryAfter}
	case organisation.Unconfirmed:
		return refusal{http.StatusServiceUnavailable, "no VM confirms that the request lies within the allowance", retryAfter}
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

func (unlimited) Take(*organisation.Organisation, time.Time) (organisation.Verdict, time.Duration) {
	return organisation.Within, 0
}
func (unlimited) GiveBack(string, time.Time) {}
