package fleet_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

func drawVM(t *rapid.T) fleet.VM {
	vm := fleet.VM{
		Name: fmt.Sprintf("vm-%02d", rapid.IntRange(0, 20).Draw(t, "name")), Role: fleet.RoleEntry,
		State:  rapid.SampledFrom([]fleet.State{fleet.StateLive, fleet.StateLeaving}).Draw(t, "state"),
		Region: rapid.SampledFrom([]string{"perth", "goldfields"}).Draw(t, "region"),
	}
	if service := rapid.IntRange(0, 3).Draw(t, "service"); service > 0 {
		vm.Role = fleet.RoleBackendServer
		vm.Service = fmt.Sprintf("service-%d", service)
	}
	return vm
}

func drawVMs(t *rapid.T, label string) []fleet.VM {
	return rapid.SliceOfNDistinct(rapid.Custom(drawVM), 0, 20, func(vm fleet.VM) string { return vm.Name }).Draw(t, label)
}

// TestWithDiffGivesTheNewerView applies the delta between two random lists forward and backward, and checks that the
// first view does not change.
func TestWithDiffGivesTheNewerView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawVMs(t, "first"), drawVMs(t, "second")
		a, b := fleet.NewView(1, first), fleet.NewView(2, second)
		reached := a.With(b.Diff(a))
		requireSame(t, reached, b)
		requireSame(t, a, fleet.NewView(1, first))
		requireSame(t, reached.With(a.Diff(reached)), a)
	})
}

func requireSame(t *rapid.T, got, want *fleet.View) {
	if got.Index != want.Index || !got.Diff(want).IsEmpty() || !want.Diff(got).IsEmpty() {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for _, region := range []string{"", "perth", "goldfields"} {
		if !reflect.DeepEqual(got.LiveEntries(region), want.LiveEntries(region)) {
			t.Fatalf("live entries of %q: got %v, want %v", region, got.LiveEntries(region), want.LiveEntries(region))
		}
	}
}

// TestWithLeavingEqualsAnEditedList calls WithLeaving with random names, some of which are not in the list. It compares the
// view with that of a list in which the states of these VMs were changed.
func TestWithLeavingEqualsAnEditedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := drawVMs(t, "vms")
		var names []string
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 25), 0, 5).Draw(t, "names") {
			names = append(names, fmt.Sprintf("vm-%02d", n))
		}
		got := fleet.NewView(1, vms).WithLeaving(names)
		edited := slices.Clone(vms)
		for i := range edited {
			if slices.Contains(names, edited[i].Name) {
				edited[i].State = fleet.StateLeaving
			}
		}
		requireSame(t, got, fleet.NewView(1, edited))
	})
}
