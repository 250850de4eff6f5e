package scenario

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/standin/kv"
	"github.com/primroseladder/primroseladder/internal/standin/vms"
)

// platform is the test double of the users' platform: a key-value service and VM lists, served by the test process. Each
// viewer has a VM list of its own, whose addresses are those of the viewer's relays.
type platform struct {
	address string
	server  *http.Server
	router  *mux.Router

	mu    sync.Mutex
	lists map[string]*vms.Service
	// initialLists are the VM lists by viewer as they were at the start, for restoreVM.
	initialLists map[string][]fleet.VM
	// listLag is the delay after which changes of the VM lists become visible.
	listLag time.Duration
}

func newPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		address: listener.Addr().String(), router: mux.NewRouter(), lists: map[string]*vms.Service{},
		initialLists: map[string][]fleet.VM{},
	}
	kv.New().Register(p.router)
	p.server = &http.Server{Handler: p.router}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

// addViewer registers the VM list of a viewer. It must be called before the first request.
func (p *platform) addViewer(viewer string, list []fleet.VM) {
	service := vms.New(list)
	service.Register(p.router.PathPrefix("/viewer/" + viewer).Subrouter())
	p.lists[viewer], p.initialLists[viewer] = service, list
}

// setListLag sets the delay after which later changes of the VM lists become visible.
func (p *platform) setListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = lag
}

// setState changes the state of a VM in all VM lists after the list lag. The state "gone" removes the VM.
func (p *platform) setState(name, state string) {
	p.mu.Lock()
	lag := p.listLag
	p.mu.Unlock()
	if lag == 0 {
		p.updateState(name, state)
		return
	}
	time.AfterFunc(lag, func() { p.updateState(name, state) })
}

// stateGone removes a VM from the VM lists. Unlike the states of package fleet it never appears in a list.
const stateGone = "gone"

func (p *platform) updateState(name, state string) {
	for _, list := range p.lists {
		list.Update(func(all []fleet.VM) []fleet.VM { return withState(all, name, state) })
	}
}

// withState returns a copy of a VM list in which one VM has another state, or is missing for stateGone.
func withState(all []fleet.VM, name, state string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range all {
		if vm.Name == name && state == stateGone {
			continue
		}
		if vm.Name == name {
			vm.State = fleet.State(state)
		}
		out = append(out, vm)
	}
	return out
}

// setStoreFault sets the fault of the key-value service. The zero value clears it.
func (p *platform) setStoreFault(f kv.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return put("http://"+p.address+"/control/kv", string(body))
}

// storeCalls returns how many calls the key-value service has received.
func (p *platform) storeCalls() (int, error) {
	body, err := get("http://" + p.address + "/control/kv")
	if err != nil {
		return 0, err
	}
	var statistics struct {
		Calls map[string]int `json:"calls"`
	}
	if err := json.Unmarshal(body, &statistics); err != nil {
		return 0, fmt.Errorf("decode call counts of the store: %w", err)
	}
	total := 0
	for _, n := range statistics.Calls {
		total += n
	}
	return total, nil
}
