package keeper

import (
	"expvar"

	"google.golang.org/protobuf/proto"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
)

// exchangeBytes counts the bytes of exchanged messages on the side of the calling keeper, without the transport's
// overhead.
var exchangeBytes = expvar.NewMap("keeper_exchange_bytes")

// The keys of exchangeBytes.
const (
	trafficLocalRegion = "own_region"
	trafficOtherRegion = "other_region"
)

func countTraffic(isLocalRegion bool, request *pb.ExchangeRequest, answer *pb.ExchangeResponse) {
	key := trafficOtherRegion
	if isLocalRegion {
		key = trafficLocalRegion
	}
	exchangeBytes.Add(key, int64(proto.Size(request)+proto.Size(answer)))
}
