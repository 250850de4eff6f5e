package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseladder/primroseladder/internal/roster"
)

// maxPendingEvidence limits the evidence of other VMs that waits for the lock of a service. More of it is lost, as datagrams may be.
const maxPendingEvidence = 4096

// news is what a service has heard and not applied yet. Its lock is never held while anything is chosen, so that those who bring
// news do not wait behind the requests that wait for the lock of the service: the next holder of that lock applies it first.
type news struct {
	// isPending is set while there is something to apply.
	isPending atomic.Bool

	mu sync.Mutex
	// list is the newest list of backend servers.
	list serverList
	// isListPending is set until list is applied.
	isListPending bool
	// leaving holds the incarnations that have said that they leave.
	leaving map[incarnation]bool
	// reports holds what other VMs have told, in order.
	reports []report
}

// serverList is a list of the backend servers of a service.
type serverList struct {
	servers        []roster.Server
	byID           map[string]roster.Server
	maxConnections int
	// at is when it came.
	at time.Time
}

// report is what another VM has told of a service: evidence, or the answer to a question.
type report struct {
	at time.Time
	// evidence is nil in an answer. Its sender is peer, which is empty for a VM of another region.
	evidence *Evidence
	peer     string
	// health is what the answer holds, which may be nothing.
	health []ServerHealth
}

// setList replaces the list of backend servers.
func (n *news) setList(l serverList) {
	l.byID = make(map[string]roster.Server, len(l.servers))
	for _, s := range l.servers {
		l.byID[s.ID] = s
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list, n.isListPending = l, true
	n.isPending.Store(true)
}

// addReport adds what another VM has told.
func (n *news) addReport(r report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := r.evidence; e != nil {
		isNews := e.Statement != Statement{Incarnation: e.Statement.Incarnation}
		if !isNews && len(n.reports) >= maxPendingEvidence {
			return
		}
		if e.Statement.IsLeaving {
			n.leaving[incarnation{e.Server, e.Statement.Incarnation}] = true
		}
	}
	n.reports = append(n.reports, r)
	n.isPending.Store(true)
}

// setLeaving records that an incarnation has said that it leaves.
func (n *news) setLeaving(i incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[i] = true
}

// forgetLeaving removes an incarnation that is gone for good.
func (n *news) forgetLeaving(i incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.leaving, i)
}

// take returns what is pending. The list is nil if it has been applied.
func (n *news) take() (list *serverList, reports []report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isListPending {
		newest := n.list
		list = &newest
	}
	reports, n.reports, n.isListPending = n.reports, nil, false
	n.isPending.Store(false)
	return list, reports
}

// mayReceive reports whether a backend server may be sent requests, by the newest list and by what it has said itself, whether or
// not they are applied yet.
func (n *news) mayReceive(i incarnation, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed, isListed := n.list.byID[i.id]
	return isListed && !listed.IsDraining && listed.Incarnation == i.startedAt && listed.Address == address && !n.leaving[i]
}

// listedLeaving returns the listed backend servers that have said that they leave.
func (n *news) listedLeaving() (out []incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.leaving {
		if listed, isListed := n.list.byID[i.id]; isListed && listed.Incarnation == i.startedAt {
			out = append(out, i)
		}
	}
	return out
}

// lock takes the lock of the service and applies the news.
func (s *service) lock() {
	s.mu.Lock()
	s.applyNews()
}

// unlock gives the lock of the service back. It takes it again for news that came meanwhile, unless another holder will apply it.
func (s *service) unlock() {
	s.mu.Unlock()
	for s.news.isPending.Load() && s.mu.TryLock() {
		s.applyNews()
		s.mu.Unlock()
	}
}

// applyPending applies the news at once if the lock of the service is free. If it is not, its next holder does.
func (s *service) applyPending() {
	if s.mu.TryLock() {
		s.applyNews()
		s.unlock()
	}
}

// applyNews applies the news. The caller must hold the service's lock.
func (s *service) applyNews() {
	if !s.news.isPending.Load() {
		return
	}
	list, reports := s.news.take()
	if list != nil {
		s.applyList(list)
	}
	for _, r := range reports {
		switch {
		case r.evidence == nil:
			s.applyHealth(r.health, r.at)
		case r.peer != "":
			s.applyEvidence(r.peer, *r.evidence, r.at)
		default:
			s.applyHealthTransition(*r.evidence, r.at)
		}
	}
}
