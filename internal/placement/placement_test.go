package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

func entryVMs(n, zones int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{
			Name: fmt.Sprintf("entry-%02d", i), Role: fleet.RoleEntry, State: fleet.StateLive,
			Region: "perth", Zone: fmt.Sprintf("perth-%d", i%zones),
		})
	}
	return vms
}

func TestGroupSpreadsOverZones(t *testing.T) {
	c := qt.New(t)
	group := placement.Group("deposits", "perth", fleet.NewView(1, entryVMs(20, 2)), 6)
	c.Assert(group, qt.HasLen, 6)
	zones := map[string]int{}
	for _, vm := range group {
		zones[vm.Zone]++
	}
	c.Assert(zones, qt.DeepEquals, map[string]int{"perth-0": 3, "perth-1": 3})
}

func TestTopIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := entryVMs(rapid.IntRange(1, 30).Draw(t, "vms"), 2)
		key := rapid.String().Draw(t, "key")
		top, _ := placement.Top(key, vms)
		if first := placement.Rank(key, vms)[0]; first.Name != top.Name {
			t.Fatalf("Top returned %s, Rank begins with %s", top.Name, first.Name)
		}
		two, rank := placement.TopTwo(key, vms), placement.Rank(key, vms)
		for i := range min(2, len(vms)) {
			if two[i].Name != rank[i].Name {
				t.Fatalf("TopTwo returned %[2]s at index %[1]d, Rank returned %[3]s", i, two[i].Name, rank[i].Name)
			}
		}
	})
}

func TestLosingOneVMMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := entryVMs(rapid.IntRange(2, 30).Draw(t, "vms"), 2)
		removed := rapid.IntRange(0, len(vms)-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		before, _ := placement.Top(key, vms)
		rest := append(append([]fleet.VM(nil), vms[:removed]...), vms[removed+1:]...)
		after, _ := placement.Top(key, rest)
		if before.Name != vms[removed].Name && after.Name != before.Name {
			t.Fatalf("key moved from %s to %s", before.Name, after.Name)
		}
	})
}

// TestGroupEqualsSortedChoice compares Group with a simple reference implementation that sorts all VMs.
func TestGroupEqualsSortedChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := entryVMs(rapid.IntRange(0, 40).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "zones"))
		service := rapid.String().Draw(t, "service")
		size := rapid.IntRange(1, 8).Draw(t, "size")
		view := fleet.NewView(1, vms)
		got := placement.Group(service, "perth", view, size)
		want := sortedGroup(service, vms, size)
		if len(got) != len(want) {
			t.Fatalf("%d members, want %d", len(got), len(want))
		}
		for i := range got {
			if got[i].Name != want[i].Name || !placement.IsMember(got[i].Name, service, "perth", view, size) {
				t.Fatalf("member %d is %s, want %s", i, got[i].Name, want[i].Name)
			}
		}
	})
}

func sortedGroup(service string, vms []fleet.VM, size int) []fleet.VM {
	byZone := map[string][]fleet.VM{}
	var zones []string
	for _, vm := range placement.Rank(service, vms) {
		if byZone[vm.Zone] == nil {
			zones = append(zones, vm.Zone)
		}
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	var group []fleet.VM
	for round := 0; len(group) < min(size, len(vms)); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(group) < size {
				group = append(group, byZone[zone][round])
			}
		}
	}
	return group
}

// TestKeysSpreadEvenly checks the distribution of the scores: of 20,000 keys each VM gets between half and one and a half
// times its equal share.
func TestKeysSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	const keys, count = 20_000, 20
	vms := entryVMs(count, 2)
	got := map[string]int{}
	for i := range keys {
		top, _ := placement.Top(fmt.Sprintf("key-%d", i), vms)
		got[top.Name]++
	}
	for name, n := range got {
		c.Check(n > keys/count/2 && n < keys/count*3/2, qt.IsTrue, qt.Commentf("%s has %d keys", name, n))
	}
	c.Assert(got, qt.HasLen, count)
}
