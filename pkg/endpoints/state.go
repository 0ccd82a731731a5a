// Package endpoints maintains the state of each endpoint and its age. The sources are load reports, cache events, calls
// of this instance and peers.
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

// State is an immutable copy of what is known of an endpoint at one point in time.
type State struct {
	// Endpoint is the declaration of the endpoint.
	Endpoint *config.Endpoint
	// Report is the last load report, or nil before the first one.
	Report *engine.Report
	// ReportAge is the time since the report was read from the endpoint.
	ReportAge time.Duration
	// OwnInFlight is the number of calls of this instance. PeerInFlight is the sum of the counts last received from
	// peers.
	OwnInFlight  int
	PeerInFlight int
	// OwnInFlightAtReport is the value of OwnInFlight when the report was received.
	OwnInFlightAtReport int
	// PeersStale reports whether no message was received from a known peer for longer than Options.StaleAfter.
	PeersStale bool
	// CallsFromReports is true in a large fleet, where instances do not exchange their in-flight counts.
	CallsFromReports bool
	// BetweenTokens is the recent mean time between output tokens of this instance's calls, or zero if unknown.
	BetweenTokens time.Duration
	// CallDuration is the recent mean duration of this instance's calls, or zero if unknown.
	CallDuration time.Duration
	// PrefillTokensPerSecond is the highest rate that the endpoint reported recently, or zero if unknown. The rate in
	// the report itself is low whenever the endpoint has little load.
	PrefillTokensPerSecond float64
	// PrefillBacklog is the estimated time until the endpoint has processed the prompts of this instance's calls. It is
	// derived from their lengths and the prefill rate.
	PrefillBacklog time.Duration
	// EntitledFraction is the fraction of the limit, 0 to 1, that this instance may use even if other instances fill
	// the endpoint. Admission sets it from the shares of the members.
	EntitledFraction float64
	// Headroom is the fraction of the limit, 0 to 1, that the call must leave free. Admission sets it for members above
	// their share.
	Headroom float64
	// Instances is the number of entry instances that share the endpoint, including this one.
	Instances int
	// ConcurrencyLimit is the adaptive limit of concurrent calls of all instances together.
	ConcurrencyLimit int
	Health           Health
	// Leaving reports whether the declaration, the instance list or the last load report marks the endpoint as leaving.
	Leaving bool
}

// InFlight returns the estimated number of calls that are running or waiting at the endpoint.
func (s *State) InFlight() int {
	return s.OwnInFlight + s.OthersInFlight()
}

// OthersInFlight returns the estimated number of calls of other instances. This is the sum of the counts from peers. If
// a peer is stale or peers do not exchange counts, the calls in the report beyond those of this instance are used if
// there are more of them.
func (s *State) OthersInFlight() int {
	if !s.PeersStale && !s.CallsFromReports || s.Report == nil {
		return s.PeerInFlight
	}
	return max(s.PeerInFlight, s.Report.Running+s.Report.Waiting-s.OwnInFlightAtReport)
}

// maxOvercommitFactor bounds the calls at an endpoint, as a multiple of the limit, when each instance keeps to its own
// fraction but does not yet know the calls of the others. The engine queues the calls that exceed its batch.
const maxOvercommitFactor = 2

// HasCapacity reports whether one more call fits within the concurrency limit, or within this instance's fraction of
// it. If a peer is stale, this instance uses at most an equal share of the limit, because the others may fill theirs
// unnoticed.
func (s *State) HasCapacity() bool {
	limit := s.usableLimit()
	if s.PeersStale {
		equalShare := (limit + s.Instances - 1) / max(1, s.Instances)
		return s.OwnInFlight < max(1, equalShare)
	}
	if s.InFlight() < limit {
		return true
	}
	if s.Headroom > 0 {
		return false
	}
	entitled := math.Ceil(s.EntitledFraction * float64(s.ConcurrencyLimit))
	return float64(s.OwnInFlight) < entitled && s.InFlight() < maxOvercommitFactor*s.ConcurrencyLimit
}

// usableLimit returns the limit minus the headroom, at least one.
func (s *State) usableLimit() int {
	if s.Headroom <= 0 {
		return s.ConcurrencyLimit
	}
	return max(1, s.ConcurrencyLimit-int(math.Round(s.Headroom*float64(s.ConcurrencyLimit))))
}

// CurrentRole returns the reported role, otherwise the declared role, otherwise RoleServe.
func (s *State) CurrentRole() string {
	if s.Report != nil && s.Report.Role != "" {
		return s.Report.Role
	}
	if s.Endpoint.Role != "" {
		return s.Endpoint.Role
	}
	return RoleServe
}

// Serves reports whether the last report lists any version of the artifact as loaded.
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

// HasAdapter reports whether the last report lists any adapter as loaded.
func (s *State) HasAdapter() bool {
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
