package daemon

import (
	"net"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/placement"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

// outboundAddress returns the source address of outgoing connections, or nil when the system chooses it.
func (d *Daemon) outboundAddress() net.IP {
	return net.ParseIP(d.settings.OutboundAddress)
}

// pipeline returns the pipeline of the routing policy in the settings.
func (d *Daemon) pipeline(seed uint64) *scheduling.Pipeline {
	filters := scheduling.DefaultFilters(d.topology, d.linkBudget)
	picker := scheduling.NewPicker(pickerCandidates, d.topology, seed)
	switch d.settings.Policies.Routing {
	case settings.RoutingRoundRobin:
		return scheduling.NewPipeline(filters, nil, scheduling.NewRoundRobinPicker())
	case settings.RoutingLeastOutstanding:
		return scheduling.NewPipeline(filters, scheduling.LeastOutstandingScorers(), picker)
	}
	byCost := scheduling.NewPipeline(filters, scheduling.DefaultScorers(d.topology), picker)
	byCost.Index = d.prefixes
	return byCost
}

func queueOrder(policy string) admission.Order {
	if policy == settings.QueueingFCFS {
		return admission.ArrivalOrder{}
	}
	return admission.FairOrder{}
}

// planner returns the planner of a placement policy.
func planner(policy string) placement.Planner {
	switch policy {
	case settings.PlacementStatic:
		return placement.Static{}
	case settings.PlacementChase:
		return placement.Reactive{}
	}
	return placement.Weighted{}
}
