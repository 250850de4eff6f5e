package capacity

import (
	"cmp"
	_ "embed"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/template"
	"time"
)

//go:embed page.md.tmpl
var pageTemplate string

// Page is the data of the page template.
type Page struct {
	Machine string
	Target  Size
	Rows    []Row
	Totals  []Row
	Series  []*Series
	// First is the row that reaches its limit at the smallest fleet, of FirstAt VMs.
	First   Row
	FirstAt float64
	// Second is the row that reaches its limit next, at SecondAt VMs, if the rows with the item of First are left
	// out, as if the mechanism of First were in place.
	Second   Row
	SecondAt float64
	Spread   SpreadResult
	Days     Days
	Numbers  Numbers
}

// Numbers are figures that the page's text quotes.
type Numbers struct {
	KeyBytes, AddressesPerSecond, StoreCallsPerChange  float64
	StoreReads, StoreWrites, CatalogueBytes, ListBytes float64
	GroupNS, KnownGroupNS, HomeNS                      float64
}

// Days are the costs of failures of racks, zones and regions, and of a start of the whole fleet.
type Days struct {
	// RackVMs and ZoneVMs are the numbers of VMs in a rack and in a zone.
	RackVMs, ZoneVMs float64
	// ZoneStepBytes is the approximate size of the VM list delta that removes a zone.
	ZoneStepBytes float64
	// RegroupSeconds is the processor time for which a keeper calculates the groups anew after a change of an entry VM.
	RegroupSeconds float64
	// WakePerVM is the number of requests a second to each entry VM when the target's whole load starts at once.
	WakePerVM float64
}

// rackVMs is the number of VMs in a rack.
const rackVMs = 40

// storeWatchersPerRegion is the number of keepers of a region that watch the store.
const storeWatchersPerRegion = 2

// removedRefBytes is the approximate size of a removed VM in a delta of the VM list.
const removedRefBytes = 35

// spreadPlan describes how a change spreads in one region of the target.
var spreadPlan = SpreadPlan{
	Keepers: Target.EntryVMs / Target.Regions, Watchers: storeWatchersPerRegion, FanOut: 3, Hop: 5 * time.Millisecond,
	RepairInterval: time.Second, LossPercent: 5, Seed: 1,
}

// NewPage calculates the page from the measurements. It returns an error if a benchmark is missing.
func NewPage(m *Measurements) (*Page, error) {
	rows, err := Rows(m)
	if err != nil {
		return nil, err
	}
	b := &rowBuilder{m: m}
	n := targetVMs()
	p := &Page{
		Machine: m.Machine, Target: Target, Rows: rows, Series: m.Series(), Spread: Spread(spreadPlan), Totals: totals(rows),
		Numbers: Numbers{
			KeyBytes:            b.valueAt("RememberedKeys", UnitHeapBytes, 100_000) / 100_000,
			AddressesPerSecond:  1 / (nanosecond * b.valueAt("Addresses", UnitNanoseconds, float64(Target.EntryVMs))),
			StoreCallsPerChange: b.valueAt("StoreWrite", UnitCalls, 1),
			StoreWrites:         2 * changesPerSecond,
			StoreReads:          changesPerSecond*float64(1+storeWatchersPerRegion*Target.Regions) + float64(storeWatchersPerRegion*Target.Regions),
			CatalogueBytes:      b.valueAt("KeeperCatalogue", UnitWireBytes, float64(Target.Services)),
			ListBytes:           b.valueAt("KeeperList", UnitWireBytes, n),
			GroupNS:             b.valueAt("Group", UnitNanoseconds, float64(Target.EntryVMs)),
			KnownGroupNS:        b.valueAt("KnownGroup", UnitNanoseconds, float64(Target.EntryVMs)),
			HomeNS:              b.valueAt("HomeOfKey", UnitNanoseconds, float64(Target.EntryVMs)),
		},
		Days: Days{
			RackVMs: rackVMs, ZoneVMs: n / float64(Target.Zones), ZoneStepBytes: n / float64(Target.Zones) * removedRefBytes,
			RegroupSeconds: nanosecond * b.valueAt("Feed/entry", UnitNanoseconds, n),
			WakePerVM:      RequestsPerSecond / float64(Target.EntryVMs),
		},
	}
	p.First, p.FirstAt = firstToExceedLimit(rows)
	p.Second, p.SecondAt = firstToExceedLimit(slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Item == p.First.Item }))
	return p, b.err
}

// totals returns the sum of the rows for each role and resource. For memory it returns the highest row in
// place of the sum. Unusual costs are left out.
func totals(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
		if r.IsUnusual {
			continue
		}
		i := slices.IndexFunc(out, func(t Row) bool { return t.Role == r.Role && t.Resource == r.Resource })
		if i < 0 {
			out = append(out, Row{Role: r.Role, Resource: r.Resource, Item: "total"})
			i = len(out) - 1
		}
		if r.Resource == ResourceMemory {
			out[i].Value = max(out[i].Value, r.Value)
			continue
		}
		out[i].Value += r.Value
	}
	return out
}

// firstToExceedLimit returns the row that reaches its limit at the smallest fleet, and the number of VMs of that fleet.
func firstToExceedLimit(rows []Row) (Row, float64) {
	first := slices.MinFunc(rows, func(a, b Row) int { return cmp.Compare(fleetSizeAtLimit(a), fleetSizeAtLimit(b)) })
	return first, fleetSizeAtLimit(first)
}

// fleetSizeAtLimit returns the number of VMs at which the row reaches its limit. It is infinite for a cost that does not
// grow with the fleet.
func fleetSizeAtLimit(r Row) float64 {
	if r.GrowthExponent == 0 {
		return math.Inf(1)
	}
	return targetVMs() * math.Pow(r.Share(), -1/r.GrowthExponent)
}

// Write renders the page.
func (p *Page) Write(w io.Writer) error {
	functions := template.FuncMap{
		"verdict": formatShare, "bytes": formatBytes, "number": formatNumber, "slope": formatSlope, "sizes": formatPoints, "ms": formatMilliseconds,
		"percent": func(x float64) string { return formatNumber(100*x) + " %" }, "miss": rowsOverLimit,
	}
	t, err := template.New("page").Funcs(functions).Parse(pageTemplate)
	if err != nil {
		return err
	}
	return t.Execute(w, p)
}

func rowsOverLimit(rows []Row) []Row {
	return slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Share() <= 1 })
}

func formatShare(r Row) string {
	if r.Share() > 1 {
		return fmt.Sprintf("**miss, %s times**", formatNumber(r.Share()))
	}
	return fmt.Sprintf("%.1f %% of it", 100*r.Share())
}

// formatNumber formats x with three significant digits, or from 1000 on as a whole number with grouped thousands.
func formatNumber(x float64) string {
	if math.Abs(x) < 1000 {
		return fmt.Sprintf("%.3g", x)
	}
	digits := fmt.Sprintf("%.0f", x)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

func formatMilliseconds(d time.Duration) string {
	return formatNumber(float64(d)/float64(time.Millisecond)) + " ms"
}

func formatSlope(s *Series) string {
	if len(s.Points) < 2 {
		return "-"
	}
	slope, _ := s.Line()
	return formatNumber(slope)
}

func formatPoints(s *Series) string {
	var parts []string
	for _, p := range s.Points {
		parts = append(parts, fmt.Sprintf("%s: %s", formatNumber(p.N), formatNumber(p.Value)))
	}
	return strings.Join(parts, "; ")
}
