package dispatch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Leaving returns, as evidence, the listed backend servers that have said in their answers that they are leaving.
func (d *Dispatcher) Leaving() []Evidence {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []Evidence
	for _, s := range d.services {
		out = append(out, s.leaving()...)
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return out
}

func (s *service) leaving() (out []Evidence) {
	for _, i := range s.news.listedLeaving() {
		out = append(out, Evidence{
			Service: s.name, Server: i.id, Statement: Statement{Incarnation: i.startedAt, IsLeaving: true},
		})
	}
	return out
}

// LeavingDigest returns a hash that is equal for equal results of Leaving.
func (d *Dispatcher) LeavingDigest() uint64 { return digestOf(d.Leaving()) }

// LeavingBesides returns the result of Leaving if its digest differs from the given one.
func (d *Dispatcher) LeavingBesides(digest uint64) []Evidence {
	leaving := d.Leaving()
	if digestOf(leaving) == digest {
		return nil
	}
	return leaving
}

func digestOf(leaving []Evidence) (digest uint64) {
	for _, e := range leaving {
		digest ^= xxhash.Sum64String(e.Service + "\x00" + e.Server + "\x00" + strconv.FormatInt(e.Statement.Incarnation, 10))
	}
	return digest
}
