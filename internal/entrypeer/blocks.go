package entrypeer

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/blocklist"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

// BlockAsker asks other entries, mostly of the local region, for the requests that they block, so that entries that start, or missed
// a note, learn of them.
type BlockAsker struct {
	self, region string
	holder       *snapshot.Holder
	peers        *Client
}

// NewBlockAsker returns the asker of the entry VM self.
func NewBlockAsker(self, region string, holder *snapshot.Holder, peers *Client) *BlockAsker {
	return &BlockAsker{self: self, region: region, holder: holder, peers: peers}
}

// Ask sends a digest to another entry and passes the blocks that it gets to receive. Without an answer it does nothing: the next
// question goes to another entry.
func (a *BlockAsker) Ask(ctx context.Context, digest uint64, receive func([]poison.Block)) {
	vm, found := a.partner()
	if !found {
		return
	}
	conn, err := a.peers.conn(vm.EntryAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashNoteTimeout)
	defer cancel()
	answer, err := pb.NewPoisonClient(conn).CompareBlocks(ctx, &pb.CompareBlocksRequest{Digest: digest})
	if err != nil {
		return
	}
	blocks := make([]poison.Block, 0, len(answer.GetBlocks()))
	for _, b := range answer.GetBlocks() {
		blocks = append(blocks, poison.Block{
			Fingerprint: poison.Fingerprint(b.GetFingerprint()), IsAnswered: b.GetIsAnswered(),
			Remaining: time.Duration(b.GetRemainingMs()) * time.Millisecond,
		})
	}
	receive(blocks)
}

// otherRegionsPeriod is how many questions on average include one to another region.
const otherRegionsPeriod = 4

// partner returns the VM to ask now: mostly one of the local region, at a distance of a power of two after this VM in the list. Blocks
// reach all VMs of a region within a number of rounds that grows with the logarithm of its size, and each VM keeps few connections.
func (a *BlockAsker) partner() (fleet.VM, bool) {
	view := a.holder.Get().View
	local := view.LiveEntries(a.region)
	at := slices.IndexFunc(local, func(vm fleet.VM) bool { return vm.Name == a.self })
	others := slices.DeleteFunc(view.Regions(), func(region string) bool { return region == a.region })
	if len(others) > 0 && (len(local) < 2 || rand.IntN(otherRegionsPeriod) == 0) {
		remote := view.LiveEntries(others[rand.IntN(len(others))])
		return atDistance(remote, max(0, at), len(remote))
	}
	if at < 0 {
		return fleet.VM{}, false
	}
	return atDistance(local, at, len(local)-1)
}

// atDistance returns the VM that follows a position of the list at a random power of two, at most maxDistance.
func atDistance(vms []fleet.VM, at, maxDistance int) (fleet.VM, bool) {
	if maxDistance < 1 {
		return fleet.VM{}, false
	}
	distance := 1 << rand.IntN(bits.Len(uint(maxDistance)))
	return vms[(at+distance)%len(vms)], true
}

// CompareBlocks implements the gRPC service.
func (s *CrashServer) CompareBlocks(_ context.Context, r *pb.CompareBlocksRequest) (*pb.CompareBlocksResponse, error) {
	answer := &pb.CompareBlocksResponse{}
	for _, b := range s.blocks.BlocksBesides(r.GetDigest()) {
		answer.Blocks = append(answer.Blocks, &pb.Block{
			Fingerprint: uint64(b.Fingerprint), RemainingMs: uint32(b.Remaining.Milliseconds()), IsAnswered: b.IsAnswered,
		})
	}
	return answer, nil
}

// NewBlockList returns the list that passes the blocks of a registry on to other entries.
func NewBlockList(r *poison.Registry, a *BlockAsker) *blocklist.List {
	var list *blocklist.List
	list = blocklist.New(blocklist.Options{
		Registry: r, Ask: func(ctx context.Context, digest uint64) { a.Ask(ctx, digest, list.ReceiveBlocks) },
	})
	return list
}
