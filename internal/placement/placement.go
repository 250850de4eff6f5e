// Package placement ranks entry VMs by rendezvous hashing. Two VMs with different VM lists can compute different groups.
// This costs an extra hop and breaks no guarantee.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseladder/primroseladder/internal/fleet"
)

// DefaultGroupSize is the number of entry VMs of a region that serve a service.
const DefaultGroupSize = 6

// Rank returns the VMs in the rendezvous order of the key.
func Rank(key string, vms []fleet.VM) []fleet.VM {
	list := make([]ranked, 0, len(vms))
	digest := xxhash.Sum64String(key)
	for i := range vms {
		list = append(list, ranked{&vms[i], hashScore(digest, vms[i].Name)})
	}
	slices.SortFunc(list, ranked.compare)
	out := make([]fleet.VM, 0, len(list))
	for _, r := range list {
		out = append(out, *r.vm)
	}
	return out
}

// Score returns the rendezvous score of a VM for the key. The VM with the highest score comes first.
func Score(key, name string) uint64 { return hashScore(xxhash.Sum64String(key), name) }

// Precedes reports whether the VM named a comes before the one named b in the rendezvous order of the key.
func Precedes(key, a, b string) bool {
	first, second := ranked{&fleet.VM{Name: a}, Score(key, a)}, ranked{&fleet.VM{Name: b}, Score(key, b)}
	return first.compare(second) < 0
}

// Weighted is a VM that gets a share of the keys in proportion to its weight.
type Weighted struct {
	Name   string
	Weight float64
}

// RankWeighted returns the indexes of the VMs in the weighted rendezvous order of the key. Adding or removing a VM moves
// only the keys that this VM gains or loses.
func RankWeighted(key string, vms []Weighted) []int {
	digest := xxhash.Sum64String(key)
	scores := make([]float64, len(vms))
	order := make([]int, len(vms))
	for i, vm := range vms {
		order[i] = i
		uniform := (float64(hashScore(digest, vm.Name)>>11) + 0.5) / (1 << 53)
		scores[i] = vm.Weight / -math.Log(uniform)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(vms[a].Name, vms[b].Name))
	})
	return order
}

// Top returns the first VM of the key's rendezvous order without sorting, and false if there are no VMs.
func Top(key string, vms []fleet.VM) (fleet.VM, bool) {
	first, _ := topTwo(key, vms)
	if first.vm == nil {
		return fleet.VM{}, false
	}
	return *first.vm, true
}

// TopTwo returns the first two VMs of the key's rendezvous order without sorting, or fewer if there are not as many.
func TopTwo(key string, vms []fleet.VM) []fleet.VM {
	var out []fleet.VM
	first, second := topTwo(key, vms)
	for _, r := range []ranked{first, second} {
		if r.vm != nil {
			out = append(out, *r.vm)
		}
	}
	return out
}

func topTwo(key string, vms []fleet.VM) (first, second ranked) {
	digest := xxhash.Sum64String(key)
	for i := range vms {
		r := ranked{&vms[i], hashScore(digest, vms[i].Name)}
		switch {
		case first.vm == nil || r.compare(first) < 0:
			first, second = r, first
		case second.vm == nil || r.compare(second) < 0:
			second = r
		}
	}
	return first, second
}

// ranked is a VM with its score for a key.
type ranked struct {
	vm    *fleet.VM
	score uint64
}

// compare orders by descending score, then by name.
func (r ranked) compare(other ranked) int {
	if r.score != other.score {
		return cmp.Compare(other.score, r.score)
	}
	return cmp.Compare(r.vm.Name, other.vm.Name)
}

// hashScore combines the digests of a key and of a name with the finalizer of SplitMix64.
func hashScore(digest uint64, name string) uint64 {
	x := digest ^ xxhash.Sum64String(name)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
