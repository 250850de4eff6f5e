package keeper

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// maxNoticeLifetime bounds how long a leave notice is kept.
const maxNoticeLifetime = 15 * time.Minute

// minForwardedLifetime is the remaining lifetime below which a leave notice is no longer sent to other keepers.
const minForwardedLifetime = 5 * time.Second

// leaveNotices holds the announcements of VMs that accept no new work. The announcements are in force before the
// platform's VM list shows that these VMs are leaving.
type leaveNotices struct {
	notices map[string]leaveNotice
	// version increases with each change of the names.
	version uint64
}

type leaveNotice struct {
	sequence  uint64
	expiresAt time.Time
	// isReturn is set if the VM accepts work again or the VM list has caught up. The notice is kept so that an older one
	// is not adopted again.
	isReturn bool
}

// adopt adds the notices with a higher sequence than the known one of the same VM and returns those that it added.
func (l *leaveNotices) adopt(list []*pb.LeaveNotice, now time.Time) []*pb.LeaveNotice {
	var adopted []*pb.LeaveNotice
	for _, n := range list {
		if known, found := l.notices[n.GetVm()]; found && known.sequence >= n.GetSequence() {
			continue
		}
		if l.notices == nil {
			l.notices = map[string]leaveNotice{}
		}
		l.notices[n.GetVm()] = newLeaveNotice(n, now)
		adopted = append(adopted, n)
	}
	return adopted
}

func newLeaveNotice(n *pb.LeaveNotice, now time.Time) leaveNotice {
	lifetime := min(time.Duration(n.GetLifetimeMs())*time.Millisecond, maxNoticeLifetime)
	isReturn := n.GetIsReturn() || lifetime == 0
	if lifetime == 0 {
		lifetime = maxNoticeLifetime
	}
	return leaveNotice{sequence: n.GetSequence(), expiresAt: now.Add(lifetime), isReturn: isReturn}
}

// names returns the VMs that accept no new work, sorted.
func (l *leaveNotices) names() []string {
	var names []string
	for name, n := range l.notices {
		if !n.isReturn {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// deferToList marks the notices of VMs that the list shows as not live. They are then no longer in force: the list alone
// decides when such a VM is back. It returns whether it marked any notice.
func (l *leaveNotices) deferToList(list *fleet.View) bool {
	anyMarked := false
	for name, n := range l.notices {
		if vm, found := list.Find(name); found && !vm.IsLive() && !n.isReturn {
			n.isReturn = true
			l.notices[name] = n
			anyMarked = true
		}
	}
	return anyMarked
}

// expire removes expired notices and returns whether there were any.
func (l *leaveNotices) expire(now time.Time) bool {
	before := len(l.notices)
	for name, n := range l.notices {
		if now.After(n.expiresAt) {
			delete(l.notices, name)
		}
	}
	return len(l.notices) < before
}

// digest returns a hash that is equal for equal sets of notices, in whatever order they were adopted.
func (l *leaveNotices) digest() uint64 {
	var digest uint64
	for name, n := range l.notices {
		digest ^= xxhash.Sum64String(name + "\x00" + strconv.FormatUint(n.sequence, 10))
	}
	return digest
}

// toProto returns the notices with their remaining lifetimes. It omits those about to expire, so that two keepers do
// not keep renewing them for each other.
func (l *leaveNotices) toProto(now time.Time) []*pb.LeaveNotice {
	var out []*pb.LeaveNotice
	for name, n := range l.notices {
		remaining := n.expiresAt.Sub(now)
		if remaining < minForwardedLifetime {
			continue
		}
		out = append(out, &pb.LeaveNotice{
			Vm: name, Sequence: n.sequence, LifetimeMs: uint64(remaining.Milliseconds()), IsReturn: n.isReturn,
		})
	}
	return out
}

// AdoptLeaveNotices adopts notices of leaving VMs and returns those that were new.
func (s *State) AdoptLeaveNotices(list []*pb.LeaveNotice) []*pb.LeaveNotice {
	if len(list) == 0 {
		return nil
	}
	s.mu.Lock()
	adopted := s.leaveNotices.adopt(list, time.Now())
	if len(adopted) > 0 {
		s.updateView()
	}
	s.mu.Unlock()
	if len(adopted) > 0 {
		s.NotifyChanged()
	}
	return adopted
}

// ExpireLeaveNotices removes expired leave notices.
func (s *State) ExpireLeaveNotices() {
	s.mu.Lock()
	expired := s.leaveNotices.expire(time.Now())
	if expired {
		s.updateView()
	}
	s.mu.Unlock()
	if expired {
		s.NotifyChanged()
	}
}

func (s *State) updateView() {
	s.leaveNotices.version++
	s.view = s.list.WithLeaving(s.leaveNotices.names())
}

// LeaveDigest returns the digest of the leave notices.
func (s *State) LeaveDigest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaveNotices.digest()
}

// LeaveNotices returns the leave notices to send to a keeper with the given digest, or none if the digests are equal.
func (s *State) LeaveNotices(digest uint64) []*pb.LeaveNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveNotices.digest() == digest {
		return nil
	}
	return s.leaveNotices.toProto(time.Now())
}

// leavingSince returns the leaving VMs and their version, or nil if the version has not changed.
func (s *State) leavingSince(version uint64) (*pb.LeavingVMs, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveNotices.version == version {
		return nil, version
	}
	return &pb.LeavingVMs{Names: s.leaveNotices.names()}, s.leaveNotices.version
}
