package entrypeer_test

import (
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/entrypeer"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/periodic"
	"github.com/primroseladder/primroseladder/internal/poison"
	"github.com/primroseladder/primroseladder/internal/snapshot"
)

var errNotBlocked = errors.New("the request is not blocked")

// TestEntryThatStartsLearnsOfBlocks guards against an entry that was started, or missed the notes on the crashes, and runs a request
// that the other entries block.
func TestEntryThatStartsLearnsOfBlocks(t *testing.T) {
	const bad = poison.Fingerprint(0xfedcba9876543210)
	peers := entrypeer.NewClient()
	defer peers.Close()
	holder := snapshot.NewHolder()
	running := poison.NewRegistry(poison.DefaultWindow)
	running.RecordCrash(bad, "a")
	running.RecordCrash(bad, "b")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := grpc.NewServer()
	list := entrypeer.NewBlockList(running, entrypeer.NewBlockAsker("running", "perth", holder, peers))
	pb.RegisterPoisonServer(server, entrypeer.NewCrashServer(running, list))
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	holder.ApplyView(fleet.NewView(1, []fleet.VM{
		{Name: "running", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth", EntryAddress: listener.Addr().String()},
		{Name: "started", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth"},
	}))
	started := poison.NewRegistry(poison.DefaultWindow)
	go entrypeer.NewBlockList(started, entrypeer.NewBlockAsker("started", "perth", holder, peers)).Run(t.Context())
	err = periodic.Poll(3*time.Second, func() error {
		if !started.IsBlocked(bad) {
			return errNotBlocked
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
}
