// Package workload estimates how long requests run on backend servers and how much work a backend server still has to do.
//
// Requests are grouped into classes that are expected to cost about the same. The durations of each class are kept as a
// histogram, since a few requests of a class run many times as long as the others: a request that has run for long is then
// expected to be one of these, not to end soon. Types of this package are not safe for concurrent use.
package workload

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Class identifies requests that are expected to cost about the same. It is equal on all VMs. The zero value is the class of
// requests of which nothing is known.
type Class uint32

// sizeStep is the binary logarithm of the ratio between the body sizes of neighbouring classes.
const sizeStep = 6

// ClassOf returns the class of a request by its method, its route and the size of its body.
func ClassOf(method, host, prefix string, bodyBytes int) Class {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{method, host, prefix} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte((bits.Len(uint(bodyBytes)) + sizeStep - 1) / sizeStep)})
	return max(1, Class(d.Sum64()))
}
