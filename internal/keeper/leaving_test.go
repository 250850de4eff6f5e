package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
)

func notice(sequence, lifetimeMS uint64) []*pb.LeaveNotice {
	return []*pb.LeaveNotice{{Vm: "entry-0", Sequence: sequence, LifetimeMs: lifetimeMS}}
}

func TestNewestLeaveNoticeWins(t *testing.T) {
	for _, test := range []struct {
		name    string
		notices [][]*pb.LeaveNotice
		wait    time.Duration
		isLive  bool
	}{
		{"none", nil, 0, true},
		{"leaving", [][]*pb.LeaveNotice{notice(1, 60_000)}, time.Second, false},
		{"returned", [][]*pb.LeaveNotice{notice(1, 60_000), notice(2, 0)}, 0, true},
		{"returned, and an older notice arrives late", [][]*pb.LeaveNotice{notice(2, 0), notice(1, 60_000)}, 0, true},
		{"expired", [][]*pb.LeaveNotice{notice(1, 60_000)}, 61 * time.Second, true},
		{"lifetime bounded by maxNoticeLifetime", [][]*pb.LeaveNotice{notice(1, 1<<40)}, 16 * time.Minute, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewState()
				for _, n := range test.notices {
					s.AdoptLeaveNotices(n)
				}
				// The list arrives after the notices and shows the VM as live.
				s.SetList(fleet.NewView(1, []fleet.VM{{Name: "entry-0", Role: fleet.RoleEntry, State: fleet.StateLive}}))
				time.Sleep(test.wait)
				s.ExpireLeaveNotices()
				vm, _ := s.View().Entry("entry-0")
				qt.Assert(t, vm.IsLive(), qt.Equals, test.isLive)
				listed, _ := s.List().Entry("entry-0")
				qt.Assert(t, listed.IsLive(), qt.IsTrue)
			})
		})
	}
}

// TestListOverridesNoticeOnceCaughtUp checks that a VM which left and came back in the list is live although its
// notice has not expired.
func TestListOverridesNoticeOnceCaughtUp(t *testing.T) {
	s := NewState()
	s.AdoptLeaveNotices(notice(1, 600_000))
	for index, state := range []fleet.State{fleet.StateLive, fleet.StateLeaving, fleet.StateLive} {
		s.SetList(fleet.NewView(uint64(index+1), []fleet.VM{{Name: "entry-0", Role: fleet.RoleEntry, State: state}}))
		s.AdoptLeaveNotices(notice(1, 600_000))
		vm, _ := s.View().Entry("entry-0")
		qt.Assert(t, vm.IsLive(), qt.Equals, index == 2)
	}
}

func TestForwardedNoticeCarriesRemainingLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewState()
		s.AdoptLeaveNotices(notice(1, 60_000))
		time.Sleep(20 * time.Second)
		passed := s.LeaveNotices(0)
		qt.Assert(t, passed, qt.HasLen, 1)
		qt.Assert(t, passed[0].GetLifetimeMs(), qt.Equals, uint64(40_000))
		qt.Assert(t, s.AdoptLeaveNotices(passed), qt.HasLen, 0)
	})
}

// TestNoticesExpireWhileKeepersExchangeThem checks that notices expire although two keepers send them to each other
// again and again: a repeated notice must not extend its lifetime.
func TestNoticesExpireWhileKeepersExchangeThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewState(), NewState()
		a.AdoptLeaveNotices(notice(1, 60_000))
		a.AdoptLeaveNotices([]*pb.LeaveNotice{{Vm: "entry-1", Sequence: 1}})
		for range int(2 * maxNoticeLifetime / time.Second) {
			b.AdoptLeaveNotices(a.LeaveNotices(b.LeaveDigest()))
			time.Sleep(500 * time.Millisecond)
			a.ExpireLeaveNotices()
			a.AdoptLeaveNotices(b.LeaveNotices(a.LeaveDigest()))
			time.Sleep(500 * time.Millisecond)
			b.ExpireLeaveNotices()
		}
		qt.Assert(t, a.LeaveNotices(0), qt.HasLen, 0)
		qt.Assert(t, a.LeaveDigest(), qt.Equals, uint64(0))
		qt.Assert(t, b.LeaveDigest(), qt.Equals, uint64(0))
	})
}

func TestEqualNoticesAreNotForwarded(t *testing.T) {
	a, b := NewState(), NewState()
	a.AdoptLeaveNotices(notice(1, 60_000))
	b.AdoptLeaveNotices(notice(1, 60_000))
	qt.Assert(t, a.LeaveNotices(b.LeaveDigest()), qt.HasLen, 0)
	b.AdoptLeaveNotices(notice(2, 0))
	qt.Assert(t, b.LeaveNotices(a.LeaveDigest()), qt.HasLen, 1)
}
