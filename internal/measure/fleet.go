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

// Fleet is a running fleet of real processes, with the settings of its measurement.
type Fleet struct {
	// VMListURL is the base URL of the platform's VM list.
	VMListURL string
	// KeeperURLs are the base URLs of the keepers' listeners for callers.
	KeeperURLs []string
	// Services are measured at the same time, each with its own load.
	Services []string
	// JournalDir is the directory with the journals of the backend servers.
	JournalDir string
	// Seeds is the number of runs with each fault.
	Seeds int
}

// NamedFault is a fault of a stand-in backend server with its name in the report.
type NamedFault struct {
	Name  string
	Fault backendserver.Fault
}

// FleetFaults returns the faults that Measure injects into a backend server of each service.
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

// FleetRow is what one fault of one backend server did to its service.
type FleetRow struct {
	Service string `json:"service"`
	Fault   string `json:"fault"`
	Runs    int    `json:"runs"`
	// RequestsBefore counts the requests to the faulty backend server in the half second before the fault. A run without
	// such requests gives no evidence on detection, so its detection time counts as missing.
	RequestsBefore Summary `json:"work_before"`
	// DetectionMS is the time from the onset of the fault to the last request before the first pause of detectionPause in
	// the requests to the faulty backend server.
	DetectionMS Summary `json:"detection_ms"`
	// RequestsUntilDetection counts the requests to the faulty backend server during the fault up to that pause, or
	// during the whole fault if there is no such pause. RequestsAfterDetection counts those after the pause. The latter are
	// trials, and requests of VMs that had not yet received the opinions of others.
	RequestsUntilDetection Summary `json:"work_on_sick"`
	RequestsAfterDetection Summary `json:"later_work"`
	GoodputPercent         Summary `json:"goodput_percent"`
	UnknownOr5xx           Summary `json:"unknown_or_5xx"`
	Refused                Summary `json:"refused"`
	AddedP50MS             Summary `json:"added_p50_ms"`
	AddedP99MS             Summary `json:"added_p99_ms"`
	// NotAccounted counts the broken promises that the audit of the requests found, and the backend servers that it could
	// not read. It must be 0.
	NotAccounted int `json:"not_accounted"`
}

const (
	requestsPerSecond = 200
	timeBeforeFault   = 1500 * time.Millisecond
	faultDuration     = 5 * time.Second
	timeAfterFault    = 500 * time.Millisecond
	requestTimeout    = 3 * time.Second
	workBeforeWindow  = 500 * time.Millisecond
	// A backend server without requests for detectionPause has been ejected by all VMs. At this rate of requests such a
	// pause does not occur by chance.
	detectionPause = time.Second
)

// runResult is the result of one run against one service. Its fields are those of FleetRow; detectionMS is -1 if missing.
type runResult struct {
	requestsBefore, detectionMS, untilDetection, afterDetection   float64
	goodputPercent, unknownOr5xx, refused, addedP50MS, addedP99MS float64

	notAccounted int
}

// Measure injects each fault f.Seeds times. Each run uses the next backend server of each service.
func (f *Fleet) Measure(ctx context.Context) ([]FleetRow, error) {
	list, err := vmlist.NewClient(f.VMListURL).Wait(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	view := fleet.NewView(list.Index, list.VMs)
	var rows []FleetRow
	runNumber := 0
	for _, fault := range FleetFaults() {
		perService := make([][]runResult, len(f.Services))
		for range f.Seeds {
			runNumber++
			if err := f.runAll(ctx, view, fault, runNumber, perService); err != nil {
				return nil, err
			}
		}
		for i, service := range f.Services {
			rows = append(rows, newFleetRow(service, fault.Name, perService[i]))
		}
	}
	return rows, nil
}

// runAll runs one fault against all services at the same time and adds the results to out.
func (f *Fleet) runAll(ctx context.Context, view *fleet.View, fault NamedFault, runNumber int, out [][]runResult) error {
	errs := make([]error, len(f.Services))
	var wg sync.WaitGroup
	for i, service := range f.Services {
		wg.Go(func() {
			servers := view.Backends[service]
			r, err := f.runOne(ctx, service, servers, servers[runNumber%len(servers)], fault.Fault, uint64(runNumber))
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

func (f *Fleet) runOne(ctx context.Context, service string, servers []fleet.VM, faulty fleet.VM, fault backendserver.Fault, seed uint64) (runResult, error) {
	reports := make(chan *load.Report, 1)
	go func() { reports <- f.send(ctx, service, servers, seed) }()
	time.Sleep(timeBeforeFault)
	begin := time.Now()
	if err := setFault(ctx, faulty.Address, fault); err != nil {
		return runResult{}, err
	}
	time.Sleep(faultDuration)
	end := time.Now()
	if err := setFault(ctx, faulty.Address, backendserver.Fault{}); err != nil {
		return runResult{}, err
	}
	report := <-reports
	runs, err := f.readJournal(faulty.Name)
	if err != nil {
		return runResult{}, err
	}
	r := analyze(report, runs, begin, end)
	counts, unreachable := load.FetchRuns(ctx, servers)
	audit := load.AuditRequests(report.Requests, counts)
	r.notAccounted = audit.RunTwice + audit.FalseNotRun + audit.AnswerMismatch + audit.FalseDone + unreachable
	return r, nil
}

// send sends the load of a service. Each region has its own caller with an equal part of the load, since a caller uses
// the VMs of one region.
func (f *Fleet) send(ctx context.Context, service string, servers []fleet.VM, seed uint64) *load.Report {
	regions := regionsOf(servers)
	parts := make([]*load.Report, len(regions))
	var wg sync.WaitGroup
	for i, region := range regions {
		wg.Go(func() {
			caller := client.New(client.Settings{Keepers: f.KeeperURLs, Region: region})
			parts[i] = load.Run(ctx, []*client.Client{caller}, load.Plan{
				Service: service, Target: "/" + service + "/x", Rate: requestsPerSecond / float64(len(regions)),
				Duration: timeBeforeFault + faultDuration + timeAfterFault, NonIdempotentPercent: 50, Organisations: 50,
				Seed: seed*uint64(len(regions)) + uint64(i), Timeout: requestTimeout,
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
		return fmt.Errorf("set fault of backend server %s: status %d", address, resp.StatusCode)
	}
	return nil
}

func (f *Fleet) readJournal(vm string) ([]backendserver.JournalRun, error) {
	content, err := os.ReadFile(filepath.Join(f.JournalDir, vm+".journal"))
	if err != nil {
		return nil, err
	}
	return backendserver.ReadJournal(strings.NewReader(string(content)))
}

// analyze calculates the result of one run from the load report and the journal of the faulty backend server.
func analyze(report *load.Report, runs []backendserver.JournalRun, begin, end time.Time) runResult {
	r := runResult{detectionMS: -1, requestsBefore: countBetween(runs, begin.Add(-workBeforeWindow), begin)}
	last := begin
	for _, journalRun := range runs {
		if journalRun.At.Before(begin) || journalRun.At.After(end) {
			continue
		}
		if r.detectionMS < 0 && journalRun.At.Sub(last) >= detectionPause {
			r.detectionMS = milliseconds(last.Sub(begin))
		}
		if r.detectionMS >= 0 {
			r.afterDetection++
		} else {
			r.untilDetection++
		}
		last = journalRun.At
	}
	if r.detectionMS < 0 && end.Sub(last) >= detectionPause {
		r.detectionMS = milliseconds(last.Sub(begin))
	}
	if r.requestsBefore == 0 {
		r.detectionMS = -1
	}
	good := 0
	for _, s := range report.Requests {
		switch {
		case s.Outcome == string(outcome.NotRun):
			r.refused++
		case s.Outcome != string(outcome.Done) || s.Status >= http.StatusInternalServerError:
			r.unknownOr5xx++
		default:
			good++
		}
	}
	r.goodputPercent = percent(good, len(report.Requests))
	r.addedP50MS = float64(report.Added.ValueAtQuantile(50)) / 1000
	r.addedP99MS = float64(report.Added.ValueAtQuantile(99)) / 1000
	return r
}

func countBetween(runs []backendserver.JournalRun, from, to time.Time) float64 {
	count := 0.0
	for _, journalRun := range runs {
		if journalRun.At.After(from) && journalRun.At.Before(to) {
			count++
		}
	}
	return count
}

func newFleetRow(service, fault string, runs []runResult) FleetRow {
	summarizeField := func(value func(runResult) float64) Summary {
		var values []float64
		for _, r := range runs {
			values = append(values, value(r))
		}
		return summarize(values)
	}
	row := FleetRow{
		Service: service, Fault: fault, Runs: len(runs),
		RequestsBefore:         summarizeField(func(r runResult) float64 { return r.requestsBefore }),
		DetectionMS:            summarizeField(func(r runResult) float64 { return r.detectionMS }),
		RequestsUntilDetection: summarizeField(func(r runResult) float64 { return r.untilDetection }),
		RequestsAfterDetection: summarizeField(func(r runResult) float64 { return r.afterDetection }),
		GoodputPercent:         summarizeField(func(r runResult) float64 { return r.goodputPercent }),
		UnknownOr5xx:           summarizeField(func(r runResult) float64 { return r.unknownOr5xx }),
		Refused:                summarizeField(func(r runResult) float64 { return r.refused }),
		AddedP50MS:             summarizeField(func(r runResult) float64 { return r.addedP50MS }),
		AddedP99MS:             summarizeField(func(r runResult) float64 { return r.addedP99MS }),
	}
	for _, r := range runs {
		row.NotAccounted += r.notAccounted
	}
	return row
}
