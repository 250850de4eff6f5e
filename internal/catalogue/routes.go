package catalogue

import (
	"maps"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a route table. A change copies only the shards that it modifies.
const shardCount = 256

// RouteTable finds the entry for a request path. It is immutable.
type RouteTable struct {
	byPrefix  [shardCount]map[string]routeTarget
	byService [shardCount]map[string]*Entry
}

// routeTarget refers to a route by its index in its entry.
type routeTarget struct {
	entry *Entry
	index int
}

// NewRouteTable returns the table of a set of entries.
func NewRouteTable(entries []*Entry) *RouteTable {
	return (&RouteTable{}).With(entries, nil)
}

// With returns a copy of the table in which the given entries are added or replaced and the removed services are
// deleted.
func (t *RouteTable) With(entries []*Entry, removed []string) *RouteTable {
	e := routeEdit{table: *t}
	for _, name := range removed {
		e.remove(name)
	}
	for _, entry := range entries {
		e.remove(entry.Service)
	}
	for _, entry := range entries {
		e.add(entry)
	}
	return &e.table
}

// Find returns the entry and the route with the longest prefix that matches path.
func (t *RouteTable) Find(path string) (*Entry, Route, bool) {
	for prefix := strings.TrimSuffix(path, "/"); ; {
		if target, ok := t.byPrefix[shardOf(prefix)][prefix]; ok {
			return target.entry, target.entry.Routes[target.index], true
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil, Route{}, false
		}
		prefix = prefix[:cut]
	}
}

// Service returns the entry of a service.
func (t *RouteTable) Service(name string) (*Entry, bool) {
	e, ok := t.byService[shardOf(name)][name]
	return e, ok
}

// Services returns a new map of all entries by service name. Its cost is proportional to the size of the catalogue.
func (t *RouteTable) Services() map[string]*Entry {
	all := map[string]*Entry{}
	for _, shard := range t.byService {
		maps.Copy(all, shard)
	}
	return all
}

func shardOf(key string) uint64 { return xxhash.Sum64String(key) % shardCount }

// routeEdit modifies a copy of a table. It copies each shard before the first write to it.
type routeEdit struct {
	table          RouteTable
	copiedPrefixes [shardCount]bool
	copiedServices [shardCount]bool
}

// writablePrefixes returns the shard of a prefix, copied before its first write.
func (e *routeEdit) writablePrefixes(prefix string) map[string]routeTarget {
	i := shardOf(prefix)
	if !e.copiedPrefixes[i] {
		e.table.byPrefix[i] = cloneOrNew(e.table.byPrefix[i])
		e.copiedPrefixes[i] = true
	}
	return e.table.byPrefix[i]
}

// writableServices returns the shard of a service, copied before its first write.
func (e *routeEdit) writableServices(name string) map[string]*Entry {
	i := shardOf(name)
	if !e.copiedServices[i] {
		e.table.byService[i] = cloneOrNew(e.table.byService[i])
		e.copiedServices[i] = true
	}
	return e.table.byService[i]
}

func cloneOrNew[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func (e *routeEdit) remove(service string) {
	old, found := e.table.Service(service)
	if !found {
		return
	}
	delete(e.writableServices(service), service)
	for _, r := range old.Routes {
		prefix := strings.TrimSuffix(r.Prefix, "/")
		if shard := e.writablePrefixes(prefix); shard[prefix].entry == old {
			delete(shard, prefix)
		}
	}
}

func (e *routeEdit) add(entry *Entry) {
	e.writableServices(entry.Service)[entry.Service] = entry
	for i, r := range entry.Routes {
		prefix := strings.TrimSuffix(r.Prefix, "/")
		e.writablePrefixes(prefix)[prefix] = routeTarget{entry, i}
	}
}
