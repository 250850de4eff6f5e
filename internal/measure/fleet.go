package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseladder/primroseladder/client"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/load"
	"github.com/primroseladder/primroseladder/internal/outcome"
	"github.com/primroseladder/primroseladder/internal/standin/backendserver"
	"github.com/primroseladder/primroseladder/internal/vmlist"
)

// Fleet is a running fleet of real processes.
type Fleet struct {
	// VMListURL is the base URL of the VM list.
	VMListURL  string
	KeeperURLs []string
	// Services are measured side by side, each with load of its own.
	Services []string
	// JournalDir is the folder with the journals of the backend servers.
	JournalDir string
	Seeds      int
}

// NamedFault is a fault of a stand-in backend server.
type NamedFault struct {
	Name  string
	Fault backendserver.Fault
}

// FleetFaults returns the faults that are set on a backend server of the fleet.
func FleetFaults() []NamedFault {
	return []NamedFault{
		{"errors on all work", backendserver.Fault{ErrorPercent: 100}},
		{"errors on a third of the work", backendserver.Fault{ErrorPercent: 33}},
		{"answers lost", backendserver.Fault{LoseAnswers: true}},
		{"answers truncated", backendserver.Fault{Truncate: true}},
		{"slow x3", backendserver.Fault{SlowFactor: 3}},
		{"slow x10", backendserver.Fault{SlowFactor: 10}},
		{"errors, on and off each second", backendserver.Fault{ErrorPercent: 100, FlapMS: 1000}},
	}
}

// FleetRow is what one fault did to one service.
type FleetRow struct {
	Service string `json:"service"`
	Fault   string `json:"fault"`
	Runs    int    `json:"runs"`
	// RequestsBefore counts the requests on the sick one in the half second before the fault. A run in which there were none
	// says nothing on detection, and counts as one without a value.
	RequestsBefore Summary `json:"work_before"`
	// DetectionMS is the time from onset to the last request before the first pause of work on the sick one.
	DetectionMS Summary `json:"detection_ms"`
	// RequestsUntilDetection counts the requests on the sick one until then, and LaterWork those after it while the fault lasts,
	// which are trials but for requests of VMs that had not yet heard.
	RequestsUntilDetection Summary `json:"work_on_sick"`
	RequestsAfterDetection Summary `json:"later_work"`
	GoodputPercent         Summary `json:"goodput_percent"`
	UnknownOr5xx           Summary `json:"unknown_or_5xx"`
	Refused                Summary `json:"refused"`
	AddedP50MS             Summary `json:"added_p50_ms"`
	AddedP99MS             Summary `json:"added_p99_ms"`
	// NotAccounted counts requests for which the audit found a broken promise. It must be 0.
	NotAccounted int `json:"not_accounted"`
}

const (
	fleetRate    = 200
	beforeFault  = 1500 * time.Millisecond
	faultTime    = 5 * time.Second
	afterFault   = 500 * time.Millisecond
	fleetTimeout = 3 * time.Second
	justBefore   = 500 * time.Millisecond
	// pauseOfWork on a backend server means that all VMs have it out. At the rate of the load it does not come by chance.
	pauseOfWork = time.Second
)

// run is one run against one service.
type run struct {
	before, detection, work, later, goodput, lost, refused, p50, p99 float64
	notAccounted                                                     int
}

// Measure runs each fault with so many seeds, one backend server after the other.
func (f *Fleet) Measure(ctx context.Context) ([]FleetRow, error) {
	list, err := vmlist.NewClient(f.VMListURL).Wait(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	view := fleet.NewView(list.Index, list.VMs)
	var rows []FleetRow
	turn := 0
	for _, fault := range FleetFaults() {
		perService := make([][]run, len(f.Services))
		for range f.Seeds {
			turn++
			if err := f.runAll(ctx, view, fault, turn, perService); err != nil {
				return nil, err
			}
		}
		for i, service := range f.Services {
			rows = append(rows, rowOf(service, fault.Name, perService[i]))
		}
	}
	return rows, nil
}

// runAll runs one fault against all services side by side.
func (f *Fleet) runAll(ctx context.Context, view *fleet.View, fault NamedFault, turn int, out [][]run) error {
	errs := make([]error, len(f.Services))
	var wg sync.WaitGroup
	for i, service := range f.Services {
		wg.Go(func() {
			servers := view.Backends[service]
			r, err := f.runOne(ctx, service, servers, servers[turn%len(servers)], fault.Fault, uint64(turn))
			out[i] = append(out[i], r)
			errs[i] = err
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (f *Fleet) runOne(ctx context.Context, service string, servers []fleet.VM, sick fleet.VM, fault backendserver.Fault, seed uint64) (run, error) {
	reports := make(chan *load.Report, 1)
	go func() { reports <- f.send(ctx, service, servers, seed) }()
	time.Sleep(beforeFault)
	begin := time.Now()
	if err := setFault(ctx, sick.Address, fault); err != nil {
		return run{}, err
	}
	time.Sleep(faultTime)
	end := time.Now()
	if err := setFault(ctx, sick.Address, backendserver.Fault{}); err != nil {
		return run{}, err
	}
	report := <-reports
	runs, err := f.journal(sick.Name)
	if err != nil {
		return run{}, err
	}
	r := judge(report, runs, begin, end)
	counts, unreachable := load.FetchRuns(ctx, servers)
	audit := load.Check(report.Requests, counts)
	r.notAccounted = audit.RunTwice + audit.FalseNotRun + audit.NotWhole + audit.Missing + unreachable
	return r, nil
}

// send sends the load of a service, an equal part in each region, since a caller uses the VMs of one region.
func (f *Fleet) send(ctx context.Context, service string, servers []fleet.VM, seed uint64) *load.Report {
	regions := regionsOf(servers)
	parts := make([]*load.Report, len(regions))
	var wg sync.WaitGroup
	for i, region := range regions {
		wg.Go(func() {
			caller := client.New(client.Settings{Keepers: f.KeeperURLs, Region: region})
			parts[i] = load.Run(ctx, []*client.Client{caller}, load.Plan{
				Service: service, Target: "/" + service + "/x", Rate: fleetRate / float64(len(regions)),
				Duration: beforeFault + faultTime + afterFault, NonIdempotentPercent: 50, Organisations: 50,
				Seed: seed*uint64(len(regions)) + uint64(i), Timeout: fleetTimeout,
			})
		})
	}
	wg.Wait()
	whole := parts[0]
	for _, part := range parts[1:] {
		whole.Requests = append(whole.Requests, part.Requests...)
		whole.Latency.Merge(part.Latency)
		whole.Added.Merge(part.Added)
	}
	return whole
}

func regionsOf(vms []fleet.VM) []string {
	var regions []string
	for _, vm := range vms {
		regions = append(regions, vm.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

func setFault(ctx context.Context, address string, fault backendserver.Fault) error {
	content, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/control/fault", bytes.NewReader(content))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return nil
}

func (f *Fleet) journal(vm string) ([]backendserver.JournalRun, error) {
	content, err := os.ReadFile(filepath.Join(f.JournalDir, vm+".journal"))
	if err != nil {
		return nil, err
	}
	return backendserver.ReadJournal(strings.NewReader(string(content)))
}

// judge works out the figures of one run.
func judge(report *load.Report, runs []backendserver.JournalRun, begin, end time.Time) run {
	r := run{detection: -1, before: runsBetween(runs, begin.Add(-justBefore), begin)}
	last := begin
	for _, one := range runs {
		if one.At.Before(begin) || one.At.After(end) {
			continue
		}
		if r.detection < 0 && one.At.Sub(last) >= pauseOfWork {
			r.detection = milliseconds(last.Sub(begin))
		}
		if r.detection >= 0 {
			r.later++
		} else {
			r.work++
		}
		last = one.At
	}
	if r.detection < 0 && end.Sub(last) >= pauseOfWork {
		r.detection = milliseconds(last.Sub(begin))
	}
	if r.before == 0 {
		r.detection = -1
	}
	good := 0
	for _, s := range report.Requests {
		switch {
		case s.Outcome == string(outcome.NotRun):
			r.refused++
		case s.Outcome != string(outcome.Done) || s.Status >= http.StatusInternalServerError:
			r.lost++
		default:
			good++
		}
	}
	r.goodput = percent(good, len(report.Requests))
	r.p50 = float64(report.Added.ValueAtQuantile(50)) / 1000
	r.p99 = float64(report.Added.ValueAtQuantile(99)) / 1000
	return r
}

func runsBetween(runs []backendserver.JournalRun, from, to time.Time) float64 {
	count := 0.0
	for _, one := range runs {
		if one.At.After(from) && one.At.Before(to) {
			count++
		}
	}
	return count
}

func rowOf(service, fault string, runs []run) FleetRow {
	over := func(value func(run) float64) Summary {
		var values []float64
		for _, r := range runs {
			values = append(values, value(r))
		}
		return spreadOf(values)
	}
	row := FleetRow{
		Service: service, Fault: fault, Runs: len(runs),
		RequestsBefore:         over(func(r run) float64 { return r.before }),
		DetectionMS:            over(func(r run) float64 { return r.detection }),
		RequestsUntilDetection: over(func(r run) float64 { return r.work }),
		RequestsAfterDetection: over(func(r run) float64 { return r.later }),
		GoodputPercent:         over(func(r run) float64 { return r.goodput }),
		UnknownOr5xx:           over(func(r run) float64 { return r.lost }),
		Refused:                over(func(r run) float64 { return r.refused }),
		AddedP50MS:             over(func(r run) float64 { return r.p50 }),
		AddedP99MS:             over(func(r run) float64 { return r.p99 }),
	}
	for _, r := range runs {
		row.NotAccounted += r.notAccounted
	}
	return row
}
