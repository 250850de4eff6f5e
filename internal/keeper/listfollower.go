package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/logevent"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/store"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

const (
	// listBackoffBase and listBackoffMax bound the wait after a failed call.
	listBackoffBase = 500 * time.Millisecond
	listBackoffMax  = 2 * time.Second
)

// ListFollower reads the VM list from the platform.
type ListFollower struct {
	settings *Settings
	state    *State
	roles    *Roles
	list     *vmlist.Client
	log      zerolog.Logger
}

// NewListFollower returns a follower of the VM list.
func NewListFollower(s *Settings, state *State, roles *Roles, list *vmlist.Client, log zerolog.Logger) *ListFollower {
	return &ListFollower{settings: s, state: state, roles: roles, list: list, log: log}
}

// Run follows the list until ctx ends.
func (f *ListFollower) Run(ctx context.Context) {
	backoff := store.Backoff{Base: listBackoffBase, Max: listBackoffMax}
	for ctx.Err() == nil {
		if !f.shouldRead() {
			periodic.Pause(ctx, listRoleInterval)
			continue
		}
		begin := time.Now()
		list, err := f.list.Wait(ctx, f.state.List().Index, f.settings.ListWait.Std())
		if err == nil {
			backoff.Reset()
			f.state.SetList(fleet.NewView(list.Index, list.VMs))
			f.state.ConfirmList(begin)
			continue
		}
		if ctx.Err() == nil {
			logevent.VMListUnreachable.Log(f.log).Err(err).Send()
		}
		periodic.Pause(ctx, backoff.Next())
	}
}

// shouldRead reports whether this keeper reads the list now. If the region's readers are lost, random keepers read it
// in their place, about one per second in the region.
func (f *ListFollower) shouldRead() bool {
	if f.roles.IsListReader() {
		return true
	}
	readersLost := time.Since(f.state.ListConfirmed()) > f.settings.ListWait.Std()+readerLossTimeout
	return readersLost && rand.IntN(max(1, f.roles.RegionSize())) == 0
}
