package capacity

import (
	"fmt"

	"github.com/primroseladder/primroseladder/internal/placement"
)

// Basis is where a figure comes from.
type Basis string

// The bases of a figure.
const (
	// BasisMeasured is a figure calculated from measured slopes.
	BasisMeasured Basis = "measured slope"
	// BasisArgued is a figure derived from the design; no run shows it.
	BasisArgued Basis = "argued"
)

// Resource is the resource that a row uses.
type Resource string

// The resources that have a limit for each node.
const (
	ResourceCore   Resource = "core"
	ResourceMemory Resource = "memory"
	ResourceBytes  Resource = "bytes/s"
)

// Row is one cost of one role at the target.
type Row struct {
	Role     string
	Resource Resource
	Item     string
	// Value is a share of a core, bytes, or bytes a second.
	Value float64
	Basis Basis
	// Mechanism is what limits the cost, or what would limit it.
	Mechanism string
	// IsUnusual is set for a cost that does not arise in normal operation: one of an exceptional load, or one that a limit
	// such as a token bucket prevents. It is excluded from the totals.
	IsUnusual bool
	// GrowthExponent is the power of the fleet's size with which the value grows.
	GrowthExponent float64
}

// Limit returns how much of the row's resource the control work of a node may use.
func (r Row) Limit() float64 {
	switch r.Resource {
	case ResourceCore:
		return CoreShareLimit
	case ResourceMemory:
		return MemoryLimitBytes
	default:
		return BytesPerSecondLimit
	}
}

// Share returns the value as a fraction of the limit.
func (r Row) Share() float64 { return r.Value / r.Limit() }

// Figure formats the value with its unit.
func (r Row) Figure() string {
	switch r.Resource {
	case ResourceCore:
		return fmt.Sprintf("%.3f %% of a core", 100*r.Value)
	case ResourceMemory:
		return formatBytes(r.Value)
	default:
		return formatBytes(r.Value) + "/s"
	}
}

func formatBytes(n float64) string {
	switch {
	case n >= 1<<20:
		return fmt.Sprintf("%.1f MB", n/(1<<20))
	case n >= 1<<10:
		return fmt.Sprintf("%.1f KB", n/(1<<10))
	default:
		return fmt.Sprintf("%.0f B", n)
	}
}

// Rates and factors that follow from the target and the design.
const (
	changesPerSecond = float64(ChangesPerDay) / SecondsPerDay
	// listStepsPerDay is the number of deltas of the VM list. A replaced VM causes three: leaving, removed and new.
	listStepsPerDay = 3*ReplacementsPerDay + FailuresPerDay
	// exchangesPerSecond is the mean number of comparisons that a keeper of a large region starts and answers. It starts
	// one each two seconds with its parent and a quarter as many with a random keeper of its region. It answers as many as it
	// starts.
	exchangesPerSecond = 1.25
	// announcementsPerChange is the mean number of announcements that a keeper sends and receives for each change. Only
	// keepers to which the change was not pushed down the tree announce it.
	announcementsPerChange = 0.1
	// copiesPerChange is the mean number of copies of a change that a keeper receives and sends.
	copiesPerChange = 2
	// copiesPerListStep is the mean number of copies of a VM list delta that a keeper receives and sends: in each
	// direction one along the tree and one with a random keeper.
	copiesPerListStep = 4
	// boardTicksPerSecond is how often an entry ticks each health board.
	boardTicksPerSecond = 20
	// opinionBytesPerSecond is a keeper's budget for sending opinions.
	opinionBytesPerSecond = 2048
	// gcHeadroom is the ratio to which the heap grows between two collections, with Go's default setting.
	gcHeadroom = 2
	// keeperGCHeadroom is the same ratio with a keeper's setting.
	keeperGCHeadroom = 1.4
)

// serversPerService is the number of backend servers of a service at the target, rounded up. They share one health board.
const serversPerService = 18

func targetVMs() float64 { return float64(Target.EntryVMs + Target.BackendServers) }

// servicesPerEntryVM returns the mean number of services whose group contains a given entry VM.
func servicesPerEntryVM() float64 {
	return float64(Target.Services*placement.DefaultGroupSize) * float64(Target.Regions) / float64(Target.EntryVMs)
}

// entryVMShare returns the fraction of the VM list's deltas that concern entry VMs.
func entryVMShare() float64 { return float64(Target.EntryVMs) / targetVMs() }

// rowBuilder calculates rows. err is the first error.
type rowBuilder struct {
	m    *Measurements
	rows []Row
	err  error
}

// valueAt returns the value of a benchmark extrapolated to size n. It returns 0 and records an error if the benchmark is
// missing.
func (b *rowBuilder) valueAt(benchmark string, unit Unit, n float64) float64 {
	s, err := b.m.Get(benchmark, unit)
	if err != nil {
		if b.err == nil {
			b.err = err
		}
		return 0
	}
	return s.At(n)
}

func (b *rowBuilder) add(r Row) { b.rows = append(b.rows, r) }

// Rows returns the costs of all roles at the target.
func Rows(m *Measurements) ([]Row, error) {
	b := &rowBuilder{m: m}
	b.keeperCore()
	b.keeperMemory()
	b.keeperBytes()
	b.entryRows()
	return b.rows, b.err
}

const nanosecond = 1e-9

const (
	roleKeeper     = "keeper"
	roleListReader = "list reader (2 a region)"
	itemListRead   = "reading the platform's VM list at each step"
	itemListSteps  = "steps of the VM list from keeper to keeper"
	// listRelay is the mechanism that limits the cost of VM list deltas.
	listRelay = "two keepers of a region read the list; steps go down the tree of changes, and comparisons repair"
	// listFromPlatform is the mechanism that the list readers lack.
	listFromPlatform = "none yet: would be a list that the platform gives in steps, or by zone"
)

func (b *rowBuilder) keeperCore() {
	n := targetVMs()
	adopt := b.valueAt("KeeperAdoptChange", UnitNanoseconds, float64(Target.Services)) * nanosecond
	exchange := b.valueAt("Exchange", UnitNanoseconds, 1) * nanosecond
	b.add(Row{
		Role: roleKeeper, Resource: ResourceCore, Item: "comparisons and announcements", Basis: BasisMeasured, GrowthExponent: 1,
		Value:     (exchangesPerSecond+changesPerSecond*(announcementsPerChange+copiesPerChange))*exchange + changesPerSecond*adopt,
		Mechanism: "a fixed number of comparisons a second and of announcements a change, whatever the fleet's size",
	})
	backend := b.valueAt("Feed/backend", UnitNanoseconds, n) * nanosecond
	entry := b.valueAt("Feed/entry", UnitNanoseconds, n) * nanosecond
	perDay := listStepsPerDay * ((1-entryVMShare())*backend + entryVMShare()*entry)
	b.add(Row{
		Role: roleKeeper, Resource: ResourceCore, Item: "steps of the VM list to the entry", Basis: BasisMeasured, GrowthExponent: 2,
		Value:     perDay / SecondsPerDay,
		Mechanism: "steps instead of lists; groups are kept until an entry VM comes or goes",
	})
	step := b.valueAt("KeeperListStep", UnitNanoseconds, n) * nanosecond
	passed := b.valueAt("ListStep", UnitNanoseconds, 1) * nanosecond
	b.add(Row{
		Role: roleKeeper, Resource: ResourceCore, Item: itemListSteps, Basis: BasisMeasured, GrowthExponent: 2,
		Value: listStepsPerDay * (step + copiesPerListStep*passed) / SecondsPerDay, Mechanism: listRelay,
	})
	read := b.valueAt("WholeListRead", UnitNanoseconds, n) * nanosecond
	b.add(Row{
		Role: roleListReader, Resource: ResourceCore, Item: itemListRead, Basis: BasisMeasured, GrowthExponent: 2,
		Value: listStepsPerDay * read / SecondsPerDay, Mechanism: listFromPlatform,
	})
}

func (b *rowBuilder) keeperMemory() {
	heap := b.valueAt("KeeperState", UnitHeapBytes, targetVMs())
	b.add(Row{
		Role: roleKeeper, Resource: ResourceMemory, Item: "live heap: catalogue, last 1,024 changes, VM list, groups", Basis: BasisMeasured,
		Value: heap, Mechanism: "entries stay encoded; names of regions, zones and services are shared", GrowthExponent: 1,
	})
	b.add(Row{
		Role: roleKeeper, Resource: ResourceMemory, Item: "heap before a collection", Basis: BasisArgued, GrowthExponent: 1,
		Value: heap * keeperGCHeadroom, Mechanism: "a lower target of the collector",
	})
	list := b.valueAt("WholeListRead", UnitWireBytes, targetVMs())
	b.add(Row{
		Role: roleListReader, Resource: ResourceMemory, Item: "heap while a whole VM list is read: its text and a second list", Basis: BasisArgued, GrowthExponent: 1,
		Value: heap*keeperGCHeadroom + list + b.valueAt("KeeperList", UnitHeapBytes, targetVMs()), Mechanism: listFromPlatform,
	})
}

func (b *rowBuilder) keeperBytes() {
	empty := b.valueAt("Exchange", UnitWireBytes, 0)
	withChange := b.valueAt("Exchange", UnitWireBytes, 1)
	b.add(Row{
		Role: roleKeeper, Resource: ResourceBytes, Item: "comparisons without a change", Basis: BasisMeasured,
		Value: exchangesPerSecond * empty, Mechanism: "one or two comparisons a second, whatever the fleet's size", GrowthExponent: 0,
	})
	b.add(Row{
		Role: roleKeeper, Resource: ResourceBytes, Item: "changes of the catalogue", Basis: BasisMeasured, GrowthExponent: 1,
		Value:     changesPerSecond * (copiesPerChange*withChange + announcementsPerChange*empty),
		Mechanism: "a change is got once and passed on once on average; announcements carry a revision only",
	})
	b.add(Row{
		Role: roleKeeper, Resource: ResourceBytes, Item: "opinions on backend servers, held to", Basis: BasisArgued,
		Value: opinionBytesPerSecond, Mechanism: "token bucket; a newer opinion replaces one that waits", GrowthExponent: 0,
	})
	groupRate := float64(RequestsPerSecond) / float64(Target.Services*Target.Regions)
	opinions := servicesPerEntryVM() * b.valueAt("QuietOpinions", UnitOpinionRate, groupRate)
	opinionBytes := (b.valueAt("Share", UnitWireBytes, 8) - b.valueAt("Share", UnitWireBytes, 1)) / 7
	b.add(Row{
		Role: roleKeeper, Resource: ResourceBytes, Item: fmt.Sprintf("what the %.0f opinions a second of a quiet day would take without the bucket", opinions),
		Basis: BasisMeasured, GrowthExponent: 0, Value: opinions * opinionBytes, IsUnusual: true,
		Mechanism: "the bucket holds them to 2 KB/s, so that opinions wait; would be fewer weak opinions",
	})
	b.add(Row{
		Role: roleKeeper, Resource: ResourceBytes, Item: itemListSteps, Basis: BasisMeasured, GrowthExponent: 1,
		Value: listStepsPerDay * copiesPerListStep * b.valueAt("ListStep", UnitWireBytes, 1) / SecondsPerDay, Mechanism: listRelay,
	})
	list := b.valueAt("WholeListRead", UnitWireBytes, targetVMs())
	b.add(Row{
		Role: roleListReader, Resource: ResourceBytes, Item: itemListRead, Basis: BasisMeasured, GrowthExponent: 2,
		Value: listStepsPerDay * list / SecondsPerDay, Mechanism: listFromPlatform,
	})
	whole := b.valueAt("KeeperCatalogue", UnitWireBytes, float64(Target.Services)) + b.valueAt("KeeperList", UnitWireBytes, targetVMs())
	starts := ReplacementsPerDay * entryVMShare() / float64(Target.EntryVMs)
	b.add(Row{
		Role: roleKeeper, Resource: ResourceBytes, Item: "whole catalogue and list at the start of a keeper, mean over a day", Basis: BasisMeasured,
		Value: 2 * starts * whole / SecondsPerDay, Mechanism: "a starting keeper asks another one, not the store", GrowthExponent: 1,
	})
}

func (b *rowBuilder) entryRows() {
	n := targetVMs()
	adopt := b.valueAt("EntryAdoptChange", UnitNanoseconds, float64(Target.Services)) * nanosecond
	b.add(Row{
		Role: "entry", Resource: ResourceCore, Item: "adopting changes of the catalogue", Basis: BasisMeasured, GrowthExponent: 2,
		Value: changesPerSecond * adopt, Mechanism: "route table in 256 parts; a change copies the parts that it touches",
	})
	services := servicesPerEntryVM()
	quiet := b.valueAt("HealthIdleTick", UnitNanoseconds, serversPerService) * nanosecond
	busy := b.valueAt("HealthTick", UnitNanoseconds, serversPerService) * nanosecond
	b.add(Row{
		Role: "entry", Resource: ResourceCore, Item: fmt.Sprintf("ticks of the health boards of %.0f services, all quiet", services), Basis: BasisMeasured,
		Value: services * boardTicksPerSecond * quiet, Mechanism: "a quiet board returns at once", GrowthExponent: 0,
	})
	b.add(Row{
		Role: "entry", Resource: ResourceCore, Item: "the same with opinions of five VMs on every backend server", Basis: BasisMeasured, IsUnusual: true,
		Value: services * boardTicksPerSecond * busy, Mechanism: "bounded by the group's services; not expected but in a storm", GrowthExponent: 0,
	})
	boards := b.valueAt("HealthBoards", UnitHeapBytes, services*float64(Target.BackendServers)/float64(Target.Services))
	heap := b.valueAt("EntryState", UnitHeapBytes, n) + boards
	b.add(Row{
		Role: "entry", Resource: ResourceMemory, Item: "live heap: route table, entry VMs, own backend servers, health boards", Basis: BasisMeasured,
		Value: heap, Mechanism: "only services whose group has the VM; routes point into their entry", GrowthExponent: 1,
	})
	b.add(Row{
		Role: "entry", Resource: ResourceMemory, Item: "heap before a collection", Basis: BasisArgued,
		Value: heap * gcHeadroom, Mechanism: "default target of the collector", GrowthExponent: 1,
	})
}
