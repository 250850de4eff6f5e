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

// Location lists the entry VMs that serve a service in one region.
type Location struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	// Backends is the number of live backend servers in the region, Leaving the number of those that are leaving.
	Backends int `json:"backends"`
	Leaving  int `json:"leaving"`
	// IsHomeRegion is set if the region has live backend servers and no other region has more of them. Several regions may tie.
	IsHomeRegion bool `json:"home"`
	// VMs is the service's group in the region, in the rendezvous order of placement.Group.
	VMs []LocatedVM `json:"vms"`
}

// LocatedVM is an entry VM of a service's group. Address is its listener for callers.
type LocatedVM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// locate prints the entry VMs that serve a service, for each region.
func locate(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	service := cmd.Args().First()
	if service == "" {
		return fmt.Errorf("locate: argument SERVICE is missing")
	}
	vms, err := readVMs(ctx, cmd)
	if err != nil {
		return err
	}
	locations := locations(service, fleet.NewView(1, vms))
	p := newPrinter(cmd, out)
	return p.print(locations, func() { p.locations(locations) })
}

// locations returns the location of a service in each region that has entry VMs.
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
