// Package endpoints is the data layer: what is known of each endpoint, from load reports, cache events, own calls and
// peers, and how old that knowledge is.
package endpoints

import (
	"math"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Health is the result of outlier detection.
type Health string

const (
	// Healthy endpoints receive calls.
	Healthy Health = "healthy"
	// Ejected endpoints receive no calls until their ejection time ends.
	Ejected Health = "ejected"
	// Probing endpoints receive one trial call at a time.
	Probing Health = "probing"
)

// RoleServe is the role of an endpoint that runs whole calls.
const RoleServe = "serve"

// State is an immutable copy of what is known of one endpoint at one time.
type State struct {
	// Endpoint is the declaration.
	Endpoint *config.Endpoint
	// Report is the last load report; nil before the first one.
	Report *engine.Report
	// ReportAge is the time since the report was received.
	ReportAge time.Duration
	// OwnInFlight counts this instance's calls; PeerInFlight sums what peers last told.
	OwnInFlight  int
	PeerInFlight int
	// OwnAtReport is OwnInFlight at the time of the report.
	OwnAtReport int
	// PeersStale is true when a known peer has been silent for longer than the registry's bound.
	PeersStale bool
	// CallsFromReports is true in a large fleet, where instances do not tell each other their calls.
	CallsFromReports bool
	// BetweenTokens is the recent mean time between output tokens of this instance's calls; zero when unknown.
	BetweenTokens time.Duration
	// CallDuration is the recent mean duration of this instance's calls; zero when unknown.
	CallDuration time.Duration
	// PrefillTokensPerSecond is the highest recent rate that the endpoint reported; zero when unknown. The rate in the
	// report itself is low whenever there is little to do.
	PrefillTokensPerSecond float64
	// PrefillBacklog is the time until the endpoint has processed the prompts of this instance's calls, as estimated from
	// their lengths and the prefill rate.
	PrefillBacklog time.Duration
	// Part is the part of the limit, 0 to 1, that this instance may use when other instances fill the endpoint. It is set by
	// admission from the members' shares.
	Part float64
	// Headroom is the part of the limit, 0 to 1, that the call must leave free. It is set by admission for members above
	// their share.
	Headroom float64
	// Instances is the number of entry instances that share the endpoint, this one included.
	Instances int
	// ConcurrencyLimit is the adaptive limit of calls at once over all instances.
	ConcurrencyLimit int
	Health           Health
	// Leaving is true when the declaration, the instance list, the engine or failed calls say so.
	Leaving bool
}

// InFlight is the estimate of calls that run or wait at the endpoint.
func (s *State) InFlight() int {
	return s.OwnInFlight + s.OthersInFlight()
}

// OthersInFlight is the estimate of other instances' calls: what peers told, or, when peers are silent or tell no calls,
// what the report counts beyond this instance's calls, if that is more.
func (s *State) OthersInFlight() int {
	if !s.PeersStale && !s.CallsFromReports || s.Report == nil {
		return s.PeerInFlight
	}
	return max(s.PeerInFlight, s.Report.Running+s.Report.Waiting-s.OwnAtReport)
}

// maxOvercommit bounds the calls at an endpoint, in limits, that instances may add up to when each keeps to its part but
// does not yet know of the others' calls. The engine queues what its batch cannot hold.
const maxOvercommit = 2

// HasCapacity tells whether one more call fits under the concurrency limit, or under this instance's part of it. When
// peers are silent this instance keeps to an equal part, because the others may fill theirs unseen.
func (s *State) HasCapacity() bool {
	limit := s.usableLimit()
	if s.PeersStale {
		part := (limit + s.Instances - 1) / max(1, s.Instances)
		return s.OwnInFlight < max(1, part)
	}
	if s.InFlight() < limit {
		return true
	}
	if s.Headroom > 0 {
		return false
	}
	entitled := math.Ceil(s.Part * float64(s.ConcurrencyLimit))
	return float64(s.OwnInFlight) < entitled && s.InFlight() < maxOvercommit*s.ConcurrencyLimit
}

// usableLimit is the limit without the headroom, at least one.
func (s *State) usableLimit() int {
	if s.Headroom <= 0 {
		return s.ConcurrencyLimit
	}
	return max(1, s.ConcurrencyLimit-int(math.Round(s.Headroom*float64(s.ConcurrencyLimit))))
}

// CurrentRole is the reported role, or the declared one before the first report.
func (s *State) CurrentRole() string {
	if s.Report != nil && s.Report.Role != "" {
		return s.Report.Role
	}
	if s.Endpoint.Role != "" {
		return s.Endpoint.Role
	}
	return RoleServe
}

// Serves tells whether the last report lists the artifact as loaded, in any version.
func (s *State) Serves(kind engine.ArtifactKind, name string) bool {
	if s.Report == nil {
		return false
	}
	for i := range s.Report.Artifacts {
		a := &s.Report.Artifacts[i]
		if a.Kind == kind && a.Name == name && a.State == engine.StateLoaded {
			return true
		}
	}
	return false
}

// HoldsAdapter tells whether the last report lists any adapter as loaded.
func (s *State) HoldsAdapter() bool {
	if s.Report == nil {
		return false
	}
	for i := range s.Report.Artifacts {
		a := &s.Report.Artifacts[i]
		if a.Kind == engine.KindAdapter && a.State == engine.StateLoaded {
			return true
		}
	}
	return false
}
