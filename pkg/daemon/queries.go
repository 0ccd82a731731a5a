package daemon

import (
	"runtime/debug"
	"sort"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/admin"
	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// storeAvailableMaxAge is the largest age of the last store contact at which the store counts as available.
	storeAvailableMaxAge = 10 * time.Second
	// unknownValue stands for an age or a number of bytes that is not known.
	unknownValue = -1
)

// queries returns the responses to the operators' queries from the state of a Daemon.
type queries struct {
	daemon *Daemon
}

var _ admin.Queries = queries{}

// Status implements admin.Queries.
func (q queries) Status() adminapi.Status {
	d := q.daemon
	stats := d.admission.Stats()
	status := adminapi.Status{
		InstanceID:  d.identity.InstanceID,
		Incarnation: d.identity.Incarnation,
		DataCentre:  d.identity.DataCentre,
		Region:      d.identity.Region,
		Version:     version(),
		StartedAt:   d.startedAt,
		Ready:       true,
		Draining:    d.draining.Load(),
		InFlight:    stats.Running,
		Queued:      stats.Waiting,
		Config:      q.configStatus(),
		Store:       q.storeStatus(),
		Peers:       q.peers(),
		Placement:   d.shards.status(),
	}
	if err := d.Ready(); err != nil {
		status.Ready = false
		status.NotReadyReasons = []string{err.Error()}
	}
	return status
}

// version returns the main module's version from the build information, or "unknown" if there is no build information.
// For a revision without a tag, the version is a pseudo-version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

func (q queries) configStatus() adminapi.ConfigStatus {
	s := q.daemon.syncer
	status := adminapi.ConfigStatus{
		Revision: s.Revision(),
		BehindMs: s.Behind().Milliseconds(),
		Relay:    q.daemon.peerNode.Table.IsRelay(),
		Findings: s.Findings(),
	}
	if snapshot := s.Current(); snapshot != nil {
		status.CommittedAt = snapshot.CommittedAt
	}
	return status
}

func (q queries) storeStatus() adminapi.StoreStatus {
	age := q.daemon.syncer.StoreContactAge()
	return adminapi.StoreStatus{ContactAgeMs: age.Milliseconds(), Available: age <= storeAvailableMaxAge}
}

func (q queries) peers() []adminapi.PeerStatus {
	peers := []adminapi.PeerStatus{}
	for _, p := range q.daemon.peerNode.Table.All() {
		age := int64(unknownValue)
		if !p.LastExchange.IsZero() {
			age = time.Since(p.LastExchange).Milliseconds()
		}
		peers = append(peers, adminapi.PeerStatus{
			InstanceID:        p.Identity.InstanceID,
			DataCentre:        p.Identity.DataCentre,
			Region:            p.Identity.Region,
			Address:           p.Identity.Address,
			LastExchangeAgeMs: age,
			ConfigRevision:    p.Presence.ConfigRevision,
			ConfigBehindMs:    p.Presence.ConfigBehind.Milliseconds(),
			StoreContactAgeMs: p.Presence.StoreContactAge.Milliseconds(),
			Draining:          p.Presence.Draining,
		})
	}
	return peers
}

// Members implements admin.Queries.
func (q queries) Members() []adminapi.Member {
	snapshot := q.daemon.syncer.Current()
	if snapshot == nil {
		return nil
	}
	stats := q.daemon.admission.Stats()
	declared := snapshot.Records().Members
	var totalShares, totalReceivedService float64
	for _, m := range declared {
		totalShares += m.Share
		totalReceivedService += q.daemon.accountant.ReceivedService(m.Name)
	}
	list := make([]adminapi.Member, 0, len(declared))
	for _, m := range declared {
		list = append(list, adminapi.Member{
			Name:            m.Name,
			Share:           m.Share,
			ShareFraction:   fraction(m.Share, totalShares),
			ServiceFraction: fraction(q.daemon.accountant.ReceivedService(m.Name), totalReceivedService),
			InFlight:        stats.Members[m.Name].Running,
			Waiting:         stats.Members[m.Name].Waiting,
		})
	}
	return list
}

func fraction(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Endpoints implements admin.Queries.
func (q queries) Endpoints() []adminapi.Endpoint {
	snapshot := q.daemon.syncer.Current()
	if snapshot == nil {
		return nil
	}
	var list []adminapi.Endpoint
	for _, s := range snapshot.Records().Services {
		for _, state := range q.daemon.registry.States(s.Name) {
			list = append(list, endpointOf(state))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func endpointOf(state endpoints.State) adminapi.Endpoint {
	e := adminapi.Endpoint{
		Name:             state.Endpoint.Name,
		Service:          state.Endpoint.Service,
		DataCentre:       state.Endpoint.DataCentre,
		URL:              state.Endpoint.URL,
		Health:           string(state.Health),
		Leaving:          state.Leaving,
		ReportAgeMs:      unknownValue,
		OwnInFlight:      state.OwnInFlight,
		PeerInFlight:     state.OthersInFlight(),
		ConcurrencyLimit: state.ConcurrencyLimit,
	}
	for _, a := range state.Endpoint.Accelerators {
		e.Accelerators = append(e.Accelerators, adminapi.Accelerator{MemoryBytes: a.MemoryBytes, ReservedBytes: unknownValue})
	}
	if state.Report == nil {
		return e
	}
	e.ReportAgeMs = state.ReportAge.Milliseconds()
	e.KVCacheUsage = state.Report.KVCacheUsage
	for _, a := range state.Report.Artifacts {
		e.Artifacts = append(e.Artifacts, adminapi.Artifact{
			Kind:    string(a.Kind),
			Name:    a.Name,
			Version: a.Version,
			State:   string(a.State),
		})
	}
	return e
}

// Models implements admin.Queries.
func (q queries) Models() []adminapi.Model {
	snapshot := q.daemon.syncer.Current()
	if snapshot == nil {
		return nil
	}
	waiting := make(map[string]int)
	for _, c := range q.daemon.tracker.Total() {
		waiting[c.Model] = c.Waiting
	}
	rates := q.daemon.rates.current()
	var list []adminapi.Model
	for _, m := range snapshot.Records().Models {
		item := adminapi.Model{
			Name:      m.Name,
			Kind:      string(engine.KindModel),
			Service:   m.Service,
			Version:   m.Version,
			MinCopies: m.MinCopies,
			MaxCopies: m.MaxCopies,
			Endpoints: q.servingEndpoints(m.Service, engine.KindModel, m.Name),
		}
		list = append(list, item)
	}
	for _, a := range snapshot.Records().Adapters {
		list = append(list, q.adapterEntry(snapshot, a))
	}
	for i := range list {
		list[i].LoadedCopies = len(list[i].Endpoints)
		list[i].Waiting = waiting[list[i].Name]
		list[i].RequestsPerSecond = rates[list[i].Name]
	}
	return list
}

func (q queries) adapterEntry(snapshot *config.Snapshot, a config.Adapter) adminapi.Model {
	item := adminapi.Model{
		Name:    a.Name,
		Kind:    string(engine.KindAdapter),
		Base:    a.Model,
		Version: a.Version,
	}
	if base := snapshot.Model(a.Model); base != nil {
		item.Service = base.Service
		item.MaxCopies = base.MaxCopies
		item.Endpoints = q.servingEndpoints(base.Service, engine.KindAdapter, a.Name)
	}
	return item
}

func (q queries) servingEndpoints(service string, kind engine.ArtifactKind, name string) []string {
	names := []string{}
	for _, state := range q.daemon.registry.States(service) {
		if state.Serves(kind, name) {
			names = append(names, state.Endpoint.Name)
		}
	}
	return names
}

// Decision implements admin.Queries.
func (q queries) Decision(id string) (decisions.Record, bool) {
	return q.daemon.recorder.Find(id)
}

// Decisions implements admin.Queries.
func (q queries) Decisions(kind decisions.Kind, limit int) []decisions.Record {
	return q.daemon.recorder.Latest(kind, limit)
}
