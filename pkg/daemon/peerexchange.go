package daemon

import (
	"strings"
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

// dataCentreSourcePrefix is the prefix of the name of a source whose load is the total of another data centre. All
// other sources are peer instances; one with peer.DemandSourcePrefix has only the arrivals of an instance.
const dataCentreSourcePrefix = "dc:"

// peerExchange connects the registry of endpoints, the accountant of the members' usage and the tracker of the demand
// for models to the peer protocol. It collects the load that this instance reports to peers and applies the load that
// it receives from them.
type peerExchange struct {
	registry   *endpoints.Registry
	accountant *fairshare.Accountant
	tracker    *demand.Tracker
	presence   func() peer.Presence

	mu sync.Mutex
	// lastInFlight has the last in-flight counts of each source by endpoint hash. MergePeerLoads keeps the counts of
	// endpoints that are not passed to it, so an endpoint that a source no longer reports is passed with a count of
	// zero.
	lastInFlight map[string]map[uint64]uint32
}

func newPeerExchange(r *endpoints.Registry, a *fairshare.Accountant, t *demand.Tracker, presence func() peer.Presence) *peerExchange {
	return &peerExchange{
		registry:     r,
		accountant:   a,
		tracker:      t,
		presence:     presence,
		lastInFlight: make(map[string]map[uint64]uint32),
	}
}

var (
	_ peer.LocalState = (*peerExchange)(nil)
	_ peer.LoadSink   = (*peerExchange)(nil)
)

// Presence implements peer.LocalState.
func (x *peerExchange) Presence() peer.Presence {
	return x.presence()
}

// Load implements peer.LocalState.
func (x *peerExchange) Load() peer.Load {
	load := peer.Load{
		Endpoints: make(map[uint64]uint32),
		Members:   make(map[string]peer.MemberUsage),
		Models:    make(map[string]peer.ModelDemand),
		Reports:   make(map[uint64]peer.EndpointReport),
	}
	for _, l := range x.registry.LocalLoads() {
		load.Endpoints[l.EndpointHash] = uint32(l.InFlight)
	}
	for _, u := range x.accountant.LocalUsages() {
		load.Members[u.Member] = peer.MemberUsage{Service: u.Service, Waiting: uint32(u.Waiting)}
	}
	for _, c := range x.tracker.LocalCounts() {
		load.Models[c.Model] = peer.ModelDemand{Requests: c.Requests, Tokens: c.Tokens, Waiting: uint32(c.Waiting)}
	}
	for _, r := range x.registry.LocalReports() {
		load.Reports[r.EndpointHash] = reportToPeer(r)
	}
	return load
}

// SetLoad implements peer.LoadSink.
func (x *peerExchange) SetLoad(source string, load peer.Load) {
	if strings.HasPrefix(source, peer.DemandSourcePrefix) {
		x.tracker.MergePeerCounts(source, demandCounts(source, load))
		return
	}
	x.registry.MergePeerLoads(source, x.endpointLoads(source, load))
	x.registry.SetReports(source, reportsFromPeer(load))
	x.accountant.MergePeerUsages(source, memberUsages(load))
	x.tracker.MergePeerCounts(source, demandCounts(source, load))
}

// RemoveLoad implements peer.LoadSink.
func (x *peerExchange) RemoveLoad(source string) {
	if strings.HasPrefix(source, peer.DemandSourcePrefix) {
		x.tracker.RemovePeer(source)
		return
	}
	x.mu.Lock()
	delete(x.lastInFlight, source)
	x.mu.Unlock()
	x.registry.RemovePeer(source)
	x.accountant.RemovePeer(source)
	x.tracker.RemovePeer(source)
}

// endpointLoads returns the in-flight counts of a source. An endpoint that was in the previous load of the source and
// is not in this one gets a count of zero.
func (x *peerExchange) endpointLoads(source string, load peer.Load) []endpoints.Load {
	x.mu.Lock()
	previous := x.lastInFlight[source]
	x.lastInFlight[source] = load.Endpoints
	x.mu.Unlock()
	loads := make([]endpoints.Load, 0, len(load.Endpoints))
	for hash, n := range load.Endpoints {
		loads = append(loads, endpoints.Load{EndpointHash: hash, InFlight: int(n)})
	}
	for hash := range previous {
		if _, present := load.Endpoints[hash]; !present {
			loads = append(loads, endpoints.Load{EndpointHash: hash})
		}
	}
	return loads
}

func memberUsages(load peer.Load) []fairshare.Usage {
	usages := make([]fairshare.Usage, 0, len(load.Members))
	for name, u := range load.Members {
		usages = append(usages, fairshare.Usage{Member: name, Service: u.Service, Waiting: int(u.Waiting)})
	}
	return usages
}

// demandCounts returns the demand of a source. Requests and tokens that arrived at other data centres are left out,
// since each data centre places models for its own arrivals. Calls that wait in other data centres are counted, so that
// this data centre can load a model that no other data centre has loaded and that fits here.
func demandCounts(source string, load peer.Load) []demand.Count {
	counts := make([]demand.Count, 0, len(load.Models))
	otherDataCentre := strings.HasPrefix(source, dataCentreSourcePrefix)
	for name, d := range load.Models {
		count := demand.Count{Model: name, Waiting: int(d.Waiting)}
		if !otherDataCentre {
			count.Requests = d.Requests
			count.Tokens = d.Tokens
		}
		counts = append(counts, count)
	}
	return counts
}
