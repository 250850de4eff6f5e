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
	// statusTimeout bounds one query of a process or of the VM list.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the JSON that is read from a process.
	maxStatusBytes = 16 << 20
	// maxConcurrentQueries bounds the number of processes that are queried at a time.
	maxConcurrentQueries = 32
)

// Status is the status that a process reports. Fields that its kind of process does not report are empty.
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
	// Error is the reason why the process could not be queried. It is empty if the process answered.
	Error string `json:"error,omitempty"`
}

// Values of Status.Process: the processes of an entry VM.
const (
	processEntry  = "entry"
	processKeeper = "keeper"
)

// name returns the process as VM/process, or its address if it has not reported its VM.
func (s *Status) name() string {
	if s.VM == "" {
		return s.Address
	}
	return s.VM + "/" + s.Process
}

// target is a process whose status can be queried.
type target struct {
	vm      string
	process string
	address string
	// usesPeerListener is set if the address is a keeper's listener for peers, because the VM list has no operators' listener.
	usesPeerListener bool
}

// targets returns the processes of the fleet: those given by --operators, or else those of the entry VMs in the VM list.
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

// targetsOnVM returns the entry and the keeper of an entry VM. An entry without an operators' listener is left out, as it has no
// other way to report its status.
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

// readVMs returns the VM list of the platform at --vms or, if that fails, of the first of the --operators processes that
// answers.
func readVMs(ctx context.Context, cmd *cli.Command) ([]fleet.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var errs []error
	if base := cmd.String("vms"); base != "" {
		list, err := vmlist.NewClient(base).Wait(ctx, 0, 0)
		if err == nil {
			return list.VMs, nil
		}
		errs = append(errs, err)
	}
	for _, address := range cmd.StringSlice("operators") {
		var vms []fleet.VM
		err := fetchJSON(ctx, "http://"+address+"/vms", &vms)
		if err == nil {
			return vms, nil
		}
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return nil, errors.New("set --vms or --operators to locate the VM list")
	}
	return nil, errors.Join(append(errs, ErrUnreachable)...)
}

// fetchJSON decodes the JSON at a URL into the given value. At most maxStatusBytes are read.
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

// queryStatuses queries the targets concurrently and returns their statuses in the order of the targets. A failed query is
// reported in Status.Error.
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

// queryStatus queries one process. A process that does not name its kind is a keeper if it reports calls to the store.
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

// queryKeeper reads a keeper's revision from its listener for peers, by the exchange in which a keeper without a catalogue
// announces itself.
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
