package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/primroseladder/primroseladder/internal/catalogue"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/once"
	"github.com/primroseladder/primroseladder/internal/outcome"
)

// memoryWindow is how long an entry remembers idempotency keys by default.
const memoryWindow = 10 * time.Minute

// answerBodyBytes is the size of the body of a remembered answer.
const answerBodyBytes = 256

// BenchmarkRememberedKeys measures the heap of n idempotency keys with their answers.
func BenchmarkRememberedKeys(b *testing.B) {
	for _, n := range []int{20_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			reportHeap(b, func() any { return rememberKeys(n) })
		})
	}
}

func rememberKeys(n int) *once.Memory {
	memory := once.NewMemory(memoryWindow, 2*n, once.NewHomeTracker("entry-00000", memoryWindow))
	for i := range n {
		send := once.Send{
			Number: 1, BodyDigest: uint64(i), ClaimID: fmt.Sprintf("claim-%026d", i),
			Key: once.Key{
				Scope: once.ScopeRegion, Service: "service-00001", Organisation: fmt.Sprintf("organisation-%d", i%5000),
				Key: fmt.Sprintf("5f0c2ab49e774b0d-%015d", i),
			},
		}
		memory.Claim(send)
		memory.Complete(send, outcome.Done, once.Answer{
			Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}},
			Body: make([]byte, answerBodyBytes), BodyKept: true,
		})
	}
	if memory.Len() != n {
		panic(fmt.Sprintf("%d keys of %d are remembered", memory.Len(), n))
	}
	return memory
}

// serversPerService is the number of backend servers of a service at the target, rounded up.
const serversPerService = 18

// observersPerServer is the number of other VMs that have an opinion on each backend server.
const observersPerServer = 5

// BenchmarkHealthBoards measures the heap of the health boards of n backend servers, each with opinions of the whole group.
func BenchmarkHealthBoards(b *testing.B) {
	for _, n := range []int{180, 720, 1440} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			reportHeap(b, func() any {
				var boards []*health.Board
				for range n / serversPerService {
					boards = append(boards, newBoardWithOpinions(serversPerService))
				}
				return boards
			})
		})
	}
}

func newBoardWithoutOpinions(servers int) *health.Board {
	board := health.NewBoard(health.Observer{VM: "entry-0", Zone: "zone-0"}, health.SettingsFor(catalogue.Health{FloorPercent: 60}), health.Hooks{})
	var vms []fleet.VM
	for i := range servers {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("backend-%d", i), Region: "region-0"})
	}
	board.SetBackends(vms, 2)
	return board
}

func newBoardWithOpinions(servers int) *health.Board {
	board := newBoardWithoutOpinions(servers)
	for i := range servers {
		for o := range observersPerServer {
			board.ReceiveOpinion(health.Opinion{
				Backend: fmt.Sprintf("backend-%d", i), Observer: health.Observer{VM: fmt.Sprintf("entry-%d", o+1), Zone: fmt.Sprintf("zone-%d", o%2)},
				Kind: health.KindFailing, Failing: 0.2, Epoch: 1, Sequence: uint64(i + 1), Lifetime: time.Minute,
			})
		}
	}
	return board
}

// BenchmarkHealthRecord records one result on a board with n backend servers.
func BenchmarkHealthRecord(b *testing.B) {
	for _, n := range []int{8, 18, 36} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			board := newBoardWithOpinions(n)
			i := 0
			for b.Loop() {
				i++
				board.Begin(fmt.Sprintf("backend-%d", i%n)).End(health.ResultSuccess)
			}
		})
	}
}

// BenchmarkHealthIdleTick ticks one board with n backend servers and without opinions.
func BenchmarkHealthIdleTick(b *testing.B) {
	for _, n := range []int{8, 18, 36} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			board := newBoardWithoutOpinions(n)
			for b.Loop() {
				board.Tick()
			}
		})
	}
}

// BenchmarkHealthTick ticks one board with n backend servers, each with opinions of the whole group.
func BenchmarkHealthTick(b *testing.B) {
	for _, n := range []int{8, 18, 36} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			board := newBoardWithOpinions(n)
			for b.Loop() {
				board.Tick()
			}
		})
	}
}
