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

// Page is what the template shows.
type Page struct {
	Machine string
	Target  Size
	Rows    []Row
	Totals  []Row
	Series  []*Series
	// First is the row that breaks first, at FirstAt VMs.
	First   Row
	FirstAt float64
	// Second is the one that breaks first once First has its mechanism.
	Second   Row
	SecondAt float64
	Spread   SpreadResult
	Days     Days
	Numbers  Numbers
}

// Numbers are single figures of the page.
type Numbers struct {
	KeyBytes, AddressesPerSecond, StoreCallsPerChange  float64
	StoreReads, StoreWrites, CatalogueBytes, ListBytes float64
	GroupNS, KnownGroupNS, HomeNS                      float64
}

// Days are the costs of bad days.
type Days struct {
	RackVMs, ZoneVMs, ZoneStepBytes, RegroupSeconds, WakePerVM float64
}

// rackVMs is how many VMs a rack holds.
const rackVMs = 40

// storeWatchersPerRegion is how many keepers of a region wait at the store.
const storeWatchersPerRegion = 2

// removedRefBytes is about what a VM that is gone takes in a step of the list.
const removedRefBytes = 35

// spreadPlan is the way of a change in one region of the target.
var spreadPlan = SpreadPlan{
	Keepers: Target.EntryVMs / Target.Regions, Watchers: storeWatchersPerRegion, FanOut: 3, Hop: 5 * time.Millisecond,
	RepairInterval: time.Second, LossPercent: 5, Seed: 1,
}

// NewPage works out the page.
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

// totals adds up the rows of each role and resource. Of memory the greatest row counts.
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

// firstToExceedLimit returns the row with the smallest fleet at which it meets its limit.
func firstToExceedLimit(rows []Row) (Row, float64) {
	first := slices.MinFunc(rows, func(a, b Row) int { return cmp.Compare(fleetSizeAtLimit(a), fleetSizeAtLimit(b)) })
	return first, fleetSizeAtLimit(first)
}

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

// formatNumber shows three digits, and groups thousands.
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
