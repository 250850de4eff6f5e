package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	pb "github.com/primroseladder/primroseladder/api/primrosev1"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/health"
	"github.com/primroseladder/primroseladder/internal/keeperpeer"
	"github.com/primroseladder/primroseladder/internal/peererr"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

const (
	// statusTimeout bounds one question to a process or to the VM list.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the answer of a process.
	maxStatusBytes = 16 << 20
	// maxConcurrentQueries bounds the processes that are asked at a time.
	maxConcurrentQueries = 32
)

// Status is what a process tells of itself. Fields that it does not have are empty.
type Status struct {
	VM             string                   `json:"vm"`
	Process        string                   `json:"process"`
	Address        string                   `json:"address"`
	Region         string                   `json:"region"`
	Zone           string                   `json:"zone"`
	Revision       uint64                   `json:"revision"`
	ListIndex      uint64                   `json:"list_index"`
	Ready          *bool                    `json:"ready,omitempty"`
	StoreReadAgeMS *int64                   `json:"store_read_age_ms,omitempty"`
	StoreCalls     *int64                   `json:"store_calls,omitempty"`
	Watcher        bool                     `json:"watcher,omitempty"`
	StoreBehind    uint64                   `json:"store_behind,omitempty"`
	Forked         uint64                   `json:"forked,omitempty"`
	Services       map[string]health.Report `json:"services,omitempty"`
	// Error tells why there was no answer.
	Error string `json:"error,omitempty"`
}

// The processes of an entry VM.
const (
	processEntry  = "entry"
	processKeeper = "keeper"
)

// name returns the process as it is named to operators.
func (s *Status) name() string {
	if s.VM == "" {
		return s.Address
	}
	return s.VM + "/" + s.Process
}

// target is a process that can be asked for its status.
type target struct {
	vm      string
	process string
	address string
	// usesPeerListener says that the address is the peers' listener of a keeper, for want of an operators' listener.
	usesPeerListener bool
}

// targets returns the processes of the fleet: those given by address, or else those of the VM list.
func targets(ctx context.Context, cmd *cli.Command) ([]target, error) {
	if given := cmd.StringSlice("operators"); len(given) > 0 {
		var out []target
		for _, address := range given {
			out = append(out, target{address: address})
		}
		return out, nil
	}
	vms, err := readVMs(ctx, cmd)
	if err != nil {
		return nil, err
	}
	var out []target
	for _, vm := range vms {
		if vm.Role == fleet.RoleEntry {
			out = append(out, targetsOnVM(vm)...)
		}
	}
	return out, nil
}

func targetsOnVM(vm fleet.VM) []target {
	var out []target
	if vm.EntryOperatorAddress != "" {
		out = append(out, target{vm: vm.Name, process: processEntry, address: vm.EntryOperatorAddress})
	}
	if vm.KeeperOperatorAddress != "" {
		return append(out, target{vm: vm.Name, process: processKeeper, address: vm.KeeperOperatorAddress})
	}
	return append(out, target{vm: vm.Name, process: processKeeper, address: vm.KeeperAddress, usesPeerListener: true})
}

// readVMs returns the VM list: from the platform, or from a process that has it.
func readVMs(ctx context.Context, cmd *cli.Command) ([]fleet.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var faults []error
	if base := cmd.String("vms"); base != "" {
		list, err := vmlist.NewClient(base).Wait(ctx, 0, 0)
		if err == nil {
			return list.VMs, nil
		}
		faults = append(faults, err)
	}
	for _, address := range cmd.StringSlice("operators") {
		var vms []fleet.VM
		err := fetchJSON(ctx, "http://"+address+"/vms", &vms)
		if err == nil {
			return vms, nil
		}
		faults = append(faults, err)
	}
	if len(faults) == 0 {
		return nil, errors.New("give --vms or --operators, so that the processes can be found")
	}
	return nil, errors.Join(append(faults, ErrUnreachable)...)
}

// fetchJSON reads JSON from a URL.
func fetchJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return peererr.Wrap(err, "read", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return peererr.Wrap(fmt.Errorf("status %d", resp.StatusCode), "read", url)
	}
	return peererr.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(into), "read", url)
}

// queryStatuses returns the status of each target in their order.
func queryStatuses(ctx context.Context, list []target) []Status {
	out := make([]Status, len(list))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, t := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i] = queryStatus(ctx, t)
		})
	}
	wg.Wait()
	return out
}

func queryStatus(ctx context.Context, t target) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s Status
	var err error
	if t.usesPeerListener {
		err = queryKeeper(ctx, t.address, &s)
	} else {
		err = fetchJSON(ctx, "http://"+t.address+"/status", &s)
	}
	s.Address = t.address
	if t.vm != "" {
		s.VM, s.Process = t.vm, t.process
	}
	if s.Process == "" {
		s.Process = processEntry
		if s.StoreCalls != nil {
			s.Process = processKeeper
		}
	}
	if err != nil {
		s.Error = strings.TrimSpace(err.Error())
	}
	return s
}

// queryKeeper compares revisions with a keeper as a keeper without a catalogue would announce itself.
func queryKeeper(ctx context.Context, address string, s *Status) error {
	keepers := keeperpeer.NewClient()
	defer keepers.Close()
	keeper, err := keepers.Keeper(address)
	if err != nil {
		return err
	}
	answer, err := keeper.Exchange(ctx, &pb.ExchangeRequest{AnnounceOnly: true})
	if err != nil {
		return peererr.Wrap(err, "ask", address)
	}
	ready := answer.GetReady()
	s.Revision, s.Ready = answer.GetRevision(), &ready
	if answer.StoreReadAgeMs != nil {
		age := int64(answer.GetStoreReadAgeMs())
		s.StoreReadAgeMS = &age
	}
	return nil
}
