package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/settings"
)

func testOpinion(backend int, sequence uint64) *pb.Opinion {
	return keeperpeer.OpinionToProto("deposits", health.Opinion{
		Backend: fmt.Sprintf("deposits-%d", backend), Observer: health.Observer{VM: "entry-12", Zone: "goldfields-a"},
		Kind: health.KindFailing, Failing: 0.7, Slow: 0.375, Epoch: 1_800_000_000_000_000, Sequence: sequence,
		Lifetime: health.OpinionLifetime,
	})
}

func TestOpinionRoundTrip(t *testing.T) {
	c := qt.New(t)
	sent := testOpinion(3, 700)
	c.Assert(keeperpeer.OpinionToProto("deposits", keeperpeer.OpinionFromProto(sent)), qt.Satisfies, func(o *pb.Opinion) bool {
		return proto.Equal(o, sent)
	})
	size := proto.Size(sent)
	t.Logf("%d bytes", size)
	c.Assert(size <= 100, qt.IsTrue)
}

// TestOpinionStormStaysWithinByteBudget queues opinions on 300 backend servers to 5 keepers for a simulated minute,
// as fast as it can, and checks how many bytes the budget lets through.
func TestOpinionStormStaysWithinByteBudget(t *testing.T) {
	c := qt.New(t)
	const keepers, backends = 5, 300
	o := NewOpinions(&Settings{}, NewState(), keeperpeer.NewClient())
	o.ctx = context.Background()
	for k := range keepers {
		// With sending set, enqueue starts no sender.
		o.outbox[fmt.Sprint(k)] = &peerOutbox{waiting: map[opinionKey]*pb.Opinion{}, sending: true}
	}
	now := time.Now()
	end := now.Add(time.Minute)
	before := sharedBytes.Value()
	largest := 0
	for sequence := uint64(1); now.Before(end); sequence++ {
		for k := range keepers {
			for b := range backends {
				o.enqueue(fmt.Sprint(k), testOpinion(b, sequence))
			}
			c.Assert(len(o.outbox[fmt.Sprint(k)].waiting), qt.Equals, backends)
			now = now.Add(max(o.budget.delay(now), time.Millisecond))
			if now.After(end) {
				break
			}
			batch := o.nextBatch(fmt.Sprint(k))
			c.Assert(batch.GetOpinions()[0].GetSequence(), qt.Equals, sequence)
			largest = max(largest, proto.Size(batch)+messageOverheadBytes)
		}
	}
	sent := int(sharedBytes.Value() - before)
	c.Assert(sent <= shareBurstBytes+60*shareBytesPerSecond+largest, qt.IsTrue, qt.Commentf("%d bytes", sent))
	t.Logf("%d bytes in a minute, largest message %d bytes", sent, largest)
}

// TestDrainingGoesToAllRegions checks the target regions of evidence, the beginning of draining, its end, and evidence
// again.
func TestDrainingGoesToAllRegions(t *testing.T) {
	c := qt.New(t)
	o := NewOpinions(&Settings{Common: settings.Common{Region: "perth"}}, NewState(), keeperpeer.NewClient())
	view := fleet.NewView(1, []fleet.VM{
		{Name: "entry-0", Role: fleet.RoleEntry, Region: "perth"}, {Name: "entry-1", Role: fleet.RoleEntry, Region: "goldfields"},
	})
	local, all := []string{"perth"}, []string{"goldfields", "perth"}
	for i, want := range [][]string{local, all, all, local} {
		opinion := testOpinion(0, uint64(i))
		opinion.Draining = i == 1
		c.Assert(o.targetRegions(opinion, view), qt.DeepEquals, want)
	}
}
