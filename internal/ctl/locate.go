package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/placement"
)

// Location tells which entry VMs serve a service in one region.
type Location struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Backends is how many live backend servers the region has, Leaving how many are leaving.
	Backends int `json:"backends"`
	Leaving  int `json:"leaving"`
	// IsHomeRegion says that no region has more live backend servers.
	IsHomeRegion bool `json:"home"`
	// VMs are the entry VMs in their rendezvous order.
	VMs []LocatedVM `json:"vms"`
}

// LocatedVM is an entry VM of a service's group.
type LocatedVM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// locate prints the entry VMs that serve a service, for each region.
func locate(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	service := cmd.Args().First()
	if service == "" {
		return fmt.Errorf("name a service")
	}
	vms, err := readVMs(ctx, cmd)
	if err != nil {
		return err
	}
	locations := locations(service, fleet.NewView(1, vms))
	p := newPrinter(cmd, out)
	return p.print(locations, func() { p.locations(locations) })
}

func locations(service string, view *fleet.View) []Location {
	var out []Location
	most := 0
	for _, region := range view.Regions() {
		l := Location{Service: service, Region: region}
		for _, vm := range view.Backends[service] {
			switch {
			case vm.Region != region:
			case vm.IsLive():
				l.Backends++
			default:
				l.Leaving++
			}
		}
		for _, vm := range placement.Group(service, region, view, placement.DefaultGroupSize) {
			l.VMs = append(l.VMs, LocatedVM{vm.Name, vm.Zone, vm.CallerAddress})
		}
		most = max(most, l.Backends)
		out = append(out, l)
	}
	for i := range out {
		out[i].IsHomeRegion = most > 0 && out[i].Backends == most
	}
	return out
}

func (p *printer) locations(list []Location) {
	for _, l := range list {
		home := ""
		if l.IsHomeRegion {
			home = ", home region"
		}
		p.line("%s in %s: %d live backend servers, %d leaving%s", l.Service, l.Region, l.Backends, l.Leaving, home)
		var rows [][]string
		for i, vm := range l.VMs {
			rows = append(rows, []string{strconv.Itoa(i + 1), vm.Name, vm.Zone, vm.Address})
		}
		p.table([]string{"order", "vm", "zone", "address"}, slices.Clip(rows))
	}
}
