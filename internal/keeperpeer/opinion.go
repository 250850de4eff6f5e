package keeperpeer

import (
	"math"
	"time"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/health"
)

var kindToProto = map[health.Kind]pb.OpinionKind{
	health.KindNone:        pb.OpinionKind_OPINION_KIND_WELL,
	health.KindSlow:        pb.OpinionKind_OPINION_KIND_SLOW,
	health.KindFailing:     pb.OpinionKind_OPINION_KIND_FAILING,
	health.KindUnreachable: pb.OpinionKind_OPINION_KIND_UNREACHABLE,
}

// kindFromProto converts a kind. An unknown kind becomes KindNone.
func kindFromProto(k pb.OpinionKind) health.Kind {
	for kind, other := range kindToProto {
		if other == k {
			return kind
		}
	}
	return health.KindNone
}

// milliPerUnit is the scale of the Failing and Slow values, which are sent as integers in thousandths.
const milliPerUnit = 1000

// OpinionToProto converts an opinion on a backend server of service to protobuf.
func OpinionToProto(service string, o health.Opinion) *pb.Opinion {
	return &pb.Opinion{
		Service: service, Backend: o.Backend, Observer: o.Observer.VM, ObserverZone: o.Observer.Zone,
		Kind: kindToProto[o.Kind], ObserverEpoch: o.Epoch, Sequence: o.Sequence,
		LifetimeMs: uint32(o.Lifetime.Milliseconds()), Draining: o.Draining,
		FailingMilli: int32(math.Round(o.Failing * milliPerUnit)), SlowMilli: int32(math.Round(o.Slow * milliPerUnit)),
	}
}

// OpinionFromProto converts an opinion from protobuf. The service is not part of the result.
func OpinionFromProto(o *pb.Opinion) health.Opinion {
	return health.Opinion{
		Backend: o.GetBackend(), Observer: health.Observer{VM: o.GetObserver(), Zone: o.GetObserverZone()},
		Kind: kindFromProto(o.GetKind()), Epoch: o.GetObserverEpoch(), Sequence: o.GetSequence(),
		Lifetime: time.Duration(o.GetLifetimeMs()) * time.Millisecond, Draining: o.GetDraining(),
		Failing: float64(o.GetFailingMilli()) / milliPerUnit, Slow: float64(o.GetSlowMilli()) / milliPerUnit,
	}
}
