package capacity_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/primroseladder/primroseladder/internal/capacity"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeper"
	"github.com/primroseladder/primroseladder/internal/placement"
)

func BenchmarkGroup(b *testing.B) {
	atSizes(b, entryVMs, func(b *testing.B, s capacity.Size) {
		view := fleet.NewView(1, s.VMs())
		region := view.Entries[0].Region
		n := 0
		for b.Loop() {
			n++
			placement.Group(fmt.Sprintf("service-%d", n), region, view, placement.DefaultGroupSize)
		}
	})
}

// BenchmarkKnownGroup is BenchmarkGroup for a group that the view has cached.
func BenchmarkKnownGroup(b *testing.B) {
	atSizes(b, entryVMs, func(b *testing.B, s capacity.Size) {
		view := fleet.NewView(1, s.VMs())
		region := view.Entries[0].Region
		for b.Loop() {
			placement.Group("service-00001", region, view, placement.DefaultGroupSize)
		}
	})
}

func BenchmarkHomeOfKey(b *testing.B) {
	atSizes(b, entryVMs, func(b *testing.B, s capacity.Size) {
		view := fleet.NewView(1, s.VMs())
		region := view.Entries[0].Region
		for b.Loop() {
			placement.Top("organisation-1\x00key-1", view.SharedLiveEntries(region))
		}
	})
}

// BenchmarkAddresses serves a caller's request for the addresses of the VMs to use.
func BenchmarkAddresses(b *testing.B) {
	atSizes(b, entryVMs, func(b *testing.B, s capacity.Size) {
		state := keeper.NewState()
		state.SetList(fleet.NewView(1, s.VMs()))
		settings := keeper.DefaultSettings()
		settings.Region = state.View().Entries[0].Region
		state.Readiness.RecordStoreConfirmation()
		state.Readiness.RecordPeerComparison(true, true)
		state.Readiness.Evaluate(settings.VM, settings.Zone, 1, state.View())
		router := keeper.CallerRouter(settings, state)
		for b.Loop() {
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/addresses?service=service-00001", nil))
			if w.Code != http.StatusOK {
				b.Fatalf("status %d", w.Code)
			}
		}
	})
}
