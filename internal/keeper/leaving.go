package keeper

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

// maxNoticeLifetime bounds how long an announcement is kept.
const maxNoticeLifetime = 15 * time.Minute

// minForwardedLifetime is how long before its end an announcement is passed on no more.
const minForwardedLifetime = 5 * time.Second

// leaveNotices holds the announcements that VMs take no new work, ahead of the platform's VM list.
type leaveNotices struct {
	notices map[string]leaveNotice
	// version grows with each change of the names.
	version uint64
}

type leaveNotice struct {
	sequence  uint64
	expiresAt time.Time
	// isReturn says that the VM takes work again. It is kept so that an older announcement does not come back.
	isReturn bool
}

// adopt adopts announcements that are newer than the known ones and returns these.
func (l *leaveNotices) adopt(list []*pb.LeaveNotice, now time.Time) []*pb.LeaveNotice {
	var fresh []*pb.LeaveNotice
	for _, n := range list {
		if known, found := l.notices[n.GetVm()]; found && known.sequence >= n.GetSequence() {
			continue
		}
		if l.notices == nil {
			l.notices = map[string]leaveNotice{}
		}
		l.notices[n.GetVm()] = newLeaveNotice(n, now)
		fresh = append(fresh, n)
	}
	return fresh
}

func newLeaveNotice(n *pb.LeaveNotice, now time.Time) leaveNotice {
	lifetime := min(time.Duration(n.GetLifetimeMs())*time.Millisecond, maxNoticeLifetime)
	isReturn := n.GetIsReturn() || lifetime == 0
	if lifetime == 0 {
		lifetime = maxNoticeLifetime
	}
	return leaveNotice{sequence: n.GetSequence(), expiresAt: now.Add(lifetime), isReturn: isReturn}
}

// names returns the VMs that take no new work, in order.
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

// markReturned drops the announcements that a VM list has caught up with, so that the list alone says when the VM is back. It
// returns whether there were any.
func (l *leaveNotices) markReturned(list *fleet.View) bool {
	settled := false
	for name, n := range l.notices {
		if vm, found := list.Find(name); found && !vm.IsLive() && !n.isReturn {
			n.isReturn = true
			l.notices[name] = n
			settled = true
		}
	}
	return settled
}

// expire drops old announcements. It returns whether there were any.
func (l *leaveNotices) expire(now time.Time) bool {
	before := len(l.notices)
	for name, n := range l.notices {
		if now.After(n.expiresAt) {
			delete(l.notices, name)
		}
	}
	return len(l.notices) < before
}

// digest is the same for equal announcements, whatever their order.
func (l *leaveNotices) digest() uint64 {
	var digest uint64
	for name, n := range l.notices {
		digest ^= xxhash.Sum64String(name + "\x00" + strconv.FormatUint(n.sequence, 10))
	}
	return digest
}

// toProto returns the announcements with the lifetimes that are left. Those about to lapse are left out, so that two
// keepers do not renew them for each other.
func (l *leaveNotices) toProto(now time.Time) []*pb.LeaveNotice {
	var out []*pb.LeaveNotice
	for name, n := range l.notices {
		left := n.expiresAt.Sub(now)
		if left < minForwardedLifetime {
			continue
		}
		out = append(out, &pb.LeaveNotice{
			Vm: name, Sequence: n.sequence, LifetimeMs: uint64(left.Milliseconds()), IsReturn: n.isReturn,
		})
	}
	return out
}

// AdoptLeaveNotices adopts announcements of leaving VMs and returns those that were new.
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

// ExpireLeaveNotices drops old announcements.
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

// LeaveDigest returns the digest of the announcements.
func (s *State) LeaveDigest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaveNotices.digest()
}

// LeaveNotices returns the announcements, to be passed on to a keeper with the given digest, or none where it is the
// own one.
func (s *State) LeaveNotices(digest uint64) []*pb.LeaveNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveNotices.digest() == digest {
		return nil
	}
	return s.leaveNotices.toProto(time.Now())
}

// leavingSince returns the leaving VMs where they changed since a version, and the newest version.
func (s *State) leavingSince(version uint64) (*pb.LeavingVMs, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveNotices.version == version {
		return nil, version
	}
	return &pb.LeavingVMs{Names: s.leaveNotices.names()}, s.leaveNotices.version
}
