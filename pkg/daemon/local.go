package daemon

import (
	"strings"
	"sync"

	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

// dataCentreSource begins the name of a source that is the sum over another data centre.
const dataCentreSource = "dc:"

// exchange adapts the components to the peer protocol: what this instance tells, and what others told.
type exchange struct {
	registry   *endpoints.Registry
	accountant *fairshare.Accountant
	tracker    *demand.Tracker
	presence   func() peer.Presence

	mu sync.Mutex
	// reported has the endpoints that each source had calls at, since the registry keeps counts that are not named.
	reported map[string]map[uint64]uint32
}

func newExchange(r *endpoints.Registry, a *fairshare.Accountant, t *demand.Tracker, presence func() peer.Presence) *exchange {
	return &exchange{
		registry:   r,
		accountant: a,
		tracker:    t,
		presence:   presence,
		reported:   make(map[string]map[uint64]uint32),
	}
}

var (
	_ peer.Local = (*exchange)(nil)
	_ peer.Sink  = (*exchange)(nil)
)

// Presence implements peer.Local.
func (x *exchange) Presence() peer.Presence {
	return x.presence()
}

// Load implements peer.Local.
func (x *exchange) Load() peer.Load {
	load := peer.Load{
		Endpoints: make(map[uint64]uint32),
		Members:   make(map[string]peer.MemberUsage),
		Models:    make(map[string]peer.ModelDemand),
		Reports:   make(map[uint64]peer.EndpointReport),
	}
	for _, l := range x.registry.Local() {
		load.Endpoints[l.EndpointHash] = uint32(l.InFlight)
	}
	for _, u := range x.accountant.Local() {
		load.Members[u.Member] = peer.MemberUsage{Service: u.Service, Waiting: uint32(u.Waiting)}
	}
	for _, c := range x.tracker.Local() {
		load.Models[c.Model] = peer.ModelDemand{Requests: c.Requests, Tokens: c.Tokens, Waiting: uint32(c.Waiting)}
	}
	for _, r := range x.registry.LocalReports() {
		load.Reports[r.EndpointHash] = reportToPeer(r)
	}
	return load
}

// SetLoad implements peer.Sink.
func (x *exchange) SetLoad(source string, load peer.Load) {
	if strings.HasPrefix(source, peer.DemandPrefix) {
		x.tracker.SetPeer(source, demandCounts(source, load))
		return
	}
	x.registry.SetPeer(source, x.endpointLoads(source, load))
	x.registry.SetReports(source, sharedReports(load))
	x.accountant.SetPeer(source, memberUsages(load))
	x.tracker.SetPeer(source, demandCounts(source, load))
}

// RemoveLoad implements peer.Sink.
func (x *exchange) RemoveLoad(source string) {
	if strings.HasPrefix(source, peer.DemandPrefix) {
		x.tracker.RemovePeer(source)
		return
	}
	x.mu.Lock()
	delete(x.reported, source)
	x.mu.Unlock()
	x.registry.RemovePeer(source)
	x.accountant.RemovePeer(source)
	x.tracker.RemovePeer(source)
}

// endpointLoads names endpoints whose calls ended with a count of zero.
func (x *exchange) endpointLoads(source string, load peer.Load) []endpoints.Load {
	x.mu.Lock()
	before := x.reported[source]
	x.reported[source] = load.Endpoints
	x.mu.Unlock()
	loads := make([]endpoints.Load, 0, len(load.Endpoints))
	for hash, n := range load.Endpoints {
		loads = append(loads, endpoints.Load{EndpointHash: hash, InFlight: int(n)})
	}
	for hash := range before {
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

// demandCounts takes arrivals of the own data centre only, since each data centre places for its own arrivals. Calls
// that wait elsewhere count here too: a model that no other data centre has loaded may fit here.
func demandCounts(source string, load peer.Load) []demand.Count {
	counts := make([]demand.Count, 0, len(load.Models))
	elsewhere := strings.HasPrefix(source, dataCentreSource)
	for name, d := range load.Models {
		count := demand.Count{Model: name, Waiting: int(d.Waiting)}
		if !elsewhere {
			count.Requests = d.Requests
			count.Tokens = d.Tokens
		}
		counts = append(counts, count)
	}
	return counts
}
